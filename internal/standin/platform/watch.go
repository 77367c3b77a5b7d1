package platform

import (
	"context"
	"time"

	"damasklatch/io/store"

	"github.com/pkg/errors"
)

// Watch implements store.Store. It reports only the latest change of each object, so several changes in quick
// succession may be reported as one.
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

// watchPoll is the result of one poll of the store by a watch.
type watchPoll struct {
	changes      []store.Change
	revision     store.Version
	done         bool            // the watch returns now
	neverAnswers bool            // the watch never returns a result
	nextPoll     time.Time       // time of the next poll
	changed      <-chan struct{} // closed when the watch must poll again; see Store.changed
}

// poll reads the store once, with the active faults, for a watch that waits until end.
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

// pollStore returns the changes after a version, in the state that the store had lag ago.
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

// pause waits until the next poll is due. It returns an error if the context ends first.
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
