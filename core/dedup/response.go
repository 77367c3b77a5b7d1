package dedup

// Outcome tells a caller whether the work of its request has run.
type Outcome string

// Outcomes of a request.
const (
	Done    Outcome = "done"    // a target responded
	NotRun  Outcome = "not_run" // no target has run the work or will run it
	Unknown Outcome = "unknown" // a target may have run the work
)

// Reason tells why a request has no outcome done, or why its response cannot be repeated.
type Reason string

// Reasons for the outcome not_run.
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

// Reasons for the outcome unknown, and for the outcome done if the response was not stored. Canceled means that the caller
// closed its connection. It is also a reason for not_run, if nothing was sent to a target.
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

// MaxStoredBody is the maximum size in bytes of a response body that a Table stores.
const MaxStoredBody = 64 << 10

// Response is the outcome of the first request with a ticket. Duplicates of the request receive the same response.
type Response struct {
	Outcome Outcome
	Reason  Reason
	Status  int
	Header  map[string][]string
	Body    []byte
	Trailer map[string][]string
	// Stored reports whether Header, Body and Trailer hold the complete response of the target.
	Stored bool
}

// size returns the number of bytes that the response counts toward the limit of SetStoredBytes.
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
