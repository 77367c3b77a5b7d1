package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
)

const (
	// smallMessageBytes is the size of a small request or response. A link that has no capacity for it within the
	// waiting time for a slot is considered full.
	smallMessageBytes = 512
	// chunksPerBurst is the number of chunks that a burst of the link is divided into. The burst is the capacity of
	// 100 ms, which is also the waiting time for a slot. So a new request gets its turn in time beside up to about
	// chunksPerBurst transfers.
	chunksPerBurst = 16
	// responseLineBytes is an estimate for the status line and the header fields that net/http adds to a response.
	responseLineBytes = 128
	// headerFieldBytes is the size of a header field without its name and value: colon, space and line end.
	headerFieldBytes = 4
	// recheckInterval limits a wait for link capacity before the bucket is asked again, because loans may have increased
	// the capacity. The ledger moves shares about this often.
	recheckInterval = 100 * time.Millisecond
)

// linkUse takes the link capacity that one request needs in one direction. A nil linkUse has no limit.
//
// All requests that wait for the same link take turns of one chunk each, in order of arrival. So each transfer in
// progress delays the others by at most one chunk per turn.
type linkUse struct {
	limits   Limits
	resource id.Resource
	turn     chan struct{} // holds one element while a request takes its turn
}

// chunkSize returns the number of bytes to transfer in one turn.
func (lu *linkUse) chunkSize() int {
	if lu == nil {
		return copyBufferSize
	}
	bk, ok := lu.limits.Bucket(lu.resource)
	if !ok {
		return copyBufferSize
	}
	return int(min(max(bk.Burst(time.Now())/(chunksPerBurst*unit.One), 1), copyBufferSize))
}

// takeBytes takes num bytes of the link capacity and waits for them until the context ends. It reports whether it had to
// wait. A link that was removed from the configuration in the meantime has no limit.
func (lu *linkUse) takeBytes(ctx context.Context, num int) (waited bool, err error) {
	if lu == nil {
		return false, nil
	}
	for num > 0 {
		chunk := min(num, lu.chunkSize())
		chunkWaited, err := lu.waitInTurn(ctx, chunk, (*limit.Bucket).TakeOrWait)
		waited = waited || chunkWaited
		if err != nil {
			return waited, err
		}
		num -= chunk
	}
	return waited, nil
}

// waitInTurn waits for its turn and then until the link has num bytes. The function waitTime is
// limit.Bucket.TakeOrWait, which takes the bytes, or limit.Bucket.WaitTime, which does not.
func (lu *linkUse) waitInTurn(ctx context.Context, num int, waitTime func(*limit.Bucket, time.Time, unit.Milli) time.Duration) (
	waited bool, err error,
) {
	select {
	case lu.turn <- struct{}{}:
	case <-ctx.Done():
		return true, ctx.Err()
	}
	defer func() { <-lu.turn }()
	for {
		bk, ok := lu.limits.Bucket(lu.resource)
		if !ok {
			return waited, nil
		}
		amount := unit.Milli(num) * unit.One
		wait := waitTime(bk, time.Now(), amount)
		if wait == 0 {
			return waited, nil
		}
		if !waited {
			bk.RecordWait(amount)
			waited = true
		}
		if wait < 0 || wait > recheckInterval {
			wait = recheckInterval
		}
		if err := sleep(ctx, wait); err != nil {
			return true, err
		}
	}
}

func sleep(ctx context.Context, wait time.Duration) error {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitAvailable waits until the link has num bytes, or one chunk if that is less, and reports false if the context ends
// first. It takes no bytes. If bytes were taken long before their transfer, the bucket could refill, and the delayed
// transfer together with a full burst would exceed the capacity of the link.
func (lu *linkUse) waitAvailable(ctx context.Context, num int) bool {
	if lu == nil {
		return true
	}
	bk, ok := lu.limits.Bucket(lu.resource)
	if !ok {
		return false
	}
	num = min(num, lu.chunkSize())
	if _, err := lu.waitInTurn(ctx, num, (*limit.Bucket).WaitTime); err != nil {
		bk.RecordRefusal(unit.Milli(num) * unit.One)
		return false
	}
	return true
}

// linkUse returns a linkUse for the link between the regions, or nil if the configuration sets no capacity for it.
func (sv *Server) linkUse(vw *view, from, to id.Region) *linkUse {
	rs := limit.LinkResource(from, to)
	if !vw.limitedLinks[rs] {
		return nil
	}
	turn, ok := sv.linkTurns.Load(rs)
	if !ok {
		turn, _ = sv.linkTurns.LoadOrStore(rs, make(chan struct{}, 1))
	}
	return &linkUse{limits: sv.op.Limits, resource: rs, turn: turn.(chan struct{})}
}

// findLinks sets the links that the request and its response cross. A caller whose home region is the region of this VM
// uses no link.
func (rq *request) findLinks() {
	addr, _ := netip.ParseAddr(hostOf(rq.r.RemoteAddr))
	home, ok := rq.vw.homeRegion(rq.homeSite, addr)
	if !ok || home == rq.vw.region {
		return
	}
	rq.fromOtherRegion = true
	rq.uplink, rq.downlink = rq.sv.linkUse(rq.vw, home, rq.vw.region), rq.sv.linkUse(rq.vw, rq.vw.region, home)
	if rq.body != nil {
		rq.body.link = rq.uplink
	}
}

// checkLinks waits until the links have capacity for a small request and a small response, for at most the waiting time
// for a slot. It refuses the request if they do not.
func (rq *request) checkLinks() *refusal {
	ctx, cancel := context.WithTimeout(rq.r.Context(), min(maxSlotWait, rq.deadline()/4))
	defer cancel()
	size := smallMessageBytes
	if rq.r.ContentLength > 0 {
		size = int(min(rq.r.ContentLength, smallMessageBytes))
	}
	if rq.body != nil && !rq.uplink.waitAvailable(ctx, size) || !rq.downlink.waitAvailable(ctx, smallMessageBytes) {
		if rq.r.Context().Err() != nil {
			return notRun(dedup.Canceled)
		}
		return notRun(dedup.LinkFull)
	}
	return nil
}

// headerBytes estimates the size of a response header in bytes.
func headerBytes(hd http.Header) int {
	sum := responseLineBytes
	for name, vals := range hd {
		for _, val := range vals {
			sum += len(name) + len(val) + headerFieldBytes
		}
	}
	return sum
}
