// Package entry implements the HTTP server of an entry VM. It answers lookups, which name the entry VMs that a caller
// should use, and it admits requests and forwards them to a target.
//
// Every response to a request has the header field Damasklatch-Outcome: "done" if it is the response of a target,
// "not_run" if no target has run the request or will run it, and "unknown" otherwise. Damasklatch-Reason gives the reason
// if the outcome is not "done", or if the response of a target was not stored for a duplicate.
package entry
