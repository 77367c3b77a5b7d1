// Package memory divides the memory that a process may hold for its callers.
//
// A caller that sends most of a request and stops makes the process hold what it has sent. Many such callers together would use up the
// memory of the VM. A Budget is asked before memory is taken, and refuses what would exceed it. While much of it is in use, each
// caller address gets an equal share, so that a crowd from a few addresses leaves room for the others.
package memory
