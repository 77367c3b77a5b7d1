package objects_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/lease"
	"damasklatch/io/objects"

	"github.com/pkg/errors"
)

// bootClock is the clock of VMs in tests. In a synctest bubble, it is paused with time.Now.
func bootClock() lease.Instant { return lease.Instant(time.Now().UnixNano()) }

func unlimited(objects.Kind, int) time.Duration { return math.MaxInt64 }

// A VM that has followed another mirror may know an object that this mirror never had, because it was created and removed between two
// responses of the store. The VM must learn of the removal: otherwise it keeps sending requests to a target that has left.
func TestMirrorReportsUnseenObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs, mr := &fakeStore{names: []string{"a"}, rev: 10}, objects.NewMirror(bootClock, unlimited)
		in, stop := follow(fs, func(sn objects.Snapshot, _ bool) { mr.Apply("targets", sn) })
		defer stop()
		synctest.Wait()

		b := objects.Object{Name: "b", Revision: 12}
		fs.set(func() {
			fs.rev, fs.changes = 18, []objects.Change{{Object: b}, {Object: b, Removed: true}}
		})
		in.Interrupt()
		time.Sleep(time.Second)
		up, err := mr.Watch(t.Context(), "targets", 15, time.Millisecond)
		if err != nil || len(up.Changes) != 1 || !up.Changes[0].Removed || up.Changes[0].Object.Name != "b" {
			t.Errorf("the watch after a watch of the store returned %+v, %v, want the removal of b", up, err)
		}

		fs.set(func() { fs.err = objects.ErrHistoryLost })
		in.Interrupt()
		synctest.Wait()
		fs.set(func() { fs.err, fs.rev = nil, 25 })
		time.Sleep(time.Second)
		for after, want := range map[objects.Revision]error{18: nil, 22: objects.ErrHistoryLost, 25: nil} {
			if _, err := mr.Watch(t.Context(), "targets", after, time.Millisecond); !errors.Is(err, want) {
				t.Errorf("the watch from revision %d after a list at 25 returned error %v, want %v", after, err, want)
			}
		}
	})
}

// The gaps of a mirror must not grow without bound while the configuration is listed periodically, and must be checked even if the
// oldest ones are forgotten.
func TestMirrorForgetsOldGaps(t *testing.T) {
	mr := objects.NewMirror(bootClock, unlimited)
	for rev := objects.Revision(10); rev <= 10_000; rev += 10 {
		mr.Apply("config", objects.Snapshot{Revision: rev, FromList: true})
	}
	for after, want := range map[objects.Revision]error{
		20: objects.ErrHistoryLost, 9_990: nil, 9_995: objects.ErrHistoryLost, 10_000: nil, 10_005: nil,
	} {
		if _, err := mr.Watch(context.Background(), "config", after, 0); !errors.Is(err, want) {
			t.Errorf("the watch from revision %d returned error %v, want %v", after, err, want)
		}
	}
}

// silentStore is a Reader that responds until the test silences it, and never after that.
type silentStore struct {
	fakeStore
	silent chan struct{}
}

