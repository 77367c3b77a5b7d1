package limit

import "time"

// Settings configure a ledger. Values that are not positive are replaced by the defaults.
type Settings struct {
	LoanDuration time.Duration // duration of a loan, counted by the borrower from when it sent the request
	Margin       time.Duration // time that the lender adds, besides 10% for clock drift, before it uses a lent amount again
	ReplyTimeout time.Duration // time after which a request without a reply may be repeated
	MaxRequests  int           // largest number of requests of one Tick
	RequestRate  int           // sustained number of requests per second
	MaxLenders   int           // largest number of peers that a VM borrows from at the same time
}

// Defaults of the settings.
const (
	DefaultLoanDuration = 3 * time.Second
	DefaultMargin       = 500 * time.Millisecond
	// DefaultReplyTimeout is several times the longest round trip between regions, which is 110 ms.
	DefaultReplyTimeout = 400 * time.Millisecond
	// The following defaults limit the messages of a VM independently of the size of the fleet. DefaultRequestRate
	// leaves room for the renewal of DefaultMaxLenders loans. Each loan is renewed after half of its duration, which
	// takes 22 requests per second.
	DefaultMaxRequests = 8
	DefaultRequestRate = 30
	DefaultMaxLenders  = 32
)

// requestBurst is the time for which unused requests accumulate, so that loans move quickly after a quiet period.
const requestBurst = 2 * time.Second

// driftDivisor is the reciprocal of the largest tolerated clock drift, 10%.
const driftDivisor = 10

// withDefaults replaces values that are not positive by the defaults.
func (st Settings) withDefaults() Settings {
	if st.LoanDuration <= 0 {
		st.LoanDuration = DefaultLoanDuration
	}
	if st.Margin <= 0 {
		st.Margin = DefaultMargin
	}
	if st.ReplyTimeout <= 0 {
		st.ReplyTimeout = DefaultReplyTimeout
	}
	if st.MaxRequests <= 0 {
		st.MaxRequests = DefaultMaxRequests
	}
	if st.RequestRate <= 0 {
		st.RequestRate = DefaultRequestRate
	}
	if st.MaxLenders <= 0 {
		st.MaxLenders = DefaultMaxLenders
	}
	return st
}

// ReuseAfter returns how long a lender counts a loan as lent after granting it: the loan duration plus the allowed
// clock drift and the margin. A VM that took over an entry of the ownership record waits as long, from the successful
// write, before it calls Ledger.SetOwned.
func (st Settings) ReuseAfter() time.Duration {
	st = st.withDefaults()
	return st.LoanDuration + st.LoanDuration/driftDivisor + st.Margin
}
