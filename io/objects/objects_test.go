package objects_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/io/objects"
)

// fakeStore is a Reader in memory. Tests set its responses, and it counts the requests.
type fakeStore struct {
	mu      sync.Mutex
	names   []string
	changes []objects.Change
	rev     objects.Revision
	err     error
	lists   int
	watches int
}

func (fs *fakeStore) List(context.Context, objects.Kind) (objects.Listing, error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.lists++
	if fs.err != nil {
		return objects.Listing{}, fs.err
	}
	ls := objects.Listing{Revision: fs.rev}
	for _, name := range fs.names {
		ls.Objects = append(ls.Objects, objects.Object{Name: name, Revision: fs.rev})
	}
	return ls, nil
}

func (fs *fakeStore) Watch(ctx context.Context, _ objects.Kind, _ objects.Revision, wait time.Duration) (objects.Update, error) {
	fs.mu.Lock()
	changes, rev, err := fs.changes, fs.rev, fs.err
	fs.changes = nil
	fs.watches++
	fs.mu.Unlock()
	if err != nil || len(changes) > 0 {
		return objects.Update{Changes: changes, Revision: rev}, err
	}
	select {
	case <-ctx.Done():
		return objects.Update{}, ctx.Err()
	case <-time.After(wait):
		return objects.Update{Revision: rev}, nil
	}
}

func (fs *fakeStore) set(change func()) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	change()
}

// record keeps the last snapshot that an informer has applied.
type record struct {
	mu   sync.Mutex
	last objects.Snapshot
}

func (rc *record) apply(sn objects.Snapshot, _ bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.last = sn
}

func (rc *record) names() string {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return fmt.Sprint(len(rc.last.Objects))
}

func start(fs *fakeStore, rc *record) (in *objects.Informer, stop func()) {
	return follow(fs, rc.apply)
}

// follow starts an informer of the objects of a source.
func follow(rd objects.Reader, apply func(objects.Snapshot, bool)) (in *objects.Informer, stop func()) {
	in = objects.New(objects.Options{
		Store: rd, Kind: "targets", Clock: bootClock,
		Log: slog.New(slog.DiscardHandler), WatchWait: func() time.Duration { return 10 * time.Second }, Apply: apply,
	})
	ctx, cancel := context.WithCancel(context.Background())
	go in.Run(ctx)
	return in, cancel
}

// An informer must keep its objects during an outage of the store and catch up afterwards. It must list the objects again after a
// change that can't be decoded and after the store has lost its history, and an Interrupt must end a watch that gets no response.
func TestInformer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs, rc := &fakeStore{names: []string{"a", "b"}, rev: 5}, &record{}
		in, stop := start(fs, rc)
		defer stop()
		synctest.Wait()
		expect(t, "listed", rc.names(), "2")

		fs.set(func() { fs.err = fmt.Errorf("down") })
		in.Interrupt()
		time.Sleep(20 * time.Second)
		expect(t, "kept during an outage", rc.names(), "2")

		fs.set(func() {
			fs.err, fs.rev, fs.changes = nil, 6, []objects.Change{{Object: objects.Object{Name: "a"}, Removed: true}}
		})
		time.Sleep(2 * time.Second)
		expect(t, "updated after the outage", rc.names(), "1")
		if rc.last.RecoveredAt.IsZero() {
			t.Error("the snapshot doesn't have the time of the recovery")
		}

		fs.set(func() { fs.err = errors.Wrap(objects.ErrMalformed, "unexpected end") })
		in.Interrupt()
		time.Sleep(2 * time.Second)
		fs.set(func() { fs.err, fs.names = nil, []string{"u", "v"} })
		time.Sleep(2 * time.Second)
		expect(t, "listed after a malformed response", rc.names(), "2")

		fs.set(func() { fs.err, fs.names = objects.ErrHistoryLost, []string{"x", "y", "z"} })
		in.Interrupt()
		synctest.Wait()
		fs.set(func() { fs.err = nil })
		time.Sleep(2 * time.Second)
		expect(t, "listed after the history was lost", rc.names(), "3")
	})
}

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %s objects, want %s", what, got, want)
	}
}

