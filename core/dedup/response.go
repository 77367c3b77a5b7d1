package dedup

// Outcome tells a caller what is known about the work of its request.
type Outcome string

// Outcomes.
const (
	Done    Outcome = "done"    // a target responded
	NotRun  Outcome = "not_run" // no target has run it or will run it
	Unknown Outcome = "unknown" // it may have run
)

// Reason says why a request has the outcome not_run or unknown.
type Reason string

// Reasons of the outcome not_run.
const (
	NoKey         Reason = "no_key"
	UnknownKey    Reason = "unknown_key"
	StaleKeys     Reason = "stale_keys"
	NotPermitted  Reason = "not_permitted"
	NoRoute       Reason = "no_route"
	NoTicket      Reason = "no_ticket"
	RateExceeded  Reason = "rate"
	ShiftCap      Reason = "shift_cap"
	LinkFull      Reason = "link_full"
	RegionFull    Reason = "region_full"
	NoTarget      Reason = "no_target"
	TargetRefused Reason = "target_refused"
	DialFailed    Reason = "dial_failed"
	NotReady      Reason = "not_ready"
	Leaving       Reason = "leaving"
	BodyTooLarge  Reason = "body_too_large"
	BadRequest    Reason = "bad_request"
)

// Reasons of the outcome unknown, and of the outcome done without a stored response. A caller that goes away gives
// Canceled, with not_run if nothing was sent to a target.
const (
	WrongVM            Reason = "wrong_vm"
	TicketExpired      Reason = "ticket_expired"
	EarlierIncarnation Reason = "earlier_incarnation"
	TableFull          Reason = "table_full"
	Timeout            Reason = "timeout"
	ConnectionLost     Reason = "connection_lost"
	BadTicket          Reason = "bad_ticket"
	TicketReused       Reason = "ticket_reused"
	Canceled           Reason = "canceled"
	ResponseNotStored  Reason = "answer_not_kept"
)

// MaxStoredBody is the size in bytes of the largest response body that the table stores.
const MaxStoredBody = 64 << 10

// Response is the outcome of the first request with a ticket, as a duplicate receives it.
type Response struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  map[string][]string
	Body    []byte
	Trailer map[string][]string
	// Stored tells that Header, Body and Trailer are the whole response of the target.
	Stored bool
}

// size returns the number of bytes that the stored response counts for.
func (rs Response) size() int {
	n := len(rs.Body)
	for _, hd := range []map[string][]string{rs.Header, rs.Trailer} {
		for name, vals := range hd {
			for _, val := range vals {
				n += len(name) + len(val)
			}
		}
	}
	return n
}
