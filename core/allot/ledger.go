package allot

import (
	"math"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// rateUsed and burstUsed are the parts of a limit that are given out, slackUsed that of the tolerated excess over bursts.
	// The rest covers the time in which VMs that were restarted, suspended or cut off see a different fleet than the others.
	rateUsed  = 0.95
	burstUsed = 0.8
	slackUsed = 0.6
	// loanLife is the time after which borrowed tokens expire. Tokens that are lent leave room for new ones at the lender, so
	// all parts together may hold this much more than the burst.
	loanLife = 300 * time.Millisecond
	// demandMemory is the time over which the demand for loans is measured, and mostLoan bounds one loan in tokens.
	demandMemory = 500 * time.Millisecond
	mostLoan     = 24
	// mostWait bounds the time after which a caller is told to come back.
	mostWait = 10 * time.Second
)

// Limit is the limit of a team over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; zero means none
	Burst float64 // requests
}

// Verdict is the answer to a request of a team.
type Verdict int

// Verdicts.
const (
	Admitted  Verdict = iota
	Short             // this VM counts the team's requests, and there is no token
	Elsewhere         // another VM counts them
)

// Ledger holds the tokens of one VM. It is safe for concurrent use.
type Ledger struct {
	slack float64

	mu    sync.Mutex
	parts int // into which limits are divided
	teams map[id.Team]*account
}

// account is what a VM has of the limit of a team.
type account struct {
	limit    Limit
	counting bool
	bucket   bucket // filled while counting
	loans    []loan
	demand   float64 // requests in demandMemory, decaying
	asked    time.Time
}

// loan is borrowed tokens.
type loan struct {
	tokens int
	until  time.Time
}

// New returns a ledger without teams. Limits are divided into so many equal parts, one for each failure domain. The slack is the
// number of requests by which all VMs together may exceed a burst.
func New(parts int, slack float64) *Ledger {
	return &Ledger{parts: max(parts, 1), slack: slack, teams: map[id.Team]*account{}}
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
		lg.count(now, ac, counts(name))
	}
}

// SetCounts tells which teams' requests this VM counts. It begins to count without tokens, because another VM may have used
// them.
func (lg *Ledger) SetCounts(now time.Time, counts func(id.Team) bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for name, ac := range lg.teams {
		lg.count(now, ac, counts(name))
	}
}

func (lg *Ledger) count(now time.Time, ac *account, counting bool) {
	if !counting || !ac.counting {
		ac.bucket = bucket{last: now}
	}
	ac.counting = counting
	if !counting {
		return
	}
	parts := float64(lg.parts)
	// A bucket smaller than a token would never admit a request.
	size := max((burstUsed*ac.limit.Burst+slackUsed*lg.slack)/parts, 1)
	ac.bucket.set(now, rateUsed*ac.limit.Rate/parts, size)
}

// Restart gives up all tokens, as after the start of a process: other VMs may have counted meanwhile.
func (lg *Ledger) Restart(now time.Time) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	for _, ac := range lg.teams {
		ac.bucket.fill(now)
		ac.bucket.tokens, ac.loans = 0, nil
	}
}

// Take admits a request of a team, or tells why it does not, with the time after which there is a token if this VM counts.
func (lg *Ledger) Take(now time.Time, name id.Team) (Verdict, time.Duration) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil || ac.limit.Rate <= 0 {
		return Admitted, 0
	}
	ac.arrived(now, 1)
	if ac.takeLoan(now) {
		return Admitted, 0
	}
	if !ac.counting {
		return Elsewhere, 0
	}
	if wait, ok := ac.bucket.take(now); !ok {
		return Short, wait
	}
	return Admitted, 0
}

// Lend gives up to so many tokens to another VM. Counting is false if this VM does not count the team's requests. Wait is the time
// after which there is a token if none was given.
func (lg *Ledger) Lend(now time.Time, name id.Team, want int) (tokens int, wait time.Duration, counting bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil || !ac.counting {
		return 0, 0, false
	}
	ac.bucket.fill(now)
	tokens = min(want, mostLoan, int(ac.bucket.tokens))
	if tokens == 0 && want > 0 && ac.takeLoan(now) {
		return 1, 0, true
	}
	ac.bucket.tokens -= float64(tokens)
	if tokens == 0 {
		wait, _ = ac.bucket.take(now)
	}
	return tokens, wait, true
}

// Credit takes borrowed tokens that were asked for at a time.
func (lg *Ledger) Credit(asked time.Time, name id.Team, tokens int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil && tokens > 0 {
		ac.loans = append(ac.loans, loan{min(tokens, mostLoan), asked.Add(loanLife)})
	}
}

// Arrived counts a request that another VM asked about, which tells how much to borrow.
func (lg *Ledger) Arrived(now time.Time, name id.Team, num int) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	if ac := lg.teams[name]; ac != nil {
		ac.arrived(now, num)
	}
}

// Wanted returns the number of tokens to borrow: what is expected to be used before they expire.
func (lg *Ledger) Wanted(now time.Time, name id.Team) int {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ac := lg.teams[name]
	if ac == nil {
		return 0
	}
	ac.arrived(now, 0)
	return min(1+int(ac.demand*loanLife.Seconds()/demandMemory.Seconds()/2), mostLoan)
}

func (ac *account) arrived(now time.Time, num int) {
	if passed := now.Sub(ac.asked); passed > 0 {
		ac.demand *= math.Exp(-passed.Seconds() / demandMemory.Seconds())
		ac.asked = now
	}
	ac.demand += float64(num)
}

func (ac *account) takeLoan(now time.Time) bool {
	for len(ac.loans) > 0 {
		ln := &ac.loans[0]
		if now.Before(ln.until) && ln.tokens > 0 {
			ln.tokens--
			return true
		}
		ac.loans = ac.loans[1:]
	}
	return false
}
