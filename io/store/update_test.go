package store_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// Guards against an update that reports a lost response as a failure, repeats a change that took effect, or reports
// success although the change is not in the store.
func TestUpdate(t *testing.T) {
	add := func(old []byte) ([]byte, error) {
		if strings.Contains(string(old), "me") {
			return old, nil
		}
		return append(old, "me"...), nil
	}
	cases := []struct {
		name   string
		faults platform.Faults
		kind   store.Kind
		writes int64
	}{
		{"no fault", platform.Faults{}, "", 1},
		{"response lost", platform.Faults{LoseAnswers: 1, Reset: true}, "", 1},
		{"request lost", platform.Faults{LoseRequests: 1, Reset: true}, "", 2},
		{"request and response lost", platform.Faults{LoseRequests: 1, LoseAnswers: 1, Reset: true}, "", 2},
		{"write late", platform.Faults{DelayBefore: 1500 * time.Millisecond, LoseAnswers: 1, Reset: true}, "", 1},
		{"no write arrives", platform.Faults{LoseRequests: platform.EveryCall, Reset: true}, store.Unknown, 16},
		{"down", platform.Faults{Down: true}, store.Unavailable, 0},
		{"silent", platform.Faults{Silent: true}, store.Timeout, 0},
		{"stale reads", platform.Faults{StaleBy: 4 * time.Second}, "", 1},
	}
	for _, tc := range cases {
		synctest.Test(t, func(t *testing.T) {
			Convey(tc.name, t, func() {
				ctx := t.Context()
				st := platform.NewStore(platform.StoreOptions{})
				_, err := st.Put(ctx, "a", []byte("you,"), 0)
				So(err, ShouldBeNil)
				time.Sleep(time.Minute)
				st.SetFaults(tc.faults)
				obj, err := store.Update(ctx, st, "a", add)
				So(kindOf(err), ShouldEqual, tc.kind)
				So(st.Calls().Put-1, ShouldEqual, tc.writes)
				if err == nil {
					now, _ := st.Peek("a")
					So(string(now.Value), ShouldEqual, "you,me")
					So(obj, ShouldResemble, now)
				}
			})
		})
	}
	Convey("An error of change is returned unchanged", t, func() {
		st := platform.NewStore(platform.StoreOptions{})
		refusal := errors.New("refused")
		_, err := store.Update(t.Context(), st, "a", func([]byte) ([]byte, error) { return nil, refusal })
		So(err, ShouldEqual, refusal)
	})
}

// updater adds lines to an object. Each line contains the updater's name and a number.
type updater struct {
	name  string
	st    store.Store
	added []string // lines whose update succeeded
	all   int
}

func (ud *updater) run(ctx context.Context, running *sync.WaitGroup) {
	defer running.Done()
	for nr := range ud.all {
		line := fmt.Sprintf("%s %d\n", ud.name, nr)
		_, err := store.Update(ctx, ud.st, "a", func(old []byte) ([]byte, error) {
			if strings.Contains(string(old), line) {
				return old, nil
			}
			return append(append([]byte(nil), old...), line...), nil
		})
		if err == nil {
			ud.added = append(ud.added, line)
		}
	}
}

// Guards against lost and repeated changes when several writers encounter lost responses, delays and stale reads.
func TestConcurrentUpdates(t *testing.T) {
	text := fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		st := platform.NewStore(platform.StoreOptions{})
		uds := make([]*updater, rapid.IntRange(2, 4).Draw(rt, "writers"))
		var running sync.WaitGroup
		for nr := range uds {
			cl := st.NewClient()
			cl.SetClientFaults(platform.Faults{DelayBefore: time.Duration(nr) * time.Millisecond})
			uds[nr] = &updater{name: fmt.Sprint("writer", nr), st: cl, all: 4}
			running.Add(1)
			go uds[nr].run(context.Background(), &running)
		}
		for range rapid.IntRange(0, 10).Draw(rt, "faults") {
			time.Sleep(time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond)
			st.SetFaults(platform.Faults{
				LoseRequests: rapid.IntRange(0, 2).Draw(rt, "requests"),
				LoseAnswers:  rapid.IntRange(0, 2).Draw(rt, "answers"),
				Reset:        rapid.Bool().Draw(rt, "reset"),
				DelayBefore:  time.Duration(rapid.IntRange(0, 2500).Draw(rt, "delay")) * time.Millisecond,
				StaleBy:      time.Duration(rapid.IntRange(0, 2500).Draw(rt, "stale")) * time.Millisecond,
			})
		}
		st.SetFaults(platform.Faults{})
		running.Wait()
		time.Sleep(time.Minute)
		now, _ := st.Peek("a")
		for _, ud := range uds {
			for _, line := range ud.added {
				if !strings.Contains(string(now.Value), line) {
					rt.Fatalf("%q was reported as written and is missing in %q", line, now.Value)
				}
			}
			for nr := range ud.all {
				if line := fmt.Sprintf("%s %d\n", ud.name, nr); strings.Count(string(now.Value), line) > 1 {
					rt.Fatalf("%q was written twice: %q", line, now.Value)
				}
			}
		}
	})
	if text != "" {
		t.Error(text)
	}
}
