package objects_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/io/objects"

	"github.com/pkg/errors"
)

// A VM that has followed another mirror may know an object that this mirror never had, because it was created and removed between two
// responses of the store. The VM must learn of the removal: otherwise it keeps sending requests to a target that has left.
func TestMirrorReportsUnseenObjects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs, mr := &fakeStore{names: []string{"a"}, rev: 10}, objects.NewMirror(func() bool { return true })
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
	mr := objects.NewMirror(func() bool { return true })
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
