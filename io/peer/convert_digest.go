package peer

import (
	"fmt"
	"slices"
	"time"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/membership"
	"damasklatch/io/peer/peerpb"
)

// Layout of a value of the message field Beat: the lowest beatShift bits are flags, the rest is the heartbeat count.
const (
	beatReady   = 1
	beatLeaving = 2
	beatShift   = 2
)

// Ages of heartbeats are sent in units of ageUnit, so that ages up to 6 s take one byte. Older VMs are dead and left out.
const (
	ageUnit     = 50 * time.Millisecond
	maxAgeUnits = 1 << 16
)

// DigestContext holds the contents of a digest that do not come from the membership table.
type DigestContext struct {
	Now            time.Time
	Stamp          event.Stamp
	Generation     id.Generation
	ReceiverDomain id.FailureDomain
	WantedKeys     []membership.Key // entries that the receiver should send
	RequestedKeys  []membership.Key // entries that the receiver requested
}

// EncodeDigest returns the digest of a membership table for a VM of the failure domain ReceiverDomain.
func EncodeDigest(dc DigestContext, tb *membership.Table) *peerpb.Digest {
	pb := &peerpb.Digest{
		Stamp: EncodeStamp(dc.Stamp), From: EncodeID(tb.Self().ID), Generation: uint64(dc.Generation),
		News: encodeUpdates(tb.Updates(dc.Now, dc.ReceiverDomain)), Want: encodeKeys(dc.WantedKeys), Ages: new(peerpb.Ages),
	}
	for _, en := range tb.Entries(dc.RequestedKeys) {
		pb.Members = append(pb.Members, EncodeEntry(en))
	}
	if age, ok := tb.StoreAge(dc.Now); ok {
		pb.StoreEvidenceAgeMs = new(roundUpMillis(age))
	}
	for _, ag := range tb.ContactAges(dc.Now) {
		pb.Ages.FailureDomain = append(pb.Ages.FailureDomain, string(ag.FailureDomain))
		pb.Ages.AgeMs = append(pb.Ages.AgeMs, roundUpMillis(ag.Age))
	}
	return pb
}

// roundUpMillis rounds an age up to whole milliseconds, because evidence must not look fresher than it is.
func roundUpMillis(age time.Duration) uint32 {
	const most = time.Duration(1<<32-2) * time.Millisecond
	return uint32(min(age, most).Milliseconds()) + 1
}

func encodeUpdates(nws []membership.Update) *peerpb.News {
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

// DecodeUpdates converts the message of heartbeat updates in a digest. It returns an error if the columns have different
// lengths or there are too many updates.
func DecodeUpdates(pb *peerpb.News) ([]membership.Update, error) {
	rows, width := len(pb.GetKey()), len(pb.GetPools())
	if rows > maxMembers {
		return nil, fmt.Errorf("digest with updates of %d VMs exceeds the limit of %d", rows, maxMembers)
	}
	if len(pb.GetBeat()) != rows || len(pb.GetAge()) != rows || len(pb.GetFreeSlots()) != rows*width {
		return nil, fmt.Errorf("digest columns do not match: %d keys, %d beats, %d ages and %d free slots of %d pools",
			rows, len(pb.GetBeat()), len(pb.GetAge()), len(pb.GetFreeSlots()), width)
	}
	nws := make([]membership.Update, 0, rows)
	for nr, ky := range pb.GetKey() {
		beat := pb.GetBeat()[nr]
		nw := membership.Update{
			Key: membership.Key(ky), Heartbeat: beat >> beatShift,
			Age:   time.Duration(min(pb.GetAge()[nr], maxAgeUnits)) * ageUnit,
			Ready: beat&beatReady != 0, Leaving: beat&beatLeaving != 0,
			FreeSlots: make(map[id.Pool]int, width),
		}
		for kt, pl := range pb.GetPools() {
			// Zero means that the VM does not serve the pool or that the pool is full.
			if free := pb.GetFreeSlots()[nr*width+kt]; free > 0 {
				nw.FreeSlots[id.Pool(pl)] = int(free)
			}
		}
		nws = append(nws, nw)
	}
	return nws, nil
}

// DecodeMembers returns the membership entries of a digest. It returns an error if an entry is invalid or there are too
// many.
func DecodeMembers(pb *peerpb.Digest) ([]membership.Entry, error) {
	if len(pb.GetMembers()) > maxMembers {
		return nil, fmt.Errorf("digest with %d members exceeds the limit of %d", len(pb.GetMembers()), maxMembers)
	}
	ens := make([]membership.Entry, 0, len(pb.GetMembers()))
	for _, mb := range pb.GetMembers() {
		en, err := DecodeEntry(mb)
		if err != nil {
			return nil, err
		}
		ens = append(ens, en)
	}
	return ens, nil
}

// DecodeWantedKeys returns the keys of the entries that the sender of a digest requests. It ignores all but the first
// maxWantedKeys.
func DecodeWantedKeys(pb *peerpb.Digest) []membership.Key {
	want := pb.GetWant()
	kys := make([]membership.Key, 0, min(len(want), maxWantedKeys))
	for _, ky := range want[:min(len(want), maxWantedKeys)] {
		kys = append(kys, membership.Key(ky))
	}
	return kys
}

// maxWantedKeys is the maximum number of entries that one digest requests. That many entries take about 10 kB.
const maxWantedKeys = 128

func encodeKeys(kys []membership.Key) []uint32 {
	kys = kys[:min(len(kys), maxWantedKeys)]
	out := make([]uint32, 0, len(kys))
	for _, ky := range kys {
		out = append(out, uint32(ky))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// DecodeAges returns how long ago the sender of a digest had contact with the store and with each failure domain.
// storeAge is negative if it had no contact with the store.
func DecodeAges(pb *peerpb.Digest) (storeAge time.Duration, ages []membership.ContactAge) {
	storeAge = -1
	if pb.StoreEvidenceAgeMs != nil {
		storeAge = time.Duration(pb.GetStoreEvidenceAgeMs()) * time.Millisecond
	}
	fds, ms := pb.GetAges().GetFailureDomain(), pb.GetAges().GetAgeMs()
	for nr := range min(len(fds), len(ms)) {
		ages = append(ages, membership.ContactAge{
			FailureDomain: id.FailureDomain(fds[nr]), Age: time.Duration(ms[nr]) * time.Millisecond,
		})
	}
	return storeAge, ages
}