// A VM that reads from the mirror of another VM must see every change, get ErrHistoryLost if its revision is too old for the
// mirror, and fall back to the store when the mirror is stale.
func TestRelay(t *testing.T) {
	Convey("a mirror that is served to another VM", t, func() {
		limit := time.Hour
		mr := objects.NewMirror(bootClock, func(objects.Kind, int) time.Duration { return limit })
		rt := mux.NewRouter()
		rt.Handle(objects.MirrorPath, mr.Handler())
		sv := httptest.NewServer(rt)
		defer sv.Close()
		fs := &fakeStore{names: []string{"from-store"}, rev: 90}
		rl := objects.NewRelayReader(fs, func() []string { return []string{strings.TrimPrefix(sv.URL, "http://")} }, nil,
			slog.New(slog.DiscardHandler))
		snapshot := func(rev objects.Revision, names ...string) {
			sn := objects.Snapshot{Revision: rev, Objects: map[string]objects.Object{}, FromList: true, KnownAt: bootClock()}
			for _, name := range names {
				sn.Objects[name] = objects.Object{Name: name, Revision: rev, Spec: []byte(`{"x":1}`)}
			}
			mr.Apply("targets", sn)
		}
		ctx := context.Background()
		snapshot(10, "a")
		ls, err := rl.List(ctx, "targets")
		So(err, ShouldBeNil)
		So(ls.Relayed, ShouldBeTrue)
		So(ls.Revision, ShouldEqual, objects.Revision(10))
		So(string(ls.Objects[0].Spec), ShouldEqual, `{"x":1}`)

		snapshot(12, "a", "b")
		snapshot(15, "b")
		up, err := rl.Watch(ctx, "targets", 10, time.Second)
		So(err, ShouldBeNil)
		So(up.Revision, ShouldEqual, objects.Revision(15))
		state := map[string]bool{"a": true}
		for _, ch := range up.Changes {
			state[ch.Object.Name] = !ch.Removed
		}
		So(state, ShouldResemble, map[string]bool{"a": false, "b": true})

		snapshot(16, "b", "c")
		snapshot(17, "b", "c")
		up, err = rl.Watch(ctx, "targets", 12, time.Second)
		So(err, ShouldBeNil)
		names := map[string]int{}
		for _, ch := range up.Changes {
			names[ch.Object.Name]++
		}
		So(names, ShouldResemble, map[string]int{"a": 1, "b": 1, "c": 1}) // a replaced change must not be sent

		_, err = rl.Watch(ctx, "targets", 3, time.Second)
		So(err, ShouldEqual, objects.ErrHistoryLost)
		So(fs.lists+fs.watches, ShouldEqual, 0)

		limit = 0
		ls, err = rl.List(ctx, "targets")
		So(err, ShouldBeNil)
		So(ls.Relayed, ShouldBeFalse)
		So(ls.Objects[0].Name, ShouldEqual, "from-store")
	})
}

// VMs that start at the same time must not all watch the store before they know which VM to read from.
func TestWatchWaitsForSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := &fakeStore{rev: 5}
		asked := time.Now()
		rl := objects.NewRelayReader(fs, func() []string { return nil }, nil, slog.New(slog.DiscardHandler))
		rl.WaitForSourceUntil(asked.Add(time.Second))
		if _, err := rl.Watch(t.Context(), "targets", 5, time.Second); err != nil {
			t.Fatal(err)
		}
		if fs.watches != 1 || time.Since(asked) < 2*time.Second {
			t.Errorf("the first watch of the store began after %s, want at least 1s", time.Since(asked)-time.Second)
		}
	})
}

// During an outage, VMs that expect an Interrupt must call the store rarely, because a large fleet would overload it. Once the
// store has recovered, an Interrupt must let them catch up at once.
func TestInformerExpectsInterrupt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs, rc := &fakeStore{names: []string{"a"}, rev: 5}, &record{}
		in := objects.New(objects.Options{
			Store: fs, Kind: "targets", Clock: bootClock,
			Log: slog.New(slog.DiscardHandler), WatchWait: func() time.Duration { return 10 * time.Second }, Apply: rc.apply,
			ExpectsInterrupt: func() bool { return true },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go in.Run(ctx)
		synctest.Wait()
		fs.set(func() { fs.err, fs.watches = fmt.Errorf("down"), 0 })
		in.Interrupt()
		const outage = 30 * time.Second
		time.Sleep(outage)
		fs.set(func() {
			if most := int(outage/time.Second) + 8; fs.watches > most {
				t.Errorf("%d calls during an outage of %s, want at most %d", fs.watches, outage, most)
			}
			fs.err, fs.rev, fs.changes = nil, 6, []objects.Change{{Object: objects.Object{Name: "a"}, Removed: true}}
		})
		in.Interrupt()
		time.Sleep(10 * time.Millisecond)
		expect(t, "updated at once after the outage", rc.names(), "0")
	})
}
