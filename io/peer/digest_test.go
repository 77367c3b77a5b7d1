package peer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"damasklatch/core/id"
	"damasklatch/core/membership"
	"damasklatch/io/peer"
)

func newTable(now time.Time, domains, perDomain int) *membership.Table {
	entry := func(fd, nr int) membership.Entry {
		return membership.Entry{
			ID:            id.VMIncarnation{VM: id.VM(fmt.Sprintf("domain-%02d-%02d", fd, nr)), Incarnation: id.Incarnation(now.UnixNano())},
			FailureDomain: id.FailureDomain(fmt.Sprintf("domain-%02d", fd)),
			PeerAddress:   "10.100.200.1:7101", CallerAddress: "10.100.200.1:7001",
			Heartbeat: 1 << 20, Ready: true, FreeSlots: map[id.Pool]int{"parts_desk": 10, "field_reports": 3},
		}
	}
	tb := membership.New(entry(0, 0), 1)
	var ens []membership.Entry
	for fd := range domains {
		for nr := range perDomain {
			ens = append(ens, entry(fd, nr))
		}
		tb.RecordContact(id.FailureDomain(fmt.Sprintf("domain-%02d", fd)), now.Add(-300*time.Millisecond))
	}
	tb.Merge(now, ens)
	return tb
}

// Guards against digests that use more than the budget for all control traffic, 21 kB/s for each VM. In each round of
// 500 ms a VM starts two exchanges and replies to two, which makes 8 digests per round and 16 per second. The test uses
// 414 VMs.
func TestDigestBytes(t *testing.T) {
	const budget, digestsPerSecond = 21_000, 16
	now := time.Unix(1_800_000_000, 0)
	tb := newTable(now, 18, 23)
	local := peer.EncodeDigest(peer.DigestContext{Now: now, Generation: 90_000, ReceiverDomain: "domain-00"}, tb)
	remote := peer.EncodeDigest(peer.DigestContext{Now: now, Generation: 90_000, ReceiverDomain: "domain-01"}, tb)
	perSecond := (proto.Size(local) + proto.Size(remote)) / 2 * digestsPerSecond
	t.Logf("local %d bytes, remote %d bytes, %d bytes/s", proto.Size(local), proto.Size(remote), perSecond)
	if perSecond > budget {
		t.Errorf("digests take %d bytes/s, the budget for all control traffic is %d", perSecond, budget)
	}
}

// Guards against heartbeat updates that encoding and decoding change, and against a digest from a faulty peer whose
// columns have different lengths.
func TestUpdatesRoundTrip(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tb := newTable(now, 2, 2)
	dg := peer.EncodeDigest(peer.DigestContext{Now: now, ReceiverDomain: "domain-00"}, tb)
	got, err := peer.DecodeUpdates(dg.GetNews())
	if err != nil {
		t.Fatal(err)
	}
	byKey := func(nws []membership.Update) map[membership.Key]membership.Update {
		kys := make(map[membership.Key]membership.Update)
		for _, nw := range nws {
			kys[nw.Key] = nw
		}
		return kys
	}
	if df := cmp.Diff(byKey(tb.Updates(now, "domain-00")), byKey(got)); df != "" {
		t.Errorf("updates after a round trip (-want +got):\n%s", df)
	}
	dg.News.Beat = dg.News.Beat[1:]
	if _, err := peer.DecodeUpdates(dg.GetNews()); err == nil {
		t.Error("updates with a missing beat were accepted")
	}
}
