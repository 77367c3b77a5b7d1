package limit

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// conversation is the exchange of a borrower with one lender about one resource. Only the reply to the latest item
// counts.
type conversation struct {
	sequence    uint64
	sent        time.Time
	pending     bool
	mustConfirm bool   // the lender granted less than was held and needs confirmation that the rest is unused
	held        Amount // in the latest item
	wanted      Amount // in the latest item
	spare       Amount // in the latest reply
	spareAt     time.Time
	refusals    int // replies without spare in succession
}

// recordSpare records the spare amount that the lender reported.
func (cv *conversation) recordSpare(now time.Time, spare Amount) {
	cv.spare, cv.spareAt = spare, now
	if spare.isZero() {
		cv.refusals++
	} else {
		cv.refusals = 0
	}
}

// spareTTL returns how long the recorded spare amount is used. It doubles with every successive reply without spare.
func (cv *conversation) spareTTL() time.Duration {
	return baseSpareTTL << min(max(cv.refusals-1, 0), maxDoublings)
}

// recentlyHadSpare reports whether the peer recently reported a spare amount.
func (ac *account) recentlyHadSpare(now time.Time, peer id.VMIncarnation) bool {
	cv, ok := ac.conversations[peer]
	return ok && !cv.spare.isZero() && now.Sub(cv.spareAt) <= baseSpareTTL
}

// backoff delays new requests for a resource while no peer can spare any of it.
type backoff struct {
	failures int // since the latest request that brought at least a quarter of what was missing
	delay    time.Duration
	until    time.Time
}

const (
	// toleratedFailures is the number of failures before the first delay. It lets a VM of a busy failure domain find
	// peers with spare capacity after it has asked its busy neighbors.
	toleratedFailures = 12
	minBackoff        = 200 * time.Millisecond
	maxBackoff        = 3200 * time.Millisecond
	// baseSpareTTL is how long a peer is not asked again after its first reply without spare. The time doubles with
	// every further one, at most maxDoublings times.
	baseSpareTTL = 500 * time.Millisecond
	maxDoublings = 3
	// maxUnknownPeers is how many peers of its own failure domain, and how many of the rest of its region, a VM asks
	// in one Tick without a recent report of spare. When a whole failure domain is under load, its VMs have no spare,
	// and each of them would ask all the others.
	maxUnknownPeers = 1
)

// recordFailure counts a failure and starts a delay if there were too many and none is running.
func (bo *backoff) recordFailure(now time.Time) {
	bo.failures++
	if bo.failures < toleratedFailures || bo.until.After(now) {
		return
	}
	bo.delay = min(max(2*bo.delay, minBackoff), maxBackoff)
	bo.until = now.Add(bo.delay)
}

// plan collects the requests of one Tick, one for each lender.
type plan struct {
	lg          *Ledger
	now         time.Time
	requests    map[id.VMIncarnation]*BorrowRequest
	order       []id.VMIncarnation
	maxRequests int
}

func (lg *Ledger) newPlan(now time.Time) *plan {
	allowed := int(lg.messages.snapshot(now).usable.Tokens / unit.One)
	return &plan{
		lg: lg, now: now, requests: make(map[id.VMIncarnation]*BorrowRequest),
		maxRequests: min(lg.settings.MaxRequests, allowed),
	}
}

// hasRoom reports whether an item for the lender may be added.
func (pn *plan) hasRoom(lender id.VMIncarnation) bool {
	_, ok := pn.requests[lender]
	return ok || len(pn.order) < pn.maxRequests
}

// add appends an item to the request for the lender. From here on, replies to earlier items for the same lender and
// resource are ignored. The caller has already limited the use of the loan to held.
func (pn *plan) add(ac *account, lender id.VMIncarnation, held, wanted Amount) {
	rq, ok := pn.requests[lender]
	if !ok {
		rq = &BorrowRequest{Borrower: pn.lg.self, Lender: lender}
		pn.requests[lender] = rq
		pn.order = append(pn.order, lender)
	}
	cv, ok := ac.conversations[lender]
	if !ok {
		cv = new(conversation)
		ac.conversations[lender] = cv
	}
	pn.lg.sequence++
	cv.sequence, cv.sent, cv.pending, cv.mustConfirm, cv.held, cv.wanted = pn.lg.sequence, pn.now, true, false, held, wanted
	rq.Items = append(rq.Items, BorrowItem{
		Resource: ac.spec.Resource, Sequence: cv.sequence, Held: held, Wanted: wanted,
	})
}

