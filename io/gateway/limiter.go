package gateway

import (
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/quota"
	"damasklatch/core/rendezvous"
	"damasklatch/core/roster"
	"damasklatch/io/status"
)

const (
	// coordinatorTimeout is the time limit of a token request to the coordinator, which may have to borrow tokens first.
	coordinatorTimeout = 250 * time.Millisecond
	// regionLoanTimeout and crossRegionLoanTimeout are the time limits of a loan request in the own region and to another
	// one.
	regionLoanTimeout      = 40 * time.Millisecond
	crossRegionLoanTimeout = 180 * time.Millisecond
	// avoidTime is the time for which a VM that has not answered gets no more requests. The roster takes longer to notice
	// that a VM is dead.
	avoidTime = time.Second
	// noLoanBackoff is the time to wait after a round of loan requests that brought no tokens.
	noLoanBackoff = 250 * time.Millisecond
	// maxCrossRegionLenders is the number of failure domains in other regions that are asked in one round.
	maxCrossRegionLenders = 3
)

// Limiter enforces the request limits of teams. In each failure domain, one VM per team is the coordinator: it counts the
// team's requests and grants tokens to the other VMs. A coordinator without tokens borrows from the coordinators of other
// failure domains. A Limiter is safe for concurrent use.
type Limiter struct {
	self    roster.Peer
	ledger  *quota.Ledger
	roster  *roster.Roster
	domains []domain
	// requestTokens sends a token request to an address and waits for the grant. It must be set before the first use.
	requestTokens func(address string, ak status.TokenRequest, limit time.Duration) (status.TokenGrant, error)

	mu         sync.Mutex
	rounds     map[id.Team]*loanRound
	avoidUntil map[id.VM]time.Time // VMs that did not answer, and until when they are not asked
}

// domain is another failure domain.
type domain struct {
	name       id.FailureDomain
	sameRegion bool // in this VM's region
}

// loanRound is a round of loan requests for a team, or the pause after it.
type loanRound struct {
	done  chan struct{} // closed when the round ends; nil during the pause
	until time.Time     // end of the pause; zero if the round brought tokens
}

// NewLimiter returns a limiter for the VM self. Regions holds all failure domains of the fleet with their regions.
func NewLimiter(self roster.Peer, lg *quota.Ledger, rs *roster.Roster, regions map[id.FailureDomain]id.Region) *Limiter {
	lm := &Limiter{self: self, ledger: lg, roster: rs, rounds: map[id.Team]*loanRound{}, avoidUntil: map[id.VM]time.Time{}}
	for name, rg := range regions {
		if name != self.FailureDomain {
			lm.domains = append(lm.domains, domain{name, rg == self.Region})
		}
	}
	return lm
}

// Take takes a token of a team and reports whether there was one. If not, it returns the time after which the caller should
// retry. It may wait for responses of other VMs.
func (lm *Limiter) Take(now time.Time, team id.Team) (wait time.Duration, ok bool) {
	decision, wait := lm.ledger.Take(now, team)
	switch decision {
	case quota.Admitted:
		return 0, true
	case quota.NotCoordinator:
		if gr, ok := lm.askCoordinator(now, team); ok {
			lm.ledger.AddLoan(now, team, gr.Tokens-1)
			return gr.Wait, gr.Tokens > 0
		}
	case quota.Exhausted:
	}
	if lm.borrow(team) {
		if decision, _ := lm.ledger.Take(time.Now(), team); decision == quota.Admitted {
			return 0, true
		}
	}
	return max(wait, noLoanBackoff), false
}

// Return gives back a token that was taken at the given time for a request that has not run.
func (lm *Limiter) Return(taken time.Time, team id.Team) {
	lm.ledger.Return(time.Now(), taken, team)
}

// askCoordinator requests tokens from the coordinator of a team in this failure domain. It reports false if there is no other
// coordinator or it doesn't answer.
func (lm *Limiter) askCoordinator(now time.Time, team id.Team) (status.TokenGrant, bool) {
	pr, alive := lm.roster.Coordinator(now, lm.self.FailureDomain, team)
	if !alive || pr.VM == lm.self.VM || lm.isAvoided(now, pr.VM) {
		return status.TokenGrant{}, false
	}
	gr, err := lm.requestTokens(pr.StatusAddress, status.TokenRequest{Team: team, Tokens: lm.ledger.TokensToBorrow(now, team)}, coordinatorTimeout)
	if err != nil {
		lm.avoid(pr.VM)
	}
	return gr, err == nil && gr.IsCoordinator
}

func (lm *Limiter) isAvoided(now time.Time, vm id.VM) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return now.Before(lm.avoidUntil[vm])
}

func (lm *Limiter) avoid(vm id.VM) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.avoidUntil[vm] = time.Now().Add(avoidTime)
}

