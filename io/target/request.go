package target

import (
	"io"
	"net/http"
	"net/url"

	"damasklatch/core/id"
)

// Request is a request to a target of a pool. The context of Do sets its deadline.
type Request struct {
	ID         id.Request
	Team       id.Team // empty if the route is open to callers without a key
	Pool       id.Pool
	Idempotent bool
	Key        string // the caller's key, which is removed from everything that is forwarded

	Method string
	URL    *url.URL    // path and query; the host is not used
	Header http.Header // as received from the caller; Do does not change it

	Body          io.Reader // nil if there is no body
	ContentLength int64     // -1 if unknown
	// Rewind returns a reader of the body from its start. It is nil for a body that can be read only once.
	Rewind func() io.Reader
	// Trailer holds the names of the announced trailer fields. Their values are set when Body returns io.EOF.
	Trailer http.Header
}

// Response is the response of a target. The caller of Do must close Body.
type Response struct {
	Target        id.Target
	Status        int
	Header        http.Header // without hop-by-hop fields
	ContentLength int64       // -1 if unknown
	Body          io.ReadCloser
	// Trailer holds the names of the announced trailer fields. Their values are set when Body returns io.EOF.
	Trailer http.Header
}