// finish returns the collected requests and counts them against the rate of messages.
func (pn *plan) finish() []BorrowRequest {
	pn.lg.messages.Take(pn.now, unit.Milli(len(pn.order))*unit.One)
	rqs := make([]BorrowRequest, 0, len(pn.order))
	for _, vm := range pn.order {
		rqs = append(rqs, *pn.requests[vm])
	}
	return rqs
}

// Tick samples the demand, removes what has expired, and returns the requests to send: renewals, returns of loans
// that are not needed, and requests for new loans. Peers are the live VMs to borrow from. Settings.MaxRequests limits
// the number of requests. Callers usually call Tick every 100 ms and must read the time now before they send the
// requests.
func (lg *Ledger) Tick(now time.Time, peers []Peer) []BorrowRequest {
	pn := lg.newPlan(now)
	acs := lg.accountsInRotation()
	for _, ac := range acs {
		ac.expireDebits(now)
		ac.demand.sample(now, ac.bucket)
		ac.expireConversations(now, lg.settings)
	}
	if lg.leaving {
		return nil
	}
	for _, ac := range acs {
		lg.renewLoans(pn, ac)
	}
	for _, ac := range acs {
		lg.returnLoans(pn, ac)
	}
	ordered := lg.orderPeers(peers)
	for _, ac := range acs {
		lg.requestLoans(pn, ac, ordered)
	}
	lg.removeUnused()
	return pn.finish()
}

// Leave returns the requests that give all loans back. From then on the ledger neither borrows nor lends. Amounts
// that are lent to others stay on record.
func (lg *Ledger) Leave(now time.Time) []BorrowRequest {
	lg.leaving = true
	pn := lg.newPlan(now)
	for _, ac := range lg.accountsInRotation() {
		sn := ac.bucket.snapshot(now)
		ac.bucket.dropLoans(now)
		for _, ln := range sn.loans {
			pn.add(ac, ln.lender, Amount{}, Amount{})
		}
	}
	return pn.finish()
}

// HandleReply applies the loans of a reply. Their duration counts from the time at which the request was sent.
func (lg *Ledger) HandleReply(now time.Time, rp BorrowReply) {
	for _, gr := range rp.Grants {
		ac, ok := lg.buckets[gr.Resource]
		if !ok {
			continue
		}
		cv, ok := ac.conversations[rp.Lender]
		if !ok || !cv.pending || cv.sequence != gr.Sequence {
			continue
		}
		cv.pending = false
		cv.recordSpare(now, gr.Spare.nonNegative())
		if lg.leaving || !ac.present {
			continue
		}
		ac.acceptLoan(now, lg.settings, rp.Lender, cv, gr.Granted.nonNegative(), gr.Lifetime)
	}
}

// acceptLoan applies a granted amount and decides whether the request counts as a failure for the backoff.
func (ac *account) acceptLoan(now time.Time, st Settings, lender id.VMIncarnation, cv *conversation, am Amount,
	lifetime time.Duration,
) {
	am.Rate, am.Burst = min(am.Rate, cv.wanted.Rate), min(am.Burst, cv.wanted.Burst)
	am.Tokens = min(am.Tokens, am.Burst)
	ac.bucket.setLoan(now, loan{lender: lender, amount: am, expiry: cv.sent.Add(min(lifetime, st.LoanDuration))})
	cv.mustConfirm = !cv.held.minus(am).isZero()
	gained, missing := am.minus(cv.held), cv.wanted.minus(cv.held)
	if missing.isZero() {
		return
	}
	// A request is a success if it brings a quarter of what was missing. Without this bound, tiny loans would keep a
	// VM sending requests.
	if 4*gained.Rate < max(missing.Rate, 1) && 4*gained.Burst < max(missing.Burst, 1) {
		if cv.held.isZero() {
			ac.backoff.recordFailure(now)
		}
		return
	}
	ac.backoff = backoff{}
}

// accountsInRotation returns the accounts ordered by resource, starting with a different one at each call. The number
// of requests is limited, and otherwise the first resources would use it up.
func (lg *Ledger) accountsInRotation() []*account {
	names := slices.Sorted(maps.Keys(lg.buckets))
	acs := make([]*account, 0, len(names))
	for nr := range names {
		acs = append(acs, lg.buckets[names[(nr+lg.rotation)%len(names)]])
	}
	if len(names) > 0 {
		lg.rotation = (lg.rotation + 1) % len(names)
	}
	return acs
}