// HandleTokenRequest answers the token request of another VM. If it has no tokens for a VM of its own failure domain, it
// borrows them on another goroutine before it answers.
func (lm *Limiter) HandleTokenRequest(now time.Time, ak status.TokenRequest, reply status.Reply) {
	gr := lm.lend(now, ak)
	if gr.Tokens > 0 || !gr.IsCoordinator || ak.Loan {
		reply.Send(gr)
		return
	}
	lm.ledger.RecordDemand(now, ak.Team, 1)
	go (&pendingGrant{lm, ak, reply, gr}).run()
}

func (lm *Limiter) lend(now time.Time, ak status.TokenRequest) status.TokenGrant {
	tokens, wait, isCoordinator := lm.ledger.Lend(now, ak.Team, ak.Tokens)
	return status.TokenGrant{Tokens: tokens, Wait: wait, IsCoordinator: isCoordinator}
}

// pendingGrant is a token request that is answered after an attempt to borrow tokens.
type pendingGrant struct {
	lm    *Limiter
	ask   status.TokenRequest
	reply status.Reply
	grant status.TokenGrant
}

func (pg *pendingGrant) run() {
	if pg.lm.borrow(pg.ask.Team) {
		pg.grant = pg.lm.lend(time.Now(), pg.ask)
	}
	pg.grant.Wait = max(pg.grant.Wait, noLoanBackoff)
	pg.reply.Send(pg.grant)
}

// borrow requests loans of a team's tokens, first in the own region and then in others. It reports whether it got any. Calls
// for the same team during a round wait for the end of the round and then report true.
func (lm *Limiter) borrow(team id.Team) bool {
	now := time.Now()
	lm.mu.Lock()
	rd := lm.rounds[team]
	switch {
	case rd != nil && rd.done != nil:
		lm.mu.Unlock()
		<-rd.done
		return true
	case rd != nil && now.Before(rd.until):
		lm.mu.Unlock()
		return false
	}
	rd = &loanRound{done: make(chan struct{})}
	lm.rounds[team] = rd
	lm.mu.Unlock()
	got := lm.askLenders(now, team, true) || lm.askLenders(time.Now(), team, false)
	lm.mu.Lock()
	defer lm.mu.Unlock()
	close(rd.done)
	next := &loanRound{}
	if !got {
		next.until = time.Now().Add(noLoanBackoff)
	}
	lm.rounds[team] = next
	return got
}

// askLenders concurrently requests loans from all failure domains of the own region, or from some failure domains of other
// regions. It reports whether it got any tokens.
func (lm *Limiter) askLenders(now time.Time, team id.Team, sameRegion bool) bool {
	limit, maxLenders := crossRegionLoanTimeout, maxCrossRegionLenders
	if sameRegion {
		limit, maxLenders = regionLoanTimeout, len(lm.domains)
	}
	lenders := lm.lenders(now, team, sameRegion, maxLenders)
	if len(lenders) == 0 {
		return false
	}
	want := lm.ledger.TokensToBorrow(now, team)
	each := (want + len(lenders) - 1) / len(lenders)
	done := make(chan int, len(lenders))
	for _, pr := range lenders {
		lr := &loanRequest{lm, pr.StatusAddress, status.TokenRequest{Team: team, Tokens: each, Loan: true}, limit, now, done}
		go lr.run()
	}
	sum := 0
	for range lenders {
		sum += <-done
	}
	return sum > 0
}

// lenders returns the coordinators of a team in other failure domains, up to a maximum. It starts at a pseudorandom failure
// domain to spread the requests.
func (lm *Limiter) lenders(now time.Time, team id.Team, sameRegion bool, maxLenders int) []roster.Peer {
	var list []roster.Peer
	from := int(rendezvous.Mix(uint64(now.UnixNano())) % uint64(max(len(lm.domains), 1)))
	for nr := range lm.domains {
		dm := lm.domains[(from+nr)%len(lm.domains)]
		if dm.sameRegion != sameRegion {
			continue
		}
		if pr, alive := lm.roster.Coordinator(now, dm.name, team); alive && len(list) < maxLenders {
			list = append(list, pr)
		}
	}
	return list
}

// loanRequest requests a loan from one VM and adds it to the ledger.
type loanRequest struct {
	lm      *Limiter
	address string
	ask     status.TokenRequest
	limit   time.Duration
	began   time.Time  // start of the round, from which the loan expires
	done    chan<- int // gets the number of tokens
}

func (lr *loanRequest) run() {
	gr, err := lr.lm.requestTokens(lr.address, lr.ask, lr.limit)
	if err == nil {
		lr.lm.ledger.AddLoan(lr.began, lr.ask.Team, gr.Tokens)
	}
	lr.done <- gr.Tokens
}
