package objects_test

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"damasklatch/io/objects"
)

// serveMirror serves a mirror with an object at a revision and returns its address.
func serveMirror(t *testing.T, limit objects.CopyLimit, rev objects.Revision) string {
	t.Helper()
	mr := objects.NewMirror(bootClock, limit)
	mr.Apply("targets", objects.Snapshot{Revision: 5, FromList: true, KnownAt: bootClock()})
	change := objects.Change{Object: objects.Object{Name: "a", Revision: rev}}
	mr.Apply("targets", objects.Snapshot{
		Revision: rev, Objects: map[string]objects.Object{"a": change.Object}, Changes: []objects.Change{change}, KnownAt: bootClock(),
	})
	rt := mux.NewRouter()
	rt.Handle(objects.MirrorPath, mr.Handler())
	sv := httptest.NewServer(rt)
	t.Cleanup(sv.Close)
	return strings.TrimPrefix(sv.URL, "http://")
}

// A VM whose source is stale or lacks a change must get it from another VM. If it asked the store, an outage of one VM's link would
// multiply the calls; if it asked the same VM again, it would send requests to a target that has left.
func TestRelayAsksOtherSource(t *testing.T) {
	never := func(objects.Kind, int) time.Duration { return 0 }
	for what, first := range map[string]struct {
		limit  objects.CopyLimit
		rev    objects.Revision
		behind bool
	}{
		"stale":  {never, 10, false},
		"behind": {unlimited, 8, true},
	} {
		fs := &fakeStore{names: []string{"from-store"}, rev: 90}
		sources := []string{serveMirror(t, first.limit, first.rev), serveMirror(t, unlimited, 10)}
		rl := objects.NewRelayReader(fs, func() []string { return sources }, nil, slog.New(slog.DiscardHandler))
		if first.behind {
			if up, err := rl.Watch(t.Context(), "targets", 8, time.Millisecond); err != nil || len(up.Changes) > 0 {
				t.Errorf("%s: the first watch returned %+v, %v, want no changes", what, up, err)
			}
			rl.AvoidSource()
		}
		up, err := rl.Watch(t.Context(), "targets", 8, time.Millisecond)
		if err != nil || up.Revision != 10 || len(up.Changes) != 1 || up.Copy == nil || up.Copy.Hops != 0 {
			t.Errorf("%s: the watch returned %+v, %v, want the change of revision 10 with its age", what, up, err)
		}
		if ls, err := rl.List(t.Context(), "targets"); err != nil || ls.Revision != 10 {
			t.Errorf("%s: the list returned %+v, %v, want revision 10", what, ls, err)
		}
		if fs.lists+fs.watches > 0 {
			t.Errorf("%s: the store got %d calls, want 0", what, fs.lists+fs.watches)
		}
	}
}

// A VM of an earlier version must understand the responses of this one: it knows the fields below, and ignores others.
func TestResponseForEarlierVersion(t *testing.T) {
	address := serveMirror(t, unlimited, 10)
	for query, want := range map[string]string{
		"":                     `[{"Name":"a","Revision":10,"Spec":null}] 10 true`,
		"?after=5&wait_ms=100": `[{"Object":{"Name":"a","Revision":10,"Spec":null},"Removed":false}] 10 true`,
	} {
		resp, err := http.Get("http://" + address + "/v1/objects/targets" + query)
		if err != nil {
			t.Fatal(err)
		}
		var out struct {
			Objects, Changes json.RawMessage
			Revision         int64
			Relayed          bool
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		if got := fmt.Sprintf("%s%s %d %t", out.Objects, out.Changes, out.Revision, out.Relayed); err != nil || got != want {
			t.Errorf("query %q: got %s, %v, want %s", query, got, err, want)
		}
	}
}
