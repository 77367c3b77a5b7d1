package entry

import (
	"net/http"
	"strconv"

	"damasklatch/core/dedup"
)

// Names of header fields of requests and responses.
const (
	headerTicket  = "Damasklatch-Ticket"
	headerOutcome = "Damasklatch-Outcome"
	headerReason  = "Damasklatch-Reason"
	headerRequest = "Request-Id"
)

// refusal is a response that the server itself gives to a request, instead of the response of a target.
type refusal struct {
	outcome dedup.Outcome
	reason  dedup.Reason
	status  int
	text    string
}

type refusalDetails struct {
	status     int
	retryAfter int // value of Retry-After in seconds; 0 for no such field
	text       string
}

// detailsByReason holds the status, the retry time and the text for each reason. The texts contain no data of the caller.
var detailsByReason = map[dedup.Reason]refusalDetails{
	dedup.NoKey:              {http.StatusUnauthorized, 0, "the route needs a key in Authorization: Bearer"},
	dedup.UnknownKey:         {http.StatusUnauthorized, 0, "the key is unknown or revoked"},
	dedup.StaleKeys:          {http.StatusServiceUnavailable, 2, "this VM cannot tell at the moment whether the key was revoked"},
	dedup.NotPermitted:       {http.StatusForbidden, 0, "the team may not use the route"},
	dedup.NoRoute:            {http.StatusNotFound, 0, "no route has this path and method"},
	dedup.NoTicket:           {http.StatusPreconditionRequired, 0, "the route needs a ticket from a look-up in " + headerTicket},
	dedup.RateExceeded:       {http.StatusTooManyRequests, 1, "the rate of the team is used up"},
	dedup.ShiftCap:           {http.StatusServiceUnavailable, 1, "the region takes no more requests from other regions now"},
	dedup.LinkFull:           {http.StatusServiceUnavailable, 1, "the link from the home region of the caller is full"},
	dedup.RegionFull:         {http.StatusServiceUnavailable, 1, "the region has no free slot"},
	dedup.NoTarget:           {http.StatusServiceUnavailable, 1, "no target has a free slot"},
	dedup.TargetRefused:      {http.StatusServiceUnavailable, 1, "the target refused the request without running it"},
	dedup.DialFailed:         {http.StatusServiceUnavailable, 1, "no target could be reached"},
	dedup.NotReady:           {http.StatusServiceUnavailable, 1, "this VM is not ready"},
	dedup.Leaving:            {http.StatusServiceUnavailable, 1, "this VM is shutting down"},
	dedup.BodyTooLarge:       {http.StatusRequestEntityTooLarge, 0, "the body is larger than the route allows"},
	dedup.BadRequest:         {http.StatusBadRequest, 0, "the path or the method is not acceptable"},
	dedup.WrongVM:            {http.StatusMisdirectedRequest, 0, "the ticket is for another VM, which may have run the request"},
	dedup.TicketExpired:      {http.StatusConflict, 0, "the ticket has expired; the request may have run before"},
	dedup.EarlierIncarnation: {http.StatusConflict, 0, "the ticket is for an earlier process of this VM, which may have run the request"},
	dedup.TableFull:          {http.StatusServiceUnavailable, 1, "this VM cannot take note of more tickets now"},
	dedup.BadTicket:          {http.StatusBadRequest, 0, "the ticket is not valid"},
	dedup.TicketReused:       {http.StatusConflict, 0, "the ticket was used for another request"},
	dedup.Timeout:            {http.StatusGatewayTimeout, 0, "no response before the deadline"},
	dedup.ConnectionLost:     {http.StatusBadGateway, 0, "the connection to the target was lost"},
	dedup.Canceled:           {http.StatusBadGateway, 0, "the caller went away"},
	dedup.ResponseNotStored:  {http.StatusConflict, 0, "the request has run; its response was too large to keep"},
}

func newRefusal(oc dedup.Outcome, rs dedup.Reason) *refusal {
	kind := detailsByReason[rs]
	return &refusal{outcome: oc, reason: rs, status: kind.status, text: kind.text}
}

func notRun(rs dedup.Reason) *refusal  { return newRefusal(dedup.NotRun, rs) }
func unknown(rs dedup.Reason) *refusal { return newRefusal(dedup.Unknown, rs) }

// response returns the refusal in the form that the table of requests stores.
func (rf *refusal) response() dedup.Response {
	return dedup.Response{Outcome: rf.outcome, Reason: rf.reason, Status: rf.status}
}

func (rf *refusal) write(w http.ResponseWriter, r *http.Request, rq string) {
	hd := w.Header()
	hd[headerOutcome] = []string{string(rf.outcome)}
	hd[headerReason] = []string{string(rf.reason)}
	hd[headerRequest] = []string{rq}
	if after := detailsByReason[rf.reason].retryAfter; after > 0 {
		hd["Retry-After"] = []string{strconv.Itoa(after)}
	}
	if rf.status == http.StatusUnauthorized {
		hd["Www-Authenticate"] = []string{"Bearer"}
	}
	writeJSON(w, r, rf.status, errorBody{Error: rf.text})
}
