package peer_test

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// Guards against messages from a faulty peer that make the daemon panic or accept invalid values.
func FuzzDecode(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	for _, ms := range []proto.Message{
		peer.EncodeDigest(peer.DigestContext{Now: now, ReceiverDomain: "domain-00"}, newTable(now, 2, 2)),
		&peerpb.BorrowRequest{Items: []*peerpb.BorrowItem{{Resource: "team/a", Held: &peerpb.Amount{RateMilli: -1}}}},
	} {
		src, err := proto.Marshal(ms)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(src)
	}
	f.Fuzz(func(t *testing.T, src []byte) {
		dg, rq, rp := new(peerpb.Digest), new(peerpb.BorrowRequest), new(peerpb.BorrowReply)
		if proto.Unmarshal(src, dg) == nil {
			checkDigest(t, dg)
		}
		if proto.Unmarshal(src, rq) == nil {
			if got, err := peer.DecodeBorrowRequest(rq); err == nil {
				for _, it := range got.Items {
					if it.Held.Rate < 0 || it.Wanted.Burst < 0 {
						t.Errorf("negative amount %+v", it)
					}
				}
			}
		}
		if proto.Unmarshal(src, rp) == nil {
			_, _ = peer.DecodeBorrowReply(rp)
		}
	})
}

func checkDigest(t *testing.T, dg *peerpb.Digest) {
	if nws, err := peer.DecodeUpdates(dg.GetNews()); err == nil {
		for _, nw := range nws {
			if nw.Age < 0 {
				t.Errorf("negative age %v", nw.Age)
			}
		}
	}
	if _, err := peer.DecodeMembers(dg); err == nil {
		peer.DecodeWantedKeys(dg)
		peer.DecodeAges(dg)
	}
}
