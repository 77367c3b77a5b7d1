// Package target forwards requests to the targets of one failure domain. It keeps connections to the targets, polls
// their health and load, and applies deadlines and cancellation.
//
// Every failure is classified by whether a target may have run the request. The package prevents the automatic retries
// of net/http, so that it decides about every attempt and counts it. It removes the caller's key from everything that
// it forwards.
package target
