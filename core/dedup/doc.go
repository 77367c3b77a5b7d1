// Package once holds the rules that let the work of a ticket run at most once: the tickets themselves and the table
// of the tickets that one process of an entry VM has seen.
//
// A ticket names one process (VM and incarnation) and is accepted by that process only. The process keeps every
// ticket in its table until no copy of it can be accepted any more. The table is consulted before every other check,
// so that a check never reports "not run" for work that is running or has run.
package dedup