// expireConversations ends the wait for overdue replies and deletes conversations that have no loan, no pending
// request and no recent report of spare.
func (ac *account) expireConversations(now time.Time, st Settings) {
	sn := ac.bucket.snapshot(now)
	for vm, cv := range ac.conversations {
		if cv.pending && now.Sub(cv.sent) >= st.ReplyTimeout {
			cv.pending = false
			// A peer that does not reply is treated like one without spare.
			cv.recordSpare(now, Amount{})
		}
		if !cv.pending && sn.held(vm).isZero() && now.Sub(cv.spareAt) > baseSpareTTL<<maxDoublings {
			delete(ac.conversations, vm)
		}
	}
}

// deficit returns what the VM needs beyond what it owns and has not lent.
func (ac *account) deficit(now time.Time, sn *snapshot) Amount {
	total := Amount{Rate: ac.spec.Rate, Burst: ac.spec.Burst}
	return ac.demand.need(sn.usable).atMost(total).minus(ac.owned.minus(ac.lent(now)))
}

// borrowedTarget returns how much borrowed capacity the VM keeps: its deficit with a margin for random variation of
// the demand, so that it does not return loans only to request them again at the next Tick.
func (ac *account) borrowedTarget(now time.Time) Amount {
	return ac.demand.reserve().minus(ac.owned.minus(ac.lent(now)))
}

// renewLoans renews loans that have used up half of their duration, and loans that the lender has reduced. Half the
// duration leaves time for several attempts before a loan expires, and tells lenders early about changed needs. The
// wanted amounts of all renewals add up to the deficit, so that a lender with several borrowers can divide by need.
// The borrower stops using what it no longer wants at once, so the lender can use it or lend it to others as soon as
// the request arrives.
func (lg *Ledger) renewLoans(pn *plan, ac *account) {
	sn := ac.bucket.snapshot(pn.now)
	deficit, borrowed := ac.deficit(pn.now, &sn), sn.borrowed()
	for _, ln := range sn.loans {
		cv := ac.conversations[ln.lender]
		if cv == nil || cv.pending || !pn.hasRoom(ln.lender) ||
			!cv.mustConfirm && ln.expiry.Sub(pn.now) > lg.settings.LoanDuration/2 {
			continue
		}
		wanted := Amount{
			Rate:  unit.MilliPerSecond(renewalAmount(int64(ln.amount.Rate), int64(deficit.Rate), int64(borrowed.Rate), len(sn.loans))),
			Burst: unit.Milli(renewalAmount(int64(ln.amount.Burst), int64(deficit.Burst), int64(borrowed.Burst), len(sn.loans))),
		}
		ln.amount = ln.amount.atMost(wanted)
		ac.bucket.setLoan(pn.now, ln)
		pn.add(ac, ln.lender, ln.amount, wanted)
	}
}

// renewalAmount returns the amount to ask for when renewing a loan of size held. If all loans together exceed the
// deficit, each is reduced in proportion. Otherwise each grows by an equal part of the difference; equal parts let a
// small loan grow at a lender that divides between several borrowers.
func renewalAmount(held, deficit, borrowed int64, loans int) int64 {
	if deficit >= borrowed {
		return held + (deficit-borrowed)/int64(loans)
	}
	return int64(float64(held) * (float64(deficit) / float64(borrowed)))
}

// returnLoans returns loans that are not needed. Loans with the earliest expiry are considered first.
func (lg *Ledger) returnLoans(pn *plan, ac *account) {
	sn := ac.bucket.snapshot(pn.now)
	target, borrowed := ac.borrowedTarget(pn.now), sn.borrowed()
	for _, ln := range sn.loans {
		rest := borrowed.minus(ln.amount)
		if rest.Rate < target.Rate || rest.Burst < target.Burst || !pn.hasRoom(ln.lender) {
			continue
		}
		if cv := ac.conversations[ln.lender]; cv != nil && cv.pending && cv.sent.Equal(pn.now) {
			continue // this Tick renews the loan
		}
		ac.bucket.setLoan(pn.now, loan{lender: ln.lender})
		pn.add(ac, ln.lender, Amount{}, Amount{})
		borrowed = rest
	}
}

