package peer

import (
	"fmt"
	"maps"
	"slices"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/membership"
	"damasklatch/io/peer/peerpb"
)

// maxMembers is the maximum number of VMs in a digest. Larger digests are rejected.
const maxMembers = 2048

// EncodeID converts a VM incarnation to its message.
func EncodeID(vi id.VMIncarnation) *peerpb.VmIncarnation {
	return &peerpb.VmIncarnation{Vm: string(vi.VM), Incarnation: uint64(vi.Incarnation)}
}

// DecodeID converts a message to a VM incarnation. It returns an error if the name is invalid or the incarnation is zero.
func DecodeID(pb *peerpb.VmIncarnation) (id.VMIncarnation, error) {
	vi := id.VMIncarnation{VM: id.VM(pb.GetVm()), Incarnation: id.Incarnation(pb.GetIncarnation())}
	if !id.ValidName(vi.VM) || vi.Incarnation == 0 {
		return id.VMIncarnation{}, fmt.Errorf("%q with incarnation %d is not a valid VM incarnation", vi.VM, vi.Incarnation)
	}
	return vi, nil
}

// EncodeStamp converts a stamp to its message.
func EncodeStamp(st event.Stamp) *peerpb.Stamp {
	return &peerpb.Stamp{WallNanos: st.WallNanos, Logical: st.Logical}
}

// DecodeStamp converts a message to a stamp.
func DecodeStamp(pb *peerpb.Stamp) event.Stamp {
	return event.Stamp{WallNanos: pb.GetWallNanos(), Logical: pb.GetLogical()}
}

// EncodeEntry converts a membership entry to its message.
func EncodeEntry(en membership.Entry) *peerpb.MemberEntry {
	pb := &peerpb.MemberEntry{
		Id:            EncodeID(en.ID),
		FailureDomain: string(en.FailureDomain),
		PeerAddress:   en.PeerAddress,
		CallerAddress: en.CallerAddress,
		Heartbeat:     en.Heartbeat,
		Leaving:       en.Leaving,
		Ready:         en.Ready,
	}
	for _, pl := range slices.Sorted(maps.Keys(en.FreeSlots)) {
		pb.Headroom = append(pb.Headroom, &peerpb.PoolHeadroom{Pool: string(pl), FreeSlots: int32(en.FreeSlots[pl])})
	}
	return pb
}

// DecodeEntry converts a message to a membership entry. It returns an error if a name in it is invalid.
func DecodeEntry(pb *peerpb.MemberEntry) (membership.Entry, error) {
	vi, err := DecodeID(pb.GetId())
	if err != nil {
		return membership.Entry{}, err
	}
	en := membership.Entry{
		ID:            vi,
		FailureDomain: id.FailureDomain(pb.GetFailureDomain()),
		PeerAddress:   pb.GetPeerAddress(),
		CallerAddress: pb.GetCallerAddress(),
		Heartbeat:     pb.GetHeartbeat(),
		Leaving:       pb.GetLeaving(),
		Ready:         pb.GetReady(),
	}
	if !id.ValidName(en.FailureDomain) {
		return membership.Entry{}, fmt.Errorf("entry of %s: %q is not a valid name of a failure domain", vi, en.FailureDomain)
	}
	if len(pb.GetHeadroom()) > 0 {
		en.FreeSlots = make(map[id.Pool]int, len(pb.GetHeadroom()))
	}
	for _, hr := range pb.GetHeadroom() {
		en.FreeSlots[id.Pool(hr.GetPool())] = int(hr.GetFreeSlots())
	}
	return en, nil
}

// EncodeEvent converts an event to its message.
func EncodeEvent(ev event.Event) *peerpb.TimelineEvent {
	return &peerpb.TimelineEvent{
		Stamp: EncodeStamp(ev.Stamp), Vm: string(ev.VM), Kind: string(ev.Kind), RequestId: string(ev.Request),
		Team: string(ev.Team), Resource: string(ev.Resource), Target: string(ev.Target), Detail: ev.Detail,
	}
}

// DecodeEvent converts a message to an event.
func DecodeEvent(pb *peerpb.TimelineEvent) event.Event {
	return event.Event{
		Stamp: DecodeStamp(pb.GetStamp()), VM: id.VM(pb.GetVm()), Kind: event.Kind(pb.GetKind()),
		Request: id.Request(pb.GetRequestId()), Team: id.Team(pb.GetTeam()), Resource: id.Resource(pb.GetResource()),
		Target: id.Target(pb.GetTarget()), Detail: pb.GetDetail(),
	}
}
