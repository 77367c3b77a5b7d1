package inbound

import "time"

const (
	// stallTimeout is the time after which a peer that acknowledges no further bytes is given up.
	stallTimeout = time.Second
	// deliveryTimeout bounds the whole delivery, also to a peer that reads slowly.
	deliveryTimeout = 10 * time.Second
	// resetDelay is the time that the peer has to read the response and close, before a close with unread bytes resets the
	// connection. Some callers drop what they have not read yet then.
	resetDelay = 500 * time.Millisecond
	// firstPoll and lastPoll bound the interval at which the state of the connection is polled.
	firstPoll, lastPoll = 200 * time.Microsecond, 20 * time.Millisecond
)

// deliveryProgress decides how long to wait before a connection is closed.
type deliveryProgress struct {
	last  delivery
	began time.Time
	at    time.Time // of the last progress
}

// over reports whether the connection may be closed: the peer has got everything and a close resets nothing, or the peer makes no
// progress, or the delivery takes too long.
func (dp *deliveryProgress) over(now time.Time, dv delivery) bool {
	if dp.began.IsZero() {
		dp.began = now
	}
	if dp.at.IsZero() || dv.state != dp.last.state || dv.acked != dp.last.acked {
		dp.at = now
	}
	dp.last = dv
	if now.Sub(dp.began) >= deliveryTimeout {
		return true
	}
	waited := now.Sub(dp.at)
	switch dv.state {
	case finWait1:
		return waited >= stallTimeout
	case lastAck, closing:
		return dv.unread == 0 || waited >= stallTimeout
	case finWait2:
		return dv.unread == 0 || waited >= resetDelay
	default:
		return true
	}
}

// deliver closes the sending side and waits until the peer has got what was sent. If the connection were closed while bytes of a
// further request are unread, or if these arrived soon after, the kernel would reset it and drop what the peer has not got yet.
func (cn *conn) deliver() {
	cw, ok := cn.Conn.(interface{ CloseWrite() error })
	if !ok || cw.CloseWrite() != nil {
		return
	}
	var dp deliveryProgress
	for poll := firstPoll; ; poll = min(2*poll, lastPoll) {
		dv, err := cn.sock.delivery()
		if err != nil || dp.over(time.Now(), dv) {
			return
		}
		time.Sleep(poll)
	}
}
