// Package dedup makes sure that the work of a ticket runs at most once. It contains the tickets and the table in which a process
// of an entry VM records the tickets that it has received.
//
// A ticket names one process by VM and incarnation, and no other process accepts it. The process keeps the ticket in its table
// until no copy of the ticket can be accepted any more. The table must be consulted before every other check. Otherwise a
// failed check could report "not run" for work that is running or has already run.
package dedup
