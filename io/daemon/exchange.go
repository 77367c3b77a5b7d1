package daemon

import (
	"time"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/member"
	"damasklatch/internal/logfield"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// sendDigests starts a digest round.
func (ct *Controller) sendDigests(now time.Time) {
	ct.Members.UpdateSelf(ct.cfg != nil, ct.leaving, ct.freeSlots())
	for _, pt := range ct.Members.Partners() {
		ct.sendDigest(now, pt, nil, nil)
	}
}

func (ct *Controller) sendDigest(now time.Time, to member.Entry, want, entries []member.Key) {
	ct.sender.Submit(&peer.ExchangeJob{To: to, Digest: ct.digest(now, to.FailureDomain, want, entries)})
}

func (ct *Controller) digest(now time.Time, to id.FailureDomain, want, entries []member.Key) *peerpb.Digest {
	return peer.EncodeDigest(peer.DigestContext{
		Now: now, Stamp: ct.Clock.Now(now), Generation: ct.generation(), ReceiverDomain: to, WantedKeys: want, RequestedKeys: entries,
	}, ct.Members)
}

// answerDigest takes in a digest and returns the own one, which asks for the entries that the digest's news lack.
func (ct *Controller) answerDigest(now time.Time, dg *peerpb.Digest) *peerpb.Digest {
	unknown := ct.mergeDigest(now, dg)
	return ct.digest(now, ct.domainOf(dg), unknown, peer.DecodeWantedKeys(dg))
}

// domainOf returns the failure domain of a digest's sender. That of a VM not known yet is taken to be another one,
// which only makes the answer shorter.
func (ct *Controller) domainOf(dg *peerpb.Digest) id.FailureDomain {
	from, err := peer.DecodeID(dg.GetFrom())
	if err != nil {
		return ""
	}
	ens := ct.Members.Entries([]member.Key{member.KeyOf(from)})
	if len(ens) == 0 {
		return ""
	}
	return ens[0].FailureDomain
}

// mergeDigest takes in a digest, from a request or a reply, and returns the keys of unknown VMs.
func (ct *Controller) mergeDigest(now time.Time, dg *peerpb.Digest) []member.Key {
	ct.Clock.Observe(now, peer.DecodeStamp(dg.GetStamp()))
	ens, err := peer.DecodeMembers(dg)
	if err != nil {
		ct.Log.Warn("digest refused", logfield.Peer, dg.GetFrom().GetVm(), logfield.Error, err)
		return nil
	}
	nws, err := peer.DecodeUpdates(dg.GetNews())
	if err != nil {
		ct.Log.Warn("digest refused", logfield.Peer, dg.GetFrom().GetVm(), logfield.Error, err)
		return nil
	}
	ct.recordTransitions(now, ct.Members.Merge(now, ens))
	unknown, trs := ct.Members.MergeUpdates(now, nws)
	ct.recordTransitions(now, trs)
	gen, from := id.Generation(dg.GetGeneration()), dg.GetFrom().GetVm()
	ct.generations[id.VM(from)] = gen
	if gen > ct.generation() {
		ct.setHolders() // the follower asks the sender first
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
		ct.handleExchange(now, rs)
	case *peer.BorrowResult:
		ct.handleLoan(now, rs)
	}
}

func (ct *Controller) handleExchange(now time.Time, rs *peer.ExchangeResult) {
	if rs.Err != nil {
		ct.Log.Debug("digest exchange failed", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, rs.Err)
		return
	}
	unknown := ct.mergeDigest(now, rs.Reply)
	ct.takeEvidence(rs)
	// Another exchange passes the entries that either side lacks; with every VM known, none follows.
	if wanted := peer.DecodeWantedKeys(rs.Reply); len(unknown)+len(wanted) > 0 {
		ct.sendDigest(now, rs.Job.To, unknown, wanted)
	}
}

// takeEvidence notes what a reply proves about the freshness of keys. A peer with a newer generation proves nothing:
// what it knows may revoke keys that this VM still takes for valid.
func (ct *Controller) takeEvidence(rs *peer.ExchangeResult) {
	if id.Generation(rs.Reply.GetGeneration()) > ct.generation() {
		return
	}
	ct.Members.RecordContact(rs.Job.To.FailureDomain, rs.SentAt)
	storeAge, ages := peer.DecodeAges(rs.Reply)
	ct.Members.MergeContactAges(rs.SentAt, storeAge, ages)
}

func (ct *Controller) handleLoan(now time.Time, rs *peer.BorrowResult) {
	if rs.Err != nil {
		ct.Log.Debug("request for loans failed", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, rs.Err)
		return
	}
	ct.Clock.Observe(now, peer.DecodeStamp(rs.Reply.GetStamp()))
	rp, err := peer.DecodeBorrowReply(rs.Reply)
	if err != nil {
		ct.Log.Warn("loan refused", logfield.Peer, rs.Job.To.ID.VM, logfield.Error, err)
		return
	}
	ct.Ledger.HandleReply(now, rp)
	for _, gr := range rp.Grants {
		ct.recordLoan(now, event.KindLoanReceived, gr, rp.Lender)
	}
}

// recordLoan notes a loan that moves something; renewals of nothing are not worth an entry of the time line.
func (ct *Controller) recordLoan(now time.Time, kd event.Kind, gr limit.Grant, other id.VMIncarnation) {
	if gr.Granted.Rate == 0 && gr.Granted.Burst == 0 {
		return
	}
	ct.Recorder.Record(now, event.Event{Kind: kd, Resource: gr.Resource, Detail: formatLoan(gr, other)})
}

// lend answers a request for loans.
func (ct *Controller) lend(now time.Time, rq limit.BorrowRequest) limit.BorrowReply {
	rp := ct.Ledger.HandleRequest(now, rq)
	for _, gr := range rp.Grants {
		ct.recordLoan(now, event.KindLoanGranted, gr, rq.Borrower)
	}
	return rp
}

// borrow sends the requests for loans that the ledger wants now.
func (ct *Controller) borrow(now time.Time) {
	if ct.cfg == nil || ct.leaving {
		return
	}
	var peers []limit.Peer
	for _, mb := range ct.Members.Members() {
		if mb.State == member.Alive {
			peers = append(peers, limit.Peer{ID: mb.ID, Distance: ct.distance(mb.FailureDomain)})
		}
	}
	ct.submitBorrows(ct.Ledger.Tick(now, peers))
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

func (ct *Controller) submitBorrows(rqs []limit.BorrowRequest) {
	if len(rqs) == 0 {
		return
	}
	byID := make(map[id.VMIncarnation]member.Entry)
	for _, mb := range ct.Members.Members() {
		byID[mb.ID] = mb.Entry
	}
	for _, rq := range rqs {
		to, ok := byID[rq.Lender]
		if !ok {
			continue // the lender is forgotten; its loans end by themselves
		}
		pb := peer.EncodeBorrowRequest(rq)
		pb.Stamp = peer.EncodeStamp(ct.Clock.Now(time.Now()))
		ct.sender.Submit(&peer.BorrowJob{To: to, Request: pb})
	}
}

// freeSlots returns for each local pool how many more requests this VM could have in flight.
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
