// Package peer implements the calls between daemons and from the operator's command to daemons. It has an HTTP handler
// that checks credentials and serves the twirp services, clients for other daemons, and a Sender that makes calls for
// the control goroutine. The Encode and Decode functions convert between the types of core and the protocol messages.
package peer
