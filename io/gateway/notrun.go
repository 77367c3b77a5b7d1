package gateway

import (
	"net/http"
	"slices"
)

// notRunStatuses lists the statuses by which a caller knows that its request has not run and never will.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// meansNotRun reports whether a response with the status tells its caller that the request has not run and never will.
func meansNotRun(status int) bool { return slices.Contains(notRunStatuses, status) }
