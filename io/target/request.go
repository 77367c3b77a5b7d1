package target

import (
	"io"
	"net/http"
	"net/url"

	"damasklatch/core/id"
)

// Request is a request to a target of a pool. Its deadline is that of the context of Do.
type Request struct {
	ID         id.Request
	Team       id.Team // empty on open routes
	Pool       id.Pool
	Idempotent bool
	Key        string // the caller's key, removed wherever it occurs

	Method string
	URL    *url.URL    // path and query; the host is not used
	Header http.Header // as received, not changed

	Body          io.Reader // nil for none
	ContentLength int64     // -1 if unknown
	// Rewind returns the body from its start. It is nil for a body that cannot be read twice.
	Rewind func() io.Reader
	// Trailer has the names of the announced trailer fields, and their values once Body has returned io.EOF.
	Trailer http.Header
}

// Response is the response of a target. The caller must close Body.
type Response struct {
	Target        id.Target
	Status        int
	Header        http.Header // without hop-by-hop fields
	ContentLength int64       // -1 if unknown
	Body          io.ReadCloser
	// Trailer has the names of the announced trailer fields, and their values once Body has returned io.EOF.
	Trailer http.Header
}
