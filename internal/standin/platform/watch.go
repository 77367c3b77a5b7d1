package platform

import (
	"context"
	"time"

	"damasklatch/io/store"

	"github.com/pkg/errors"
)

// Watch implements store.Store. It reports the latest change of each object, so changes that follow each other
// quickly may be reported as one.
func (cl *Client) Watch(
	ctx context.Context, prefix string, after store.Version, wait time.Duration,
) ([]store.Change, store.Version, error) {
	ctx, cancel := cl.withCallTimeout(ctx, wait)
	defer cancel()
	fa, er := cl.admit(ctx, OpWatch)
	if er == nil {
		er = sleep(ctx, OpWatch, fa.DelayBefore)
	}
	end := time.Now().Add(wait)
	var lk watchPoll
	for er == nil && !lk.done {
		lk, er = cl.poll(prefix, after, end)
		if er == nil && !lk.done {
			er = lk.pause(ctx)
		}
	}
	if er == nil {
		er = sleep(ctx, OpWatch, fa.DelayAfter)
	}
	if er != nil {
		return nil, 0, completeError(er, OpWatch, prefix)
	}
	return lk.changes, lk.revision, nil
}

// watchPoll is what a watch sees when it looks at the store.
type watchPoll struct {
	changes  []store.Change
	revision store.Version
	done     bool            // the watch answers now
	neverAnswers     bool            // the watch never answers
	nextPoll     time.Time       // time to look again
	changed  <-chan struct{} // closed when there may be something new
}

// poll looks at the store for a watch that waits until end.
func (cl *Client) poll(prefix string, after store.Version, end time.Time) (watchPoll, *store.Error) {
	fa := cl.activeFaults()
	switch {
	case fa.Down || fa.Refuse:
		return watchPoll{}, &store.Error{Kind: store.Unavailable, Err: errors.New("the store is down")}
	case fa.Silent || fa.Watch == WatchSilent:
		return watchPoll{neverAnswers: true}, nil
	}
	lk := cl.pollStore(prefix, after, end, fa.StaleBy)
	if fa.Watch == WatchEmpty {
		lk.changes, lk.done = nil, !time.Now().Before(end)
	}
	return lk, nil
}

// pollStore looks at the state of lag ago.
func (cl *Client) pollStore(prefix string, after store.Version, end time.Time, lag time.Duration) watchPoll {
	lk := watchPoll{nextPoll: end}
	_ = cl.withLock(func() *store.Error {
		now := time.Now()
		lk.changed = cl.st.changed
		keys, stas, revision := cl.st.objects.withPrefix(prefix, now.Add(-lag))
		lk.revision = revision
		for nr, sta := range stas {
			if sta.version > after {
				lk.changes = append(lk.changes, store.Change{Key: keys[nr], Version: sta.version, Deleted: sta.deleted})
			}
		}
		if next := cl.st.objects.nextVisibleChange(now, lag); !next.IsZero() && next.Before(end) {
			lk.nextPoll = next
		}
		lk.done = len(lk.changes) > 0 || !now.Before(end)
		return nil
	})
	return lk
}

// pause waits until it is time to look again.
func (lk *watchPoll) pause(ctx context.Context) *store.Error {
	if lk.neverAnswers {
		<-ctx.Done()
		return noResponseError(ctx, OpWatch)
	}
	tm := time.NewTimer(time.Until(lk.nextPoll))
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return noResponseError(ctx, OpWatch)
	case <-tm.C:
		return nil
	case <-lk.changed:
		return nil
	}
}
