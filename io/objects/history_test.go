package objects_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"damasklatch/io/objects"

	"github.com/pkg/errors"
)

const (
	// maxHeldBytes is the memory that a mirror may use beyond the objects themselves.
	maxHeldBytes = 64 << 20
	// largeSpec is the size of an object that is as large as a configuration.
	largeSpec = 512 << 10
	// changesOfOperator is the number of changes that an operator makes in the tests. All of them together are 128 MB.
	changesOfOperator = 256
)

func largeObject(name string, rev objects.Revision) objects.Object {
	return objects.Object{Name: name, Revision: rev, Spec: make(json.RawMessage, largeSpec)}
}

// heldBytes returns the memory in use.
func heldBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

func expectHeldBytes(t *testing.T, before uint64) {
	t.Helper()
	if now := heldBytes(); now > before+maxHeldBytes {
		t.Errorf("the mirror holds %d MB, at most %d MB are allowed", (now-before)>>20, maxHeldBytes>>20)
	}
}

// A VM has little memory, and its operator may change a large configuration often.
func TestHistoryOfOneLargeObjectIsBounded(t *testing.T) {
	before := heldBytes()
	mr := objects.NewMirror(bootClock, unlimited)
	for rev := objects.Revision(1); rev <= changesOfOperator; rev++ {
		ob := largeObject("current", rev)
		mr.Apply("config", objects.Snapshot{
			Revision: rev, Objects: map[string]objects.Object{"current": ob}, Changes: []objects.Change{{Object: ob}}, KnownAt: bootClock(),
		})
	}
	expectHeldBytes(t, before)
	up, err := mr.Watch(t.Context(), "config", 1, time.Millisecond)
	if err != nil || len(up.Changes) != 1 || up.Changes[0].Object.Revision != changesOfOperator {
		t.Errorf("a watch from the first revision returned %d changes, %v; want the last one", len(up.Changes), err)
	}
	runtime.KeepAlive(mr)
}

// Removed objects must not fill the memory. A watch that would need the removals that were discarded is told to list.
func TestHistoryOfRemovedObjectsIsBounded(t *testing.T) {
	before := heldBytes()
	mr := objects.NewMirror(bootClock, unlimited)
	for rev := objects.Revision(1); rev <= changesOfOperator; rev++ {
		ob := largeObject(fmt.Sprint("part-", rev), rev)
		mr.Apply("config", objects.Snapshot{Revision: rev, Changes: []objects.Change{{Object: ob, Removed: true}}, KnownAt: bootClock()})
	}
	expectHeldBytes(t, before)
	if _, err := mr.Watch(t.Context(), "config", 1, time.Millisecond); !errors.Is(err, objects.ErrHistoryLost) {
		t.Errorf("a watch from the first revision returned %v, want %v", err, objects.ErrHistoryLost)
	}
	up, err := mr.Watch(t.Context(), "config", changesOfOperator-1, time.Millisecond)
	if err != nil || len(up.Changes) != 1 {
		t.Errorf("a watch from the last but one revision returned %d changes, %v; want the last one", len(up.Changes), err)
	}
	runtime.KeepAlive(mr)
}
