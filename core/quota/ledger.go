package quota

import (
	"math"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// rateFraction and burstUsed are the parts of a limit that are given out, slackUsed that of the tolerated excess over bursts.
	// The rest covers the time in which VMs that were restarted, suspended or cut off see a different fleet than the others.
	rateFraction  = 0.95
	burstFraction = 0.8
	slackFraction = 0.6
	// loanLifetime is the time after which borrowed tokens expire. Tokens that are lent leave room for new ones at the lender, so
	// all parts together may hold this much more than the burst.
	loanLifetime = 300 * time.Millisecond
	// demandWindow is the time over which the demand for loans is measured, and mostLoan bounds one loan in tokens.
	demandWindow = 500 * time.Millisecond
	maxLoan      = 24
	// maxWait bounds the time after which a caller is told to come back.
	maxWait = 10 * time.Second
)

// Limit is the limit of a team over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; zero means none
	Burst float64 // requests
}

// Decision is the answer to a request of a team.
type Decision int

// Verdicts.
const (
	Admitted       Decision = iota
	Exhausted               // this VM counts the team's requests, and there is no token
	NotCoordinator          // another VM counts them
)

// Ledger holds the tokens of one VM. It is safe for concurrent use.
type Ledger struct {
	slack float64

	mu     sync.Mutex
	shares int // into which limits are divided
	teams  map[id.Team]*account
}

// account is what a VM has of the limit of a team.
type account struct {
	limit        Limit
	coordinating bool
	bucket       bucket // filled while counting
	loans        []loan
	demand       float64 // requests in demandMemory, decaying
	demandAt     time.Time
}

// loan is borrowed tokens.
type loan struct {
	tokens int
	expiry time.Time
}

// New returns a ledger without teams. Limits are divided into so many equal parts, one for each failure domain. The slack is the
// number of requests by which all VMs together may exceed a burst.
func New(parts int, slack float64) *Ledger {
	return &Ledger{shares: max(parts, 1), slack: slack, teams: map[id.Team]*account{}}
}

// SetLimits replaces the limits. Counts reports whether this VM counts the requests of a team.
func (lg *Ledger) SetLimits(now time.Time, limits map[id.Team]Limit, counts func(id.Team) bool) {
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
		lg.setCoordinating(now, ac, counts(name))
	}
}

// SetCoordinated tells which teams' requests this VM counts. It begins to count without tokens, because another VM may have used
// them.
func (lg *Ledger) SetCoordinated(now time.Time, counts func(id.Team) bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for name, ac := range lg.teams {
		lg.setCoordinating(now, ac, counts(name))
	}
}

func (lg *Ledger) setCoordinating(now time.Time, ac *account, counting bool) {
	if !counting || !ac.coordinating {
		ac.bucket = bucket{last: now}
	}
	ac.coordinating = counting
	if !counting {
		return
	}
	parts := float64(lg.shares)
	// A bucket smaller than a token would never admit a request.
	size := max((burstFraction*ac.limit.Burst+slackFraction*lg.slack)/parts, 1)
	ac.bucket.setLimit(now, rateFraction*ac.limit.Rate/parts, size)
}

// DiscardTokens gives up all tokens, as after the start of a process: other VMs may have counted meanwhile.
func (lg *Ledger) DiscardTokens(now time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for _, ac := range lg.teams {
		ac.bucket.refill(now)
		ac.bucket.tokens, ac.loans = 0, nil
	}
}

// Take admits a request of a team, or tells why it does not, with the time after which there is a token if this VM counts.
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

// Lend gives up to so many tokens to another VM. Counting is false if this VM does not count the team's requests. Wait is the time
// after which there is a token if none was given.
func (lg *Ledger) Lend(now time.Time, name id.Team, want int) (tokens int, wait time.Duration, counting bool) {
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

// AddLoan takes borrowed tokens that were asked for at a time.
func (lg *Ledger) AddLoan(asked time.Time, name id.Team, tokens int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil && tokens > 0 {
		ac.loans = append(ac.loans, loan{min(tokens, maxLoan), asked.Add(loanLifetime)})
	}
}

// RecordDemand counts a request that another VM asked about, which tells how much to borrow.
func (lg *Ledger) RecordDemand(now time.Time, name id.Team, num int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil {
		ac.recordDemand(now, num)
	}
}

// TokensToBorrow returns the number of tokens to borrow: what is expected to be used before they expire.
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

func (ac *account) recordDemand(now time.Time, num int) {
	if passed := now.Sub(ac.demandAt); passed > 0 {
		ac.demand *= math.Exp(-passed.Seconds() / demandWindow.Seconds())
		ac.demandAt = now
	}
	ac.demand += float64(num)
}

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
