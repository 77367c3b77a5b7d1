// Package target provides stand-in targets for tests and experiments. A target is an HTTP server with a fixed number
// of slots, a short queue, random service times and a cold start. It reports its load late or wrongly and fails on
// command. One process serves all targets of a failure domain, each at its own address, and records every request
// that reaches one of them.
package target
