// Package lookup decides which entry VMs a caller should use. The client block that contains the caller's address
// determines its home site. From there, VMs are picked from the failure domains in order of distance. Drained failure
// domains are left out, and those without free slots come later.
//
// A Table depends only on the configuration. A View holds the current state of the VMs. Both are immutable, so look-ups
// read them without locks.
package lookup
