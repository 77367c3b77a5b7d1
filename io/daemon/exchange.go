package daemon

import (
	"time"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/membership"
	"damasklatch/internal/logfield"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// sendDigests starts a digest round: it sends a digest to the partners that the membership table selects.
func (ct *Controller) sendDigests(now time.Time) {
	ct.Members.UpdateSelf(ct.cfg != nil, ct.leaving, ct.freeSlots())
	for _, pt := range ct.Members.Partners() {
		ct.sendDigest(now, pt, nil, nil)
	}
}

func (ct *Controller) sendDigest(now time.Time, to membership.Entry, want, entries []membership.Key) {
	ct.sender.Submit(&peer.ExchangeJob{To: to, Digest: ct.newDigest(now, to.FailureDomain, want, entries)})
}

func (ct *Controller) newDigest(now time.Time, to id.FailureDomain, want, entries []membership.Key) *peerpb.Digest {
	return peer.EncodeDigest(peer.DigestContext{
		Now: now, Stamp: ct.Clock.Now(now), Generation: ct.generation(), ReceiverDomain: to, WantedKeys: want, RequestedKeys: entries,
	}, ct.Members)
}

// handleDigest merges a digest from a peer and returns the digest of this VM. The returned digest requests the entries
// of VMs that this VM does not know yet.
func (ct *Controller) handleDigest(now time.Time, dg *peerpb.Digest) *peerpb.Digest {
	unknown := ct.mergeDigest(now, dg)
	return ct.newDigest(now, ct.domainOf(dg), unknown, peer.DecodeWantedKeys(dg))
}

// domainOf returns the failure domain of a digest's sender. For an unknown sender it returns "", so the sender is treated
// as a VM of another failure domain and gets a shorter digest.
func (ct *Controller) domainOf(dg *peerpb.Digest) id.FailureDomain {
	from, err := peer.DecodeID(dg.GetFrom())
	if err != nil {
		return ""
	}
	ens := ct.Members.Entries([]membership.Key{membership.KeyOf(from)})
	if len(ens) == 0 {
		return ""
	}
	return ens[0].FailureDomain
}

// mergeDigest merges a digest from a request or a reply, and returns the keys of VMs that are not known yet. An invalid
// digest is ignored.
func (ct *Controller) mergeDigest(now time.Time, dg *peerpb.Digest) []membership.Key {
	ct.Clock.Observe(now, peer.DecodeStamp(dg.GetStamp()))
	ens, err := peer.DecodeMembers(dg)
	if err != nil {
		ct.Log.Warn("digest ignored: invalid member entries", logfield.Peer, dg.GetFrom().GetVm(), logfield.Error, err)
		return nil
	}
	nws, err := peer.DecodeUpdates(dg.GetNews())
	if err != nil {
		ct.Log.Warn("digest ignored: invalid heartbeat updates", logfield.Peer, dg.GetFrom().GetVm(), logfield.Error, err)
		return nil
	}
	ct.recordTransitions(now, ct.Members.Merge(now, ens))
	unknown, trs := ct.Members.MergeUpdates(now, nws)
	ct.recordTransitions(now, trs)
	gen, from := id.Generation(dg.GetGeneration()), dg.GetFrom().GetVm()
	ct.generations[id.VM(from)] = gen
	if gen > ct.generation() {
		ct.updateConfigHolders() // so that the follower can fetch the configuration from the sender
		ct.follower.Hint(gen, from)
	}
	return unknown
}

func (ct *Controller) sameDomain(vm id.VM) bool {
	mb, ok := ct.Members.Member(vm)
	return ok && mb.FailureDomain == ct.Self.FailureDomain
}

func (ct *Controller) handleResult(now time.Time, rs peer.Result) {
	switch rs := rs.(type) {
	case *peer.ExchangeResult:
		ct.handleExchangeResult(now, rs)
	case *peer.BorrowResult:
		ct.handleLoanReply(now, rs)
	}
}

func (ct *Controller) handleExchangeResult(now time.Time, rs *peer.ExchangeResult) {
	if rs.Err != nil {
		ct.Log.Debug("digest exchange failed", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, rs.Err)
		return
	}
	unknown := ct.mergeDigest(now, rs.Reply)
	ct.recordKeyEvidence(rs)
	// A second exchange transfers the entries that either side lacks. None is needed if both know every VM.
	if wanted := peer.DecodeWantedKeys(rs.Reply); len(unknown)+len(wanted) > 0 {
		ct.sendDigest(now, rs.Job.To, unknown, wanted)
	}
}

// recordKeyEvidence records what a reply proves about the freshness of keys. A reply from a peer with a newer generation
// proves nothing, because that generation may revoke keys that this VM still accepts.
func (ct *Controller) recordKeyEvidence(rs *peer.ExchangeResult) {
	if id.Generation(rs.Reply.GetGeneration()) > ct.generation() {
		return
	}
	ct.Members.RecordContact(rs.Job.To.FailureDomain, rs.SentAt)
	storeAge, ages := peer.DecodeAges(rs.Reply)
	ct.Members.MergeContactAges(rs.SentAt, storeAge, ages)
}

func (ct *Controller) handleLoanReply(now time.Time, rs *peer.BorrowResult) {
	if rs.Err != nil {
		ct.Log.Debug("request for loans failed", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, rs.Err)
		return
	}
	ct.Clock.Observe(now, peer.DecodeStamp(rs.Reply.GetStamp()))
	rp, err := peer.DecodeBorrowReply(rs.Reply)
	if err != nil {
		ct.Log.Warn("reply to a request for loans ignored: invalid", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, err)
		return
	}
	ct.Ledger.HandleReply(now, rp)
	for _, gr := range rp.Grants {
		ct.recordLoan(now, event.KindLoanReceived, gr, rp.Lender)
	}
}

// recordLoan records a loan on the timeline. Loans with a zero rate and burst are left out.
func (ct *Controller) recordLoan(now time.Time, kd event.Kind, gr limit.Grant, other id.VMIncarnation) {
	if gr.Granted.Rate == 0 && gr.Granted.Burst == 0 {
		return
	}
	ct.Recorder.Record(now, event.Event{Kind: kd, Resource: gr.Resource, Detail: formatLoan(gr, other)})
}

// grantLoans grants loans to another VM as far as the ledger allows and returns the reply.
func (ct *Controller) grantLoans(now time.Time, rq limit.BorrowRequest) limit.BorrowReply {
	rp := ct.Ledger.HandleRequest(now, rq)
	for _, gr := range rp.Grants {
		ct.recordLoan(now, event.KindLoanGranted, gr, rq.Borrower)
	}
	return rp
}

// requestLoans sends the requests for loans that the ledger needs now.
func (ct *Controller) requestLoans(now time.Time) {
	if ct.cfg == nil || ct.leaving {
		return
	}
	var peers []limit.Peer
	for _, mb := range ct.Members.Members() {
		if mb.State == membership.Alive {
			peers = append(peers, limit.Peer{ID: mb.ID, Distance: ct.distance(mb.FailureDomain)})
		}
	}
	ct.submitLoanRequests(ct.Ledger.Tick(now, peers))
}

func (ct *Controller) distance(fd id.FailureDomain) limit.Distance {
	own, _ := ct.cfg.RegionOf(ct.Self.FailureDomain)
	other, _ := ct.cfg.RegionOf(fd)
	switch {
	case fd == ct.Self.FailureDomain:
		return limit.SameFailureDomain
	case own != nil && other != nil && own.Name == other.Name:
		return limit.SameRegion
	default:
		return limit.OtherRegion
	}
}

func (ct *Controller) submitLoanRequests(rqs []limit.BorrowRequest) {
	if len(rqs) == 0 {
		return
	}
	byID := make(map[id.VMIncarnation]membership.Entry)
	for _, mb := range ct.Members.Members() {
		byID[mb.ID] = mb.Entry
	}
	for _, rq := range rqs {
		to, ok := byID[rq.Lender]
		if !ok {
			continue // the lender is no longer a member, and its loans expire without a message
		}
		pb := peer.EncodeBorrowRequest(rq)
		pb.Stamp = peer.EncodeStamp(ct.Clock.Now(time.Now()))
		ct.sender.Submit(&peer.BorrowJob{To: to, Request: pb})
	}
}

// freeSlots returns for each local pool how many more requests this VM may have in flight.
func (ct *Controller) freeSlots() map[id.Pool]int {
	if ct.cfg == nil {
		return nil
	}
	free := make(map[id.Pool]int)
	regionFree := ct.regionFree()
	for _, st := range ct.localSites() {
		for _, tg := range st.Targets {
			if _, done := free[tg.Pool]; done {
				continue
			}
			if sl, ok := ct.Ledger.Slots(limit.PoolResource(ct.Self.FailureDomain, tg.Pool)); ok {
				free[tg.Pool] = min(sl.Free(), regionFree)
			}
		}
	}
	return free
}

func (ct *Controller) regionFree() int {
	rg, ok := ct.cfg.RegionOf(ct.Self.FailureDomain)
	if !ok {
		return 0
	}
	sl, ok := ct.Ledger.Slots(limit.RegionResource(rg.Name))
	if !ok {
		return 0
	}
	return sl.Free()
}
