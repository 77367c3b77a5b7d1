package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Reason tells why a request got no response from a target. The empty Reason means that it got one.
type Reason string

// Reasons for refusals. A reason with a 4xx status or 503 means that the request has not run and will not run. With the other
// statuses, 502 and 504, a target may have run it.
const (
	reasonNoRoute     Reason = "no_route"
	reasonNoKey       Reason = "no_key"
	reasonUnknownKey  Reason = "unknown_key"
	reasonBadRequest  Reason = "bad_request"
	reasonHeaderLarge Reason = "header_too_large"
	reasonBodyLarge   Reason = "body_too_large"
	reasonBodyLate    Reason = "body_not_received" // in time; no byte of the request was sent to a target
	reasonMemory      Reason = "memory"            // for the body; no byte of the request was sent to a target
	reasonNoConfig    Reason = "no_configuration"
	reasonStale       Reason = "stale_configuration"
	reasonRate        Reason = "rate"
	reasonNoTarget    Reason = "no_target"
	reasonFull        Reason = "full"
	reasonShift       Reason = "shift" // too many requests of the region would run in another one than before
	reasonRefused     Reason = "target_refused"
	reasonUnreached   Reason = "target_unreached"
	reasonTimeout     Reason = "timeout"
	reasonLost        Reason = "connection_lost"
	reasonUnstated    Reason = "unstated_refusal" // the target's status means "not run", but the target did not state it
	reasonNotSent     Reason = "timeout_before_sent"
)

// statuses holds the HTTP status of each reason.
var statuses = map[Reason]int{
	reasonNoRoute: http.StatusNotFound, reasonNoKey: http.StatusUnauthorized, reasonUnknownKey: http.StatusUnauthorized,
	reasonBadRequest: http.StatusBadRequest, reasonHeaderLarge: http.StatusRequestHeaderFieldsTooLarge,
	reasonBodyLarge: http.StatusRequestEntityTooLarge, reasonBodyLate: http.StatusRequestTimeout, reasonMemory: http.StatusServiceUnavailable, reasonNoConfig: http.StatusServiceUnavailable,
	reasonStale: http.StatusServiceUnavailable, reasonRate: http.StatusTooManyRequests,
	reasonNoTarget: http.StatusServiceUnavailable, reasonFull: http.StatusServiceUnavailable,
	reasonShift: http.StatusServiceUnavailable, reasonRefused: http.StatusServiceUnavailable, reasonUnreached: http.StatusServiceUnavailable,
	reasonTimeout: http.StatusGatewayTimeout, reasonLost: http.StatusBadGateway,
	reasonNotSent: http.StatusServiceUnavailable, reasonUnstated: http.StatusBadGateway,
}

const (
	// notReadyRetryAfter is the Retry-After time if this VM has no configuration or its lease has ended.
	notReadyRetryAfter = 300 * time.Millisecond
	// memoryRetryAfter is the Retry-After time if there is no memory for the body of a request. Bodies that stop arriving are given up
	// at the timeout of their route.
	memoryRetryAfter = 500 * time.Millisecond
	// targetRetryAfter is the Retry-After time if no target has run the request.
	targetRetryAfter = 200 * time.Millisecond
	// spuriousRetryAfter is the Retry-After time if a target refused the request although it had free slots. Waiting would not
	// improve the chance of the next attempt, and could make its response late.
	spuriousRetryAfter = 10 * time.Millisecond
)

// refusal is a response that the gateway makes itself.
type refusal struct {
	reason     Reason
	retryAfter time.Duration // time for the field Retry-After; zero omits it
}

// afterRun returns the refusal for a request that an earlier attempt may have run. It must not have a status by which the caller
// knows that the request has not run.
func (rf *refusal) afterRun() *refusal {
	status := statuses[rf.reason]
	if status < http.StatusInternalServerError || meansNotRun(status) {
		return &refusal{reason: reasonLost}
	}
	return rf
}

// write writes the refusal and returns its status.
func (rf *refusal) write(rw http.ResponseWriter) int {
	status := statuses[rf.reason]
	hd := rw.Header()
	body := fmt.Sprintf("%s\n", rf.reason)
	hd["Content-Type"] = []string{"text/plain; charset=utf-8"}
	hd["Content-Length"] = []string{strconv.Itoa(len(body))}
	if rf.retryAfter > 0 {
		hd["Retry-After"] = []string{strconv.FormatFloat(rf.retryAfter.Seconds(), 'f', 3, 64)}
	}
	if status == http.StatusUnauthorized {
		hd["Www-Authenticate"] = []string{"Bearer"}
	}
	rw.WriteHeader(status)
	_, _ = rw.Write([]byte(body)) // an error means that the caller has closed the connection
	return status
}
