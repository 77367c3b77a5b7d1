package peer

import (
	"fmt"
	"slices"
	"time"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/member"
	"damasklatch/io/peer/peerpb"
)

// Bits of a beat below the heartbeat count.
const (
	beatReady   = 1
	beatLeaving = 2
	beatShift   = 2
)

// Ages of heartbeats are told in units that fit in one byte up to 6 s; older VMs are dead and not told of.
const (
	ageUnit     = 50 * time.Millisecond
	maxAgeUnits = 1 << 16
)

// DigestContext is what a digest tells besides the membership.
type DigestContext struct {
	Now            time.Time
	Stamp          event.Stamp
	Generation     id.Generation
	ReceiverDomain id.FailureDomain
	WantedKeys     []member.Key // asked of the receiver
	RequestedKeys  []member.Key // the receiver asked for these
}

// EncodeDigest builds the digest of a table for a VM of the failure domain To.
func EncodeDigest(dc DigestContext, tb *member.Table) *peerpb.Digest {
	pb := &peerpb.Digest{
		Stamp: EncodeStamp(dc.Stamp), From: EncodeID(tb.Self().ID), Generation: uint64(dc.Generation),
		News: encodeNews(tb.Updates(dc.Now, dc.ReceiverDomain)), Want: encodeKeys(dc.WantedKeys), Ages: new(peerpb.Ages),
	}
	for _, en := range tb.Entries(dc.RequestedKeys) {
		pb.Members = append(pb.Members, EncodeEntry(en))
	}
	if age, ok := tb.StoreAge(dc.Now); ok {
		pb.StoreEvidenceAgeMs = new(roundUp(age))
	}
	for _, ag := range tb.ContactAges(dc.Now) {
		pb.Ages.FailureDomain = append(pb.Ages.FailureDomain, string(ag.FailureDomain))
		pb.Ages.AgeMs = append(pb.Ages.AgeMs, roundUp(ag.Age))
	}
	return pb
}

// roundUp returns whole milliseconds: evidence must not look fresher than it is.
func roundUp(age time.Duration) uint32 {
	const most = time.Duration(1<<32-2) * time.Millisecond
	return uint32(min(age, most).Milliseconds()) + 1
}

func encodeNews(nws []member.Update) *peerpb.News {
	pb := new(peerpb.News)
	column := make(map[id.Pool]int)
	for _, nw := range nws {
		for pl := range nw.FreeSlots {
			if _, ok := column[pl]; !ok {
				column[pl] = len(pb.Pools)
				pb.Pools = append(pb.Pools, string(pl))
			}
		}
	}
	width := len(pb.Pools)
	pb.FreeSlots = make([]uint32, len(nws)*width)
	for nr, nw := range nws {
		beat := nw.Heartbeat << beatShift
		if nw.Ready {
			beat |= beatReady
		}
		if nw.Leaving {
			beat |= beatLeaving
		}
		pb.Key = append(pb.Key, uint32(nw.Key))
		pb.Beat = append(pb.Beat, beat)
		pb.Age = append(pb.Age, uint32(min((nw.Age+ageUnit-1)/ageUnit, maxAgeUnits)))
		for pl, free := range nw.FreeSlots {
			pb.FreeSlots[nr*width+column[pl]] = uint32(max(free, 0))
		}
	}
	return pb
}

// DecodeUpdates returns the news of a digest.
func DecodeUpdates(pb *peerpb.News) ([]member.Update, error) {
	rows, width := len(pb.GetKey()), len(pb.GetPools())
	if rows > maxMembers {
		return nil, fmt.Errorf("digest with news of %d VMs, at most %d are read", rows, maxMembers)
	}
	if len(pb.GetBeat()) != rows || len(pb.GetAge()) != rows || len(pb.GetFreeSlots()) != rows*width {
		return nil, fmt.Errorf("digest with %d keys, %d beats, %d ages and %d free slots of %d pools",
			rows, len(pb.GetBeat()), len(pb.GetAge()), len(pb.GetFreeSlots()), width)
	}
	nws := make([]member.Update, 0, rows)
	for nr, ky := range pb.GetKey() {
		beat := pb.GetBeat()[nr]
		nw := member.Update{
			Key: member.Key(ky), Heartbeat: beat >> beatShift,
			Age:   time.Duration(min(pb.GetAge()[nr], maxAgeUnits)) * ageUnit,
			Ready: beat&beatReady != 0, Leaving: beat&beatLeaving != 0,
			FreeSlots: make(map[id.Pool]int, width),
		}
		for kt, pl := range pb.GetPools() {
			// A pool that the VM does not serve has no free slots, like one that is full.
			if free := pb.GetFreeSlots()[nr*width+kt]; free > 0 {
				nw.FreeSlots[id.Pool(pl)] = int(free)
			}
		}
		nws = append(nws, nw)
	}
	return nws, nil
}

// DecodeMembers returns the entries of a digest.
func DecodeMembers(pb *peerpb.Digest) ([]member.Entry, error) {
	if len(pb.GetMembers()) > maxMembers {
		return nil, fmt.Errorf("digest with %d members, at most %d are read", len(pb.GetMembers()), maxMembers)
	}
	ens := make([]member.Entry, 0, len(pb.GetMembers()))
	for _, mb := range pb.GetMembers() {
		en, err := DecodeEntry(mb)
		if err != nil {
			return nil, err
		}
		ens = append(ens, en)
	}
	return ens, nil
}

// DecodeWantedKeys returns the keys that the sender of a digest asks for, as many as are answered at once.
func DecodeWantedKeys(pb *peerpb.Digest) []member.Key {
	want := pb.GetWant()
	kys := make([]member.Key, 0, min(len(want), maxWant))
	for _, ky := range want[:min(len(want), maxWant)] {
		kys = append(kys, member.Key(ky))
	}
	return kys
}

// maxWant bounds the entries of one digest to about 10 kB.
const maxWant = 128

func encodeKeys(kys []member.Key) []uint32 {
	kys = kys[:min(len(kys), maxWant)]
	out := make([]uint32, 0, len(kys))
	for _, ky := range kys {
		out = append(out, uint32(ky))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// DecodeAges returns the ages of a digest. The store age is negative if there is no evidence.
func DecodeAges(pb *peerpb.Digest) (storeAge time.Duration, ages []member.ContactAge) {
	storeAge = -1
	if pb.StoreEvidenceAgeMs != nil {
		storeAge = time.Duration(pb.GetStoreEvidenceAgeMs()) * time.Millisecond
	}
	fds, ms := pb.GetAges().GetFailureDomain(), pb.GetAges().GetAgeMs()
	for nr := range min(len(fds), len(ms)) {
		ages = append(ages, member.ContactAge{
			FailureDomain: id.FailureDomain(fds[nr]), Age: time.Duration(ms[nr]) * time.Millisecond,
		})
	}
	return storeAge, ages
}
