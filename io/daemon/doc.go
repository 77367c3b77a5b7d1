// Package daemon assembles the daemon of an entry VM. It connects the services with fx, runs the control goroutine and
// serves the peer address.
//
// The control goroutine owns the membership table, the lending and borrowing of the share ledger, and the configuration
// in force. It receives messages through an inbox and never waits for the network: peer.Sender calls other daemons;
// configsync.Follower and OwnershipManager call the platform store. The goroutines that serve requests read an immutable
// entry.State, which the control goroutine publishes.
package daemon
