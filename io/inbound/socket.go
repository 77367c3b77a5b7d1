package inbound

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errUnsupported is returned by the methods of socket if the operating system does not provide what they need.
var errUnsupported = errors.New("not supported for this connection")

// socket gives access to what the operating system knows about a TCP connection. The zero value supports nothing. Waits must not be
// concurrent: their state is kept here, so that a request allocates nothing for them.
type socket struct {
	raw syscall.RawConn
	// peekOnce and endOnce are methods, bound once. RawConn.Read calls them whenever the connection may have become readable.
	peekOnce, endOnce func(fd uintptr) bool

	buf     []byte // of peek
	num     int    // bytes that were copied to buf
	err     error  // of the last system call
	checked bool   // the current wait for the end has made its first system call
	bytes   bool   // the current wait for the end also ends with bytes
	arrived bool   // it has ended with bytes
	early   bool   // it has found bytes before responding was set
	// responding is set once a byte of the response was written.
	responding *atomic.Bool
	one        [1]byte
	fds        [1]unix.PollFd
}

func newSocket(nc net.Conn) *socket {
	sk := new(socket)
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return sk
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return sk
	}
	sk.raw, sk.peekOnce, sk.endOnce = raw, sk.tryPeek, sk.ended
	return sk
}

// peek waits for bytes and copies them to buf without consuming them. It returns no bytes and no error at the end of the stream.
func (sk *socket) peek(buf []byte) (int, error) {
	if sk.raw == nil {
		return 0, errUnsupported
	}
	sk.buf, sk.num, sk.err = buf, 0, nil
	waitErr := sk.raw.Read(sk.peekOnce)
	sk.buf = nil
	switch {
	case waitErr != nil:
		return 0, waitErr
	case isUnsupported(sk.err):
		return 0, errUnsupported
	}
	return sk.num, sk.err
}

// tryPeek copies bytes to buf, or reports false if there are none yet.
func (sk *socket) tryPeek(fd uintptr) bool {
	sk.num, sk.err = peekBytes(fd, sk.buf)
	return !errors.Is(sk.err, unix.EAGAIN)
}

// peekBytes copies bytes that have arrived to buf without consuming them.
func peekBytes(fd uintptr, buf []byte) (num int, err error) {
	err = ignoreEINTR(func() error {
		// unix.Recvfrom would allocate memory for an address.
		num, _, err = syscall.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err
	})
	return max(num, 0), err
}

func isUnsupported(err error) bool {
	return errors.Is(err, unix.EINVAL) || errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.EOPNOTSUPP)
}

// awaitEnd waits until the peer has closed its sending side or the connection has failed, and then returns io.EOF. It reads
// nothing, and reports whether bytes have arrived before responding was set. An expired read deadline ends it with an error. If bytes
// is set, it also ends when there are unread bytes, without an error.
func (sk *socket) awaitEnd(responding *atomic.Bool, bytes bool) (early bool, err error) {
	if sk.raw == nil {
		return false, errUnsupported
	}
	sk.responding, sk.checked, sk.early, sk.err = responding, false, false, nil
	sk.bytes, sk.arrived = bytes, false
	waitErr := sk.raw.Read(sk.endOnce)
	switch {
	case waitErr != nil:
		return sk.early, waitErr
	case sk.err != nil:
		return sk.early, errUnsupported
	case sk.arrived:
		return sk.early, nil
	}
	return sk.early, io.EOF
}

// ended reports whether the connection has ended, or a system call has failed. A poll also finds an end behind unread bytes. It costs
// more than a peek, which suffices as long as there are none.
func (sk *socket) ended(fd uintptr) bool {
	if !sk.checked {
		sk.checked = true
		num, err := peekBytes(fd, sk.one[:])
		switch {
		case errors.Is(err, unix.EAGAIN):
			return false
		case num == 0 && !isUnsupported(err):
			return true
		}
	}
	sk.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
	sk.err = ignoreEINTR(func() error {
		_, err := unix.Poll(sk.fds[:], 0)
		return err
	})
	events := sk.fds[0].Revents
	sk.early = sk.early || events&unix.POLLIN != 0 && !sk.responding.Load()
	if sk.err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0 {
		return true
	}
	sk.arrived = sk.bytes && events&unix.POLLIN != 0
	return sk.arrived
}

// ignoreEINTR repeats a system call until no signal interrupts it. The Go runtime sends signals to its own threads.
func ignoreEINTR(call func() error) error {
	for {
		if err := call(); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// delivery is the state of a connection whose sending side has been closed.
type delivery struct {
	state  tcpState
	acked  uint64 // bytes that the peer has acknowledged
	unread int    // bytes that have arrived and were not read
}

// tcpState is a state of the TCP state machine, with the number that Linux gives it.
type tcpState uint8

const (
	finWait1 tcpState = 4  // the peer has not acknowledged all bytes
	finWait2 tcpState = 5  // the peer has acknowledged all bytes, and has not closed its side
	lastAck  tcpState = 9  // the peer had closed its side, and has not acknowledged all bytes
	closing  tcpState = 11 // the peer has closed its side since, and has not acknowledged all bytes
)

func (sk *socket) delivery() (delivery, error) {
	if sk.raw == nil {
		return delivery{}, errUnsupported
	}
	var dv delivery
	var err error
	callErr := sk.raw.Control(func(fd uintptr) {
		var ti *unix.TCPInfo
		if ti, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		dv.state, dv.acked = tcpState(ti.State), ti.Bytes_acked
		dv.unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	if callErr != nil {
		return dv, callErr
	}
	return dv, err
}
