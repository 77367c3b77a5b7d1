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
	// smallMessage is the size of a small request or response. A link that cannot carry it within the waiting time of
	// slots is full.
	smallMessage = 512
	// partsOfBurst is the number of parts that the burst has. The burst is what 100 ms give, the waiting time of slots,
	// so a new request gets its turn in time beside about as many transfers.
	partsOfBurst = 16
	// responseLine stands for the status line and the header fields that the server adds to a response.
	responseLine = 128
	// headerFieldBytes is the size of a header field beyond its name and value: colon, space and line end.
	headerFieldBytes = 4
	// recheckEvery bounds a wait for bytes, as loans may arrive meanwhile. The ledger moves share about as often.
	recheckEvery = 100 * time.Millisecond
)

// linkUse is the use of one link, in one direction, by one request. A nil linkUse costs nothing.
//
// All requests that wait for the same link take turns of one part each, in order of arrival, so that a long transfer
// delays others by at most one part for each transfer under way.
type linkUse struct {
	limits   Limits
	resource id.Resource
	turn     chan struct{} // holds one element while a request takes its part
}

// part returns the number of bytes to transfer at a time.
func (lu *linkUse) part() int {
	if lu == nil {
		return copyBytes
	}
	bk, ok := lu.limits.Bucket(lu.resource)
	if !ok {
		return copyBytes
	}
	return int(min(max(bk.Burst(time.Now())/(partsOfBurst*unit.One), 1), copyBytes))
}

// pay takes num bytes from the link, and waits until they are present or the context ends. A link that the
// configuration has lost meanwhile has no limit.
func (lu *linkUse) pay(ctx context.Context, num int) (waited bool, err error) {
	if lu == nil {
		return false, nil
	}
	for num > 0 {
		part := min(num, lu.part())
		wt, err := lu.await(ctx, part, (*limit.Bucket).TakeOrWait)
		waited = waited || wt
		if err != nil {
			return waited, err
		}
		num -= part
	}
	return waited, nil
}

// await waits for its turn and for the bytes. It asks the bucket how long to wait.
func (lu *linkUse) await(ctx context.Context, num int, ask func(*limit.Bucket, time.Time, unit.Milli) time.Duration) (
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
		wait := ask(bk, time.Now(), amount)
		if wait == 0 {
			return waited, nil
		}
		if !waited {
			bk.RecordWait(amount)
			waited = true
		}
		if wait < 0 || wait > recheckEvery {
			wait = recheckEvery
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

// admit reports whether the link has num bytes, or one part if that is less, before the context ends. It takes none:
// bytes that are paid long before their transfer could follow a full burst, and a window would have more than it may.
func (lu *linkUse) admit(ctx context.Context, num int) bool {
	if lu == nil {
		return true
	}
	bk, ok := lu.limits.Bucket(lu.resource)
	if !ok {
		return false
	}
	num = min(num, lu.part())
	if _, err := lu.await(ctx, num, (*limit.Bucket).WaitTime); err != nil {
		bk.RecordRefusal(unit.Milli(num) * unit.One)
		return false
	}
	return true
}

// linkUse returns the use of the link, or nil if the configuration states no capacity for it.
func (sv *Server) linkUse(vw *view, from, to id.Region) *linkUse {
	rs := limit.LinkResource(from, to)
	if !vw.links[rs] {
		return nil
	}
	turn, ok := sv.turns.Load(rs)
	if !ok {
		turn, _ = sv.turns.LoadOrStore(rs, make(chan struct{}, 1))
	}
	return &linkUse{limits: sv.op.Limits, resource: rs, turn: turn.(chan struct{})}
}

// findLinks finds the links that the request and its response cross. A caller at home has none.
func (rq *request) findLinks() {
	addr, _ := netip.ParseAddr(hostOf(rq.r.RemoteAddr))
	home, ok := rq.vw.homeRegion(rq.home, addr)
	if !ok || home == rq.vw.region {
		return
	}
	rq.away = true
	rq.up, rq.down = rq.sv.linkUse(rq.vw, home, rq.vw.region), rq.sv.linkUse(rq.vw, rq.vw.region, home)
	if rq.body != nil {
		rq.body.link = rq.up
	}
}

// checkLinks waits, as long as for a slot, until the links have the bytes of a small request and a small response.
func (rq *request) checkLinks() *refusal {
	ctx, cancel := context.WithTimeout(rq.r.Context(), min(slotWait, rq.deadline()/4))
	defer cancel()
	size := smallMessage
	if rq.r.ContentLength > 0 {
		size = int(min(rq.r.ContentLength, smallMessage))
	}
	if rq.body != nil && !rq.up.admit(ctx, size) || !rq.down.admit(ctx, smallMessage) {
		if rq.r.Context().Err() != nil {
			return notRun(dedup.Canceled)
		}
		return notRun(dedup.LinkFull)
	}
	return nil
}

// headerBytes estimates the size of the header of a response.
func headerBytes(hd http.Header) int {
	sum := responseLine
	for name, vals := range hd {
		for _, val := range vals {
			sum += len(name) + len(val) + headerFieldBytes
		}
	}
	return sum
}
