package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/lease"
)

// A reader with a slow link delays all changes that it relays. Readers in a single region can be lost in the same outage.
func TestChooseReaders(t *testing.T) {
	fleet := func(regions string, rates ...float64) []candidate {
		var all []candidate
		for nr, rate := range rates {
			all = append(all, candidate{id.VM(string(rune('a' + nr))), id.Region(regions[nr : nr+1]), rate})
		}
		return all
	}
	Convey("the readers", t, func() {
		Convey("are the VMs with the fastest links of their regions", func() {
			So(chooseReaders(fleet("111222333", 10, 200, 50, 10, 10, 100, 5, 6, 7)), ShouldResemble, []id.VM{"b", "f", "i"})
		})
		Convey("are chosen even if no link rate is known", func() {
			So(chooseReaders(fleet("112233", 0, 0, 0, 0, 0, 0)), ShouldResemble, []id.VM{"a", "c", "e"})
		})
		Convey("are several VMs of the same region if there is only one", func() {
			So(chooseReaders(fleet("1111", 5, 9, 7, 1)), ShouldResemble, []id.VM{"b", "c", "a"})
		})
		Convey("are all VMs of a tiny fleet", func() {
			So(chooseReaders(fleet("1", 10)), ShouldResemble, []id.VM{"a"})
			So(chooseReaders(fleet("11", 10, 10)), ShouldResemble, []id.VM{"a", "b"})
		})
	})
}

// A VM without a second source asks the store while the first one fails.
func TestChooseSources(t *testing.T) {
	Convey("the sources", t, func() {
		Convey("are VMs of the first rank, then of the next ones", func() {
			chosen := chooseSources(7, [][]string{{"a", "b"}, nil, {"x", "y"}})
			So(chosen, ShouldHaveLength, maxSources)
			So(chosen[:2], ShouldContain, "a")
			So(chosen[:2], ShouldContain, "b")
			So([]string{"x", "y"}, ShouldContain, chosen[2])
		})
		Convey("differ between VMs, so that each source serves only a few", func() {
			first := map[string]bool{}
			for key := range uint64(32) {
				first[chooseSources(key, [][]string{{"a", "b", "c"}})[0]] = true
			}
			So(first, ShouldHaveLength, 3)
		})
		Convey("are none if no VM can be read from", func() {
			So(chooseSources(7, [][]string{nil, nil, nil}), ShouldBeEmpty)
		})
	})
}

// kindsOnly is an Adapter of which only the kinds are used.
type kindsOnly struct{ Adapter }

func (kindsOnly) Kinds() Kinds {
	return Kinds{Config: "config", Targets: "targets", Evacuations: "evacuations", VMs: "vms"}
}

// A reader that has lost the store must follow other VMs, as the VMs that are no readers do. Otherwise it misses targets that leave,
// and refuses requests under keys when its lease ends, for the whole outage.
func TestReaderWithoutStoreFollowsOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := func() lease.Instant { return lease.Instant(time.Now().UnixNano()) }
		ct := &Controller{Components: Components{Adapter: kindsOnly{}, Lease: lease.New(clock, 4*time.Second)}}
		ct.isReader.Store(true)
		ct.sources.Store(&[]string{"other"})
		config, targets := &informerSource{ct: ct, kind: "config"}, &informerSource{ct: ct, kind: "targets"}
		state := func() (polls bool, configSources, targetSources int) {
			_, polls = config.pollInterval()
			return polls, len(config.sourceAddresses()), len(targets.sourceAddresses())
		}
		check := func(what string, wantPolls bool, wantConfig, wantTargets int) {
			t.Helper()
			if polls, cs, ts := state(); polls != wantPolls || cs != wantConfig || ts != wantTargets {
				t.Errorf("%s: polls %t, %d sources of the configuration, %d of targets, want %t, %d, %d", what, polls, cs, ts,
					wantPolls, wantConfig, wantTargets)
			}
		}
		ct.lastStoreResponse.Store(int64(clock()))
		check("with the store", true, 0, 0)
		time.Sleep(configPollInterval + sourceGrace)
		ct.wantRead.Store(true) // the lease becomes old
		check("probe after the store was lost", true, 0, 1)
		check("between probes", false, 1, 1)
		time.Sleep(storeProbeInterval)
		check("next probe", true, 0, 1)
		ct.sources.Store(&[]string{})
		check("without other readers", true, 0, 0)
		ct.lastStoreResponse.Store(int64(clock()))
		check("after the store was regained", true, 0, 0)

		// A VM that is no reader and whose lease is old must also get newer configurations, or it can't renew its lease.
		ct.isReader.Store(false)
		ct.sources.Store(&[]string{"other"})
		check("old lease, with the store", true, 0, 1)
		time.Sleep(configPollInterval + sourceGrace)
		check("old lease, probe of a silent store", true, 0, 1)
		check("old lease, between probes", false, 1, 1)
		ct.wantRead.Store(false)
		check("renewed lease", false, 1, 1)
	})
}
