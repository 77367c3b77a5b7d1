package gateway

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/roster"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

// versionCodec is an Adapter whose configuration is a version only: the length of the object's name.
type versionCodec struct{ kindsOnly }

func (versionCodec) DecodeConfig(all map[string]objects.Object) (routing.Config, error) {
	for name := range all {
		return routing.Config{Version: id.Generation(len(name))}, nil
	}
	return routing.Config{}, nil
}

// configOf returns the objects of a configuration with a version.
func configOf(version int) map[string]objects.Object {
	name := ""
	for range version {
		name += "v"
	}
	return map[string]objects.Object{name: {Name: name}}
}

// Guards against a VM that accepts a withdrawn key for ever: it has missed a configuration that the restored store no longer has, and
// takes the store's older one for the newest.
func TestOlderStoreIsNoEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := func() lease.Instant { return lease.Instant(time.Now().UnixNano()) }
		rs := roster.New(roster.Peer{VM: "self"})
		rs.SetPeers(time.Now(), []roster.Peer{{VM: "other", RelayAddress: "relay"}})
		ct := &Controller{
			Components: Components{Adapter: versionCodec{}, Lease: lease.New(clock, 4*time.Second), Roster: rs},
			version:    16, fetches: make(chan string, 1), progress: map[objects.Kind]*watchProgress{"config": {}},
		}
		ct.Log = slog.New(slog.DiscardHandler)
		answer := func() bool {
			time.Sleep(time.Second)
			before, _ := ct.Lease.Age()
			ct.applySnapshot(snapshotEvent{kind: "config", sn: objects.Snapshot{RequestedAt: clock(), FromList: true}})
			age, ok := ct.Lease.Age()
			return ok && (age == 0 || age < before)
		}
		if !answer() {
			t.Error("the lease is not renewed by the store")
		}
		ct.noteVersion(time.Now(), &roster.Report{VM: "other", Version: 17})
		if answer() {
			t.Error("the lease is renewed although another VM has a newer configuration")
		}
		ct.fetchNewer(time.Now())
		if len(ct.fetches) != 0 {
			t.Error("another VM is asked at once")
		}
		time.Sleep(versionStall)
		ct.fetchNewer(time.Now())
		if len(ct.fetches) != 1 || <-ct.fetches != "relay" {
			t.Error("the other VM is not asked")
		}
		ct.version = 17
		if !answer() {
			t.Error("the lease is not renewed after the newer configuration was put into force")
		}
	})
}

// Guards against VMs that start and get the older configuration of a restored store from a VM that has the newer one.
func TestMirrorKeepsNewestConfig(t *testing.T) {
	Convey("an older configuration of the source is replaced in the mirror", t, func() {
		ct := &Controller{Components: Components{Adapter: versionCodec{}}}
		sr := &informerSource{ct: ct, kind: "config"}
		served := func(version int, changed bool) id.Generation {
			sn := objects.Snapshot{Objects: configOf(version)}
			sr.keepNewest(&sn, changed)
			cfg, _ := versionCodec{}.DecodeConfig(sn.Objects)
			return cfg.Version
		}
		So(served(5, true), ShouldEqual, id.Generation(5))
		So(served(3, true), ShouldEqual, id.Generation(5))
		So(served(3, false), ShouldEqual, id.Generation(5))
		So(served(5, true), ShouldEqual, id.Generation(5))
		So(served(7, true), ShouldEqual, id.Generation(7))
		ct.newest.offer(9, configOf(9))
		So(served(7, true), ShouldEqual, id.Generation(9))
	})
}
