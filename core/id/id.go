package id

import (
	"cmp"
	"fmt"
	"regexp"
)

type (
	// VM is the name of an entry VM, unique in the deployment.
	VM string
	// FailureDomain is the name of a failure domain.
	FailureDomain string
	// Region is the name of a region.
	Region string
	// Site is the name of a site. A site lies in one failure domain.
	Site string
	// Team is the name of a team.
	Team string
	// Route is the name of a route.
	Route string
	// Pool is the name of a pool of targets.
	Pool string
	// Target is the name of a target, unique in the deployment.
	Target string
	// Request identifies a request in all processes that handle it. It has 32 hexadecimal digits.
	Request string
	// Operation identifies an attempt of an operator to change the configuration.
	Operation string
	// Resource is the name of a resource with a limit, for example "team/salon_desk".
	Resource string
	// Generation is the sequence number of an accepted configuration. The first is 1. Zero means no configuration.
	Generation uint64
	// Incarnation distinguishes the successive processes of a VM. It is the start time of the process in Unix nanoseconds.
	Incarnation uint64
)

// VMIncarnation identifies a process of an entry VM.
type VMIncarnation struct {
	VM          VM          `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// String returns the form "vm@incarnation".
func (vi VMIncarnation) String() string { return fmt.Sprintf("%s@%d", vi.VM, vi.Incarnation) }

// Compare orders by VM name and then by incarnation. It returns a negative number, zero or a positive number.
func (vi VMIncarnation) Compare(ot VMIncarnation) int {
	return cmp.Or(cmp.Compare(vi.VM, ot.VM), cmp.Compare(vi.Incarnation, ot.Incarnation))
}

// namePattern excludes dots and slashes, because they separate the fields of tickets and the elements of store keys.
var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]{0,62}$`)

// ValidName reports whether name is valid for a VM, site, team, route, pool or target. A valid name is a lower-case letter
// followed by at most 62 lower-case letters, digits, hyphens and underscores.
func ValidName[T ~string](name T) bool { return namePattern.MatchString(string(name)) }