// candidate is a peer to ask, with its position among peers at the same distance.
type candidate struct {
	Peer
	rank uint64 // orders peers at the same distance
}

// orderPeers orders the peers by distance. The order of peers at the same distance differs between borrowers, so that
// the VMs of a busy failure domain do not all ask the same peers.
func (lg *Ledger) orderPeers(peers []Peer) []candidate {
	cds := make([]candidate, 0, len(peers))
	for _, pr := range peers {
		if pr.ID == lg.self {
			continue
		}
		hs := fnv.New64a()
		hs.Write([]byte(lg.self.VM))
		hs.Write([]byte{0})
		hs.Write([]byte(pr.ID.VM))
		cds = append(cds, candidate{Peer: pr, rank: mixBits(hs.Sum64())})
	}
	slices.SortFunc(cds, func(cd, ot candidate) int {
		switch {
		case cd.Distance != ot.Distance:
			return int(cd.Distance - ot.Distance)
		case cd.rank < ot.rank:
			return -1
		case cd.rank > ot.rank:
			return 1
		default:
			return cd.ID.Compare(ot.ID)
		}
	})
	return cds
}

// mixBits spreads the bits of an FNV hash, whose high bits hardly depend on the last bytes of the input. It is the
// finalizer of SplitMix64 (Steele et al. 2014).
func mixBits(sum uint64) uint64 {
	sum = (sum ^ sum>>30) * 0xbf58476d1ce4e5b9
	sum = (sum ^ sum>>27) * 0x94d049bb133111eb
	return sum ^ sum>>31
}

// requestLoans requests new loans if the VM runs short.
func (lg *Ledger) requestLoans(pn *plan, ac *account, cds []candidate) {
	if !ac.present || ac.backoff.until.After(pn.now) {
		return
	}
	sn := ac.bucket.snapshot(pn.now)
	if !ac.demand.runsShort(sn.usable) {
		return
	}
	shortfall := ac.shortfall(pn.now, &sn)
	lenders, unknown := len(sn.loans), [OtherRegion]int{}
	for _, cd := range cds {
		if shortfall.isZero() {
			return
		}
		held := sn.held(cd.ID)
		if !pn.hasRoom(cd.ID) || held.isZero() && lenders >= lg.settings.MaxLenders {
			continue
		}
		extra, ok := ac.amountToRequest(pn.now, cd.ID, shortfall)
		if !ok {
			continue
		}
		if cd.Distance != OtherRegion && !ac.recentlyHadSpare(pn.now, cd.ID) {
			if unknown[cd.Distance] == maxUnknownPeers {
				continue
			}
			unknown[cd.Distance]++
		}
		if held.isZero() {
			lenders++
		}
		shortfall = shortfall.minus(extra)
		extra.Rate, extra.Burst = extra.Rate+held.Rate, extra.Burst+held.Burst
		pn.add(ac, cd.ID, held, extra)
	}
}

// negligibleDivisor is the reciprocal of the fraction of the need below which a shortfall causes no request.
const negligibleDivisor = 50

// shortfall returns the part of the deficit that neither loans nor pending requests cover.
func (ac *account) shortfall(now time.Time, sn *snapshot) Amount {
	am := ac.deficit(now, sn).minus(sn.borrowed())
	for _, cv := range ac.conversations {
		if cv.pending {
			am = am.minus(cv.wanted.minus(cv.held))
		}
	}
	need := ac.demand.need(sn.usable)
	if am.Rate < need.Rate/negligibleDivisor && am.Burst < need.Burst/negligibleDivisor {
		return Amount{}
	}
	return am
}

// amountToRequest returns how much more to ask of a peer: at most what the peer could spare according to its latest
// reply. Without a recent reply, the peer is assumed to have as much to spare as this VM owns. It returns false if a
// request is pending or there is nothing to ask for.
func (ac *account) amountToRequest(now time.Time, peer id.VMIncarnation, shortfall Amount) (Amount, bool) {
	spare := ac.owned
	if spare.isZero() {
		spare = shortfall
	}
	if cv, ok := ac.conversations[peer]; ok {
		if cv.pending {
			return Amount{}, false
		}
		if now.Sub(cv.spareAt) <= cv.spareTTL() {
			spare = cv.spare
		}
	}
	am := shortfall.atMost(spare)
	am.Tokens = am.Burst
	return am, !am.isZero()
}
