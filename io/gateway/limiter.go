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
	// counterLimit bounds the question to the VM that counts, which may have to borrow first.
	counterLimit = 250 * time.Millisecond
	// nearLimit and farLimit bound a question for a loan in the own region and in another one.
	nearLimit = 40 * time.Millisecond
	farLimit  = 180 * time.Millisecond
	// silentTime is the time for which a VM that did not answer is not asked again. Its end shows only after a while.
	silentTime = time.Second
	// emptyBackoff is the time for which no loan is asked for after nobody had a token to lend.
	emptyBackoff = 250 * time.Millisecond
	// farLenders bounds the failure domains of other regions that are asked at the same time.
	farLenders = 3
)

// Limiter admits requests of teams. One VM of each failure domain counts those of a team; it borrows from the VMs that count in
// the other failure domains if it is short.
type Limiter struct {
	self    roster.Peer
	ledger  *quota.Ledger
	roster  *roster.Roster
	domains []domain
	ask     func(address string, ak status.TokenRequest, limit time.Duration) (status.TokenGrant, error)

	mu     sync.Mutex
	rounds map[id.Team]*loanRound
	silent map[id.VM]time.Time // until when a VM is not asked
}

// domain is a failure domain.
type domain struct {
	name id.FailureDomain
	near bool // in this VM's region
}

// loanRound asks the VMs that may lend tokens of a team.
type loanRound struct {
	done  chan struct{}
	until time.Time // before which no other round begins, if nobody had a token
}

// NewLimiter returns a limiter for a VM. The regions are those of all failure domains.
func NewLimiter(self roster.Peer, lg *quota.Ledger, rs *roster.Roster, regions map[id.FailureDomain]id.Region) *Limiter {
	lm := &Limiter{self: self, ledger: lg, roster: rs, rounds: map[id.Team]*loanRound{}, silent: map[id.VM]time.Time{}}
	for name, rg := range regions {
		if name != self.FailureDomain {
			lm.domains = append(lm.domains, domain{name, rg == self.Region})
		}
	}
	return lm
}

// Take admits a request, or returns the time until another one is admitted.
func (lm *Limiter) Take(now time.Time, team id.Team) (wait time.Duration, ok bool) {
	verdict, wait := lm.ledger.Take(now, team)
	switch verdict {
	case quota.Admitted:
		return 0, true
	case quota.NotCoordinator:
		if gr, ok := lm.askCounter(now, team); ok {
			lm.ledger.AddLoan(now, team, gr.Tokens-1)
			return gr.Wait, gr.Tokens > 0
		}
	case quota.Exhausted:
	}
	if lm.borrow(team) {
		if verdict, _ := lm.ledger.Take(time.Now(), team); verdict == quota.Admitted {
			return 0, true
		}
	}
	return max(wait, emptyBackoff), false
}

// askCounter asks the VM that counts the requests of a team in this failure domain. It reports false if that one can't be asked.
func (lm *Limiter) askCounter(now time.Time, team id.Team) (status.TokenGrant, bool) {
	pr, alive := lm.roster.Coordinator(now, lm.self.FailureDomain, team)
	if !alive || pr.VM == lm.self.VM || lm.isSilent(now, pr.VM) {
		return status.TokenGrant{}, false
	}
	gr, err := lm.ask(pr.StatusAddress, status.TokenRequest{Team: team, Tokens: lm.ledger.TokensToBorrow(now, team)}, counterLimit)
	if err != nil {
		lm.noteSilent(pr.VM)
	}
	return gr, err == nil && gr.IsCoordinator
}

func (lm *Limiter) isSilent(now time.Time, vm id.VM) bool {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	return now.Before(lm.silent[vm])
}

func (lm *Limiter) noteSilent(vm id.VM) {
	lm.mu.Lock()
	defer lm.mu.Unlock()
	lm.silent[vm] = time.Now().Add(silentTime)
}

// HandleTokenRequest answers the question of another VM.
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
	tokens, wait, counting := lm.ledger.Lend(now, ak.Team, ak.Tokens)
	return status.TokenGrant{Tokens: tokens, Wait: wait, IsCoordinator: counting}
}

// pendingGrant borrows tokens before it answers the question of another VM.
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
	pg.grant.Wait = max(pg.grant.Wait, emptyBackoff)
	pg.reply.Send(pg.grant)
}

// borrow asks for tokens of a team, first in the own region. It reports whether there were any. Those who come while it asks wait
// for the same answers.
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
		next.until = time.Now().Add(emptyBackoff)
	}
	lm.rounds[team] = next
	return got
}

// askLenders asks failure domains of the own region, or some of the others, at the same time.
func (lm *Limiter) askLenders(now time.Time, team id.Team, near bool) bool {
	limit, most := farLimit, farLenders
	if near {
		limit, most = nearLimit, len(lm.domains)
	}
	lenders := lm.lenders(now, team, near, most)
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

// lenders returns the VMs that count the requests of a team in other failure domains, beginning with another one in each round.
func (lm *Limiter) lenders(now time.Time, team id.Team, near bool, most int) []roster.Peer {
	var list []roster.Peer
	from := int(rendezvous.Mix(uint64(now.UnixNano())) % uint64(max(len(lm.domains), 1)))
	for nr := range lm.domains {
		dm := lm.domains[(from+nr)%len(lm.domains)]
		if dm.near != near {
			continue
		}
		if pr, alive := lm.roster.Coordinator(now, dm.name, team); alive && len(list) < most {
			list = append(list, pr)
		}
	}
	return list
}

// loanRequest asks one VM for a loan.
type loanRequest struct {
	lm      *Limiter
	address string
	ask     status.TokenRequest
	limit   time.Duration
	began   time.Time
	done    chan<- int
}

func (lr *loanRequest) run() {
	gr, err := lr.lm.ask(lr.address, lr.ask, lr.limit)
	if err == nil {
		lr.lm.ledger.AddLoan(lr.began, lr.ask.Team, gr.Tokens)
	}
	lr.done <- gr.Tokens
}