func (ss *silentStore) Watch(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (objects.Update, error) {
	select {
	case <-ss.silent:
		<-ctx.Done()
		return objects.Update{}, ctx.Err()
	default:
		return ss.fakeStore.Watch(ctx, kind, after, min(wait, 500*time.Millisecond))
	}
}

// impatient watches a Reader no longer than another VM does.
type impatient struct{ objects.Reader }

func (im *impatient) Watch(ctx context.Context, kind objects.Kind, after objects.Revision, wait time.Duration) (objects.Update, error) {
	return im.Reader.Watch(ctx, kind, after, min(wait, objects.MaxRelayWait))
}

// A copy must not look new because it was fetched from another VM a moment ago: its age counts from the response of the store, over all
// VMs that it has passed through. A watch of a mirror must end when the copy becomes too old; held until the end of its wait, it kept
// a VM from looking elsewhere, and a withdrawn key was accepted for too long.
func TestAgeOfCopyOverTwoHops(t *testing.T) {
	const limit = 1700 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		ss := &silentStore{fakeStore{names: []string{"a"}, rev: 10}, make(chan struct{})}
		first := objects.NewMirror(bootClock, func(objects.Kind, int) time.Duration { return limit })
		_, stopReader := follow(ss, func(sn objects.Snapshot, _ bool) { first.Apply("targets", sn) })
		defer stopReader()
		synctest.Wait()
		second := objects.NewMirror(bootClock, unlimited)
		_, stopFollower := follow(&impatient{first}, func(sn objects.Snapshot, _ bool) { second.Apply("targets", sn) })
		defer stopFollower()
		time.Sleep(5 * time.Second)
		close(ss.silent)
		silenced := time.Now()
		time.Sleep(600 * time.Millisecond) // the last watch of the store has ended

		held := time.Now()
		_, err := first.Watch(t.Context(), "targets", 10, 10*time.Second)
		if !errors.Is(err, objects.ErrMirrorStale) || time.Since(silenced) > limit+600*time.Millisecond {
			t.Errorf("the watch ended after %s with error %v, want that the mirror is stale at %s", time.Since(held), err, limit)
		}
		time.Sleep(10 * time.Second)
		age, hops, _ := second.Age("targets")
		if least := time.Since(silenced); age < least-500*time.Millisecond || age > least+limit || hops != 1 {
			t.Errorf("the age of the second copy is %s over %d hops, want about %s over 1", age, hops, least)
		}
	})
}

// A VM of an earlier version sends no age. Its copy counts as new, and must not be refused, or a fleet of both versions would ask the
// store from every VM.
func TestAgeOfCopyOfEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mr := objects.NewMirror(bootClock, unlimited)
		_, stop := follow(&earlierVersion{}, func(sn objects.Snapshot, _ bool) { mr.Apply("targets", sn) })
		defer stop()
		time.Sleep(10*time.Second + 500*time.Millisecond)
		want := 1500 * time.Millisecond // since the request whose response came last
		if age, hops, ok := mr.Age("targets"); age != want || hops != 1 || !ok {
			t.Errorf("the age of the copy is %s over %d hops, want %s over 1", age, hops, want)
		}
	})
}

// earlierVersion is a mirror of a VM of an earlier version.
type earlierVersion struct{}

func (*earlierVersion) List(context.Context, objects.Kind) (objects.Listing, error) {
	return objects.Listing{Revision: 7, Relayed: true}, nil
}

func (*earlierVersion) Watch(ctx context.Context, _ objects.Kind, _ objects.Revision, _ time.Duration) (objects.Update, error) {
	select {
	case <-ctx.Done():
		return objects.Update{}, ctx.Err()
	case <-time.After(time.Second):
		return objects.Update{Revision: 7, Relayed: true}, nil
	}
}

// A revision of the store proves that a copy is complete only if the copy is known up to it.
func TestConfirmCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mr := objects.NewMirror(bootClock, unlimited)
		if mr.Confirm("targets", 5, bootClock()) {
			t.Error("a copy was confirmed before its first snapshot")
		}
		mr.Apply("targets", objects.Snapshot{Revision: 10, FromList: true, KnownAt: bootClock(), Hops: 1})
		time.Sleep(3 * time.Second)
		if mr.Confirm("targets", 11, bootClock()) {
			t.Error("a copy of revision 10 was confirmed by revision 11")
		}
		if age, _, _ := mr.Age("targets"); age != 3*time.Second {
			t.Errorf("the age is %s, want 3s", age)
		}
		if !mr.Confirm("targets", 10, bootClock()) {
			t.Error("a copy of revision 10 was not confirmed by revision 10")
		}
		if age, hops, _ := mr.Age("targets"); age != 0 || hops != 0 {
			t.Errorf("the age is %s over %d hops, want 0 over 0", age, hops)
		}
	})
}
