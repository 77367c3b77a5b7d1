package quota

import (
	"math"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// slackFraction is the fraction of the tolerated excess over bursts that is distributed in addition to the limits. The
	// rest is a reserve: VMs that were restarted, suspended or partitioned see a different fleet than the others for some
	// time.
	slackFraction = 0.6
	// loanLifetime is the time after which borrowed tokens expire. Tokens that are lent leave room for new ones in
	// the lender's bucket, so all shares together can exceed the burst by the tokens that accrue in this time.
	loanLifetime = 300 * time.Millisecond
	// demandWindow is the time constant of the demand estimate, which determines the size of loans. maxLoan is the
	// largest number of tokens in one loan.
	demandWindow = 500 * time.Millisecond
	maxLoan      = 24
	// maxWait is the longest time after which a refused caller is told to retry.
	maxWait = 10 * time.Second
)

// Limit is the limit of one team over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; zero means no limit
	Burst float64 // number of requests
}

// Decision is the result of Ledger.Take.
type Decision int

// Results of Ledger.Take.
const (
	Admitted       Decision = iota
	Exhausted               // this VM is the coordinator of the team and has no token
	NotCoordinator          // another VM is the coordinator of the team
)

// Ledger holds the tokens of one VM for all teams. It is safe for concurrent use.
type Ledger struct {
	slack float64 // requests by which all VMs together may exceed a burst

	mu     sync.Mutex
	shares int // number of equal shares into which each limit is divided
	teams  map[id.Team]*account
}

// account is what this VM holds of the limit of one team.
type account struct {
	limit        Limit
	coordinating bool
	bucket       bucket // empty unless coordinating
	loans        []loan
	demand       float64   // requests, decaying with the time constant demandWindow
	demandAt     time.Time // time of the latest decay
}

// loan is a number of borrowed tokens that expire together.
type loan struct {
	tokens int
	expiry time.Time
}

// New returns a ledger without teams. Each limit is divided into the given number of equal shares, one per failure
// domain. The slack is the number of requests by which all VMs together may exceed a burst.
func New(shares int, slack float64) *Ledger {
	return &Ledger{shares: max(shares, 1), slack: slack, teams: map[id.Team]*account{}}
}

// SetLimits replaces the limits of all teams. Teams that are not listed have no limit from then on. The function
// coordinates reports whether this VM is the coordinator of a team.
func (lg *Ledger) SetLimits(now time.Time, limits map[id.Team]Limit, coordinates func(id.Team) bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for name := range lg.teams {
		if _, ok := limits[name]; !ok {
			delete(lg.teams, name)
		}
	}
	for name, lm := range limits {
		ac := lg.teams[name]
		if ac == nil {
			ac = &account{bucket: bucket{last: now}}
			lg.teams[name] = ac
		}
		ac.limit = lm
		lg.setCoordinating(now, ac, coordinates(name))
	}
}

// SetCoordinated updates for which teams this VM is the coordinator. A VM that becomes the coordinator starts with an
// empty bucket, because another VM may already have used the tokens.
func (lg *Ledger) SetCoordinated(now time.Time, coordinates func(id.Team) bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for name, ac := range lg.teams {
		lg.setCoordinating(now, ac, coordinates(name))
	}
}

func (lg *Ledger) setCoordinating(now time.Time, ac *account, coordinating bool) {
	if !coordinating || !ac.coordinating {
		ac.bucket = bucket{last: now}
	}
	ac.coordinating = coordinating
	if !coordinating {
		return
	}
	shares := float64(lg.shares)
	// A bucket smaller than a token would never admit a request.
	size := max((ac.limit.Burst+slackFraction*lg.slack)/shares, 1)
	ac.bucket.setLimit(now, ac.limit.Rate/shares, size)
}

// DiscardTokens empties all buckets and drops all loans. It is called when this VM may have missed a change of
// coordinators, because other VMs may have admitted requests with the same tokens.
func (lg *Ledger) DiscardTokens(now time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for _, ac := range lg.teams {
		ac.bucket.refill(now)
		ac.bucket.tokens, ac.loans = 0, nil
	}
}

// Take admits one request of a team if there is a token for it. A team without a limit is always admitted. With
// Exhausted it also returns the time until a token is available.
func (lg *Ledger) Take(now time.Time, name id.Team) (Decision, time.Duration) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil || ac.limit.Rate <= 0 {
		return Admitted, 0
	}
	ac.recordDemand(now, 1)
	if ac.takeBorrowed(now) {
		return Admitted, 0
	}
	if !ac.coordinating {
		return NotCoordinator, 0
	}
	if wait, ok := ac.bucket.take(now); !ok {
		return Exhausted, wait
	}
	return Admitted, 0
}

// Lend removes up to want tokens for another VM. It returns the time until a token is available if it lends none, and
// coordinator is false if this VM is not the coordinator of the team.
func (lg *Ledger) Lend(now time.Time, name id.Team, want int) (tokens int, wait time.Duration, coordinator bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil || !ac.coordinating {
		return 0, 0, false
	}
	ac.bucket.refill(now)
	tokens = min(want, maxLoan, int(ac.bucket.tokens))
	if tokens == 0 && want > 0 && ac.takeBorrowed(now) {
		return 1, 0, true
	}
	ac.bucket.tokens -= float64(tokens)
	if tokens == 0 {
		wait, _ = ac.bucket.take(now)
	}
	return tokens, wait, true
}

// AddLoan adds borrowed tokens. The time asked is when the request for the loan was sent; the tokens expire
// loanLifetime after it.
func (lg *Ledger) AddLoan(asked time.Time, name id.Team, tokens int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil && tokens > 0 {
		ac.loans = append(ac.loans, loan{min(tokens, maxLoan), asked.Add(loanLifetime)})
	}
}

// Return gives back a token that was taken at the given time for a request that did not run. It expires like a borrowed
// token, because the bucket that it came from may have refilled since.
func (lg *Ledger) Return(now, taken time.Time, name id.Team) {
	expiry := taken.Add(loanLifetime)
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil && ac.limit.Rate > 0 && now.Before(expiry) {
		ac.loans = append(ac.loans, loan{1, expiry})
	}
}

// RecordDemand adds num requests for which another VM asked this one to the demand estimate, which determines how
// much this VM borrows.
func (lg *Ledger) RecordDemand(now time.Time, name id.Team, num int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil {
		ac.recordDemand(now, num)
	}
}

// TokensToBorrow returns the number of tokens to ask for in one loan: one more than half of what the team is expected
// to use before they expire, and at most maxLoan.
func (lg *Ledger) TokensToBorrow(now time.Time, name id.Team) int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil {
		return 0
	}
	ac.recordDemand(now, 0)
	return min(1+int(ac.demand*loanLifetime.Seconds()/demandWindow.Seconds()/2), maxLoan)
}

// recordDemand lets the demand estimate decay up to now and adds num requests.
func (ac *account) recordDemand(now time.Time, num int) {
	if passed := now.Sub(ac.demandAt); passed > 0 {
		ac.demand *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		ac.demandAt = now
	}
	ac.demand += float64(num)
}

// takeBorrowed takes one borrowed token. It removes loans that are expired or used up.
func (ac *account) takeBorrowed(now time.Time) bool {
	for len(ac.loans) > 0 {
		ln := &ac.loans[0]
		if now.Before(ln.expiry) && ln.tokens > 0 {
			ln.tokens--
			return true
		}
		ac.loans = ac.loans[1:]
	}
	return false
}
