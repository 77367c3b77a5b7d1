package objects_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/io/objects"

	. "github.com/smartystreets/goconvey/convey"
)

func ExampleRevision() {
	before, _ := objects.NewRevision(1, 900)
	after, _ := objects.NewRevision(2, 7)
	fmt.Println(after > before, after.Era(), after.Number())
	// Output: true 2 7
}

// Guards against a revision that counts for another era because its number is out of range.
func TestRevisionRange(t *testing.T) {
	Convey("parts out of range", t, func() {
		for _, bad := range [][2]int64{{-1, 1}, {1, -1}, {objects.MaxEra + 1, 1}, {1, objects.MaxNumber + 1}} {
			_, ok := objects.NewRevision(objects.Era(bad[0]), bad[1])
			So(ok, ShouldBeFalse)
		}
		rev, ok := objects.NewRevision(objects.MaxEra, objects.MaxNumber)
		So(ok, ShouldBeTrue)
		So(rev.Era(), ShouldEqual, objects.Era(objects.MaxEra))
		So(rev.Number(), ShouldEqual, int64(objects.MaxNumber))
	})
}

// restorableStore is a Reader in memory whose content can be replaced by a copy. It keeps its whole history.
type restorableStore struct {
	mu      sync.Mutex
	era     objects.Era
	number  int64
	objects map[string]objects.Object
	history []objects.Change
	changed chan struct{} // closed and replaced at each change
}

func newRestorableStore() *restorableStore {
	return &restorableStore{objects: map[string]objects.Object{}, changed: make(chan struct{})}
}

// put writes objects, each with a revision of its own.
func (rs *restorableStore) put(names ...string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	for _, name := range names {
		rs.number++
		ob := objects.Object{Name: name, Revision: rs.revision()}
		rs.objects[name] = ob
		rs.history = append(rs.history, objects.Change{Object: ob})
	}
	rs.wake()
}

// restore replaces all objects by others and lets the numbers of revisions go back.
func (rs *restorableStore) restore(number int64, names ...string) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.era++
	rs.number, rs.objects, rs.history = number, map[string]objects.Object{}, nil
	for _, name := range names {
		rs.objects[name] = objects.Object{Name: name, Revision: rs.revision()}
	}
	rs.wake()
}

func (rs *restorableStore) wake() {
	close(rs.changed)
	rs.changed = make(chan struct{})
}

func (rs *restorableStore) revision() objects.Revision {
	rev, _ := objects.NewRevision(rs.era, rs.number)
	return rev
}

func (rs *restorableStore) List(context.Context, objects.Kind) (objects.Listing, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	ls := objects.Listing{Revision: rs.revision()}
	for _, ob := range rs.objects {
		ls.Objects = append(ls.Objects, ob)
	}
	return ls, nil
}

func (rs *restorableStore) Watch(ctx context.Context, _ objects.Kind, after objects.Revision, wait time.Duration) (objects.Update, error) {
	tm := time.NewTimer(wait)
	defer tm.Stop()
	for over := false; ; {
		up, changed, err := rs.changesSince(after)
		if err != nil || over || len(up.Changes) > 0 {
			return up, err
		}
		select {
		case <-changed:
		case <-tm.C:
			over = true
		case <-ctx.Done():
			return objects.Update{}, ctx.Err()
		}
	}
}

func (rs *restorableStore) changesSince(after objects.Revision) (objects.Update, <-chan struct{}, error) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if after.Era() != rs.era {
		return objects.Update{}, nil, objects.ErrHistoryLost
	}
	up := objects.Update{Revision: rs.revision()}
	for _, ch := range rs.history {
		if ch.Object.Revision > after {
			up.Changes = append(up.Changes, ch)
		}
	}
	return up, rs.changed, nil
}

// copyFleet is VMs with a copy each: readers of a store, and VMs that follow the mirrors of readers.
type copyFleet struct {
	records []*record
	stops   []func()
}

// newCopyFleet starts the copies of so many VMs, three of them readers.
func newCopyFleet(rd objects.Reader, vms int) *copyFleet {
	const readers = 3
	fl := &copyFleet{}
	var mirrors []*objects.Mirror
	for nr := range vms {
		mr, rc, from := objects.NewMirror(bootClock, unlimited), &record{}, rd
		if nr >= readers {
			from = mirrors[nr%readers]
		}
		_, stop := follow(from, func(sn objects.Snapshot, changed bool) {
			mr.Apply("targets", sn)
			rc.apply(sn, changed)
		})
		mirrors, fl.records, fl.stops = append(mirrors, mr), append(fl.records, rc), append(fl.stops, stop)
		if nr == readers-1 {
			synctest.Wait()
		}
	}
	return fl
}

func (fl *copyFleet) stop() {
	for _, stop := range fl.stops {
		stop()
	}
}

// agree reports whether all VMs have exactly the given objects.
func (fl *copyFleet) agree(names ...string) bool {
	for _, rc := range fl.records {
		if !rc.has(names) {
			return false
		}
	}
	return true
}

func (rc *record) has(names []string) bool {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for _, name := range names {
		if _, ok := rc.last.Objects[name]; !ok {
			return false
		}
	}
	return len(rc.last.Objects) == len(names)
}

// maxAgreeTime is the time within which all VMs must have what a restored store has. It is less than a target's deadline after it was
// withdrawn.
const maxAgreeTime = 2 * time.Second

// Guards against VMs that keep what the store had before a restore, or miss what it got since under the same revisions.
func TestRestoredStoreSpreads(t *testing.T) {
	for _, vms := range []int{10, 65, 195} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rs := newRestorableStore()
				rs.put("a", "b", "c")
				fl := newCopyFleet(rs, vms)
				defer fl.stop()
				time.Sleep(time.Second)
				rs.put("d", "e")
				time.Sleep(time.Second)
				if !fl.agree("a", "b", "c", "d", "e") {
					t.Fatal("not all VMs have the objects of the first era")
				}
				rs.restore(3, "a", "b", "c")
				rs.put("f", "g") // with the revisions of d and e
				restored := time.Now()
				for !fl.agree("a", "b", "c", "f", "g") {
					if time.Since(restored) > maxAgreeTime {
						t.Fatal("not all VMs have the objects of the second era")
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("%d VMs agree after %s", vms, time.Since(restored))
			})
		})
	}
}
