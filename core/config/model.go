package config

import (
	"net/netip"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Effective is the whole configuration of one generation, merged and validated. It is immutable.
type Effective struct {
	Generation     id.Generation
	Deployment     string
	Settings       Settings
	Regions        []Region
	FailureDomains []FailureDomain
	Links          []Link
	Teams          []Team
	Routes         []Route
	Sites          []Site
	Blocks         []ClientBlock
	Keys           []Key

	index *index // nil in a configuration that Merge did not make
}

// Settings are the tunable durations of the whole system.
type Settings struct {
	LookupTTL    time.Duration // time to live of a look-up answer and, doubled, of its tickets
	KeyFreshness time.Duration // zero switches the freshness rule for keys off
	LoanDuration time.Duration // life of a share loan
}

// Region is a region with its capacity.
type Region struct {
	Name     id.Region
	Capacity int                 // most requests in flight; zero means the sum of the slots of its targets
	ShiftCap unit.MilliPerSecond // most requests per second taken over from other regions; zero takes none
	Drained  bool
}

// FailureDomain is a failure domain of a region.
type FailureDomain struct {
	Name     id.FailureDomain
	Region   id.Region
	EntryVMs int // number of entry VMs that usually run there
	Drained  bool
}

// Link is the connection from one region to another, one direction.
type Link struct {
	From, To    id.Region
	OneWayDelay time.Duration
	Capacity    unit.BitsPerSecond
}

// Team is a team with its limits over the whole fleet.
type Team struct {
	Name   id.Team
	Rate   unit.MilliPerSecond
	Burst  unit.Milli
	Routes []id.Route
}

// Access tells who may use a route.
type Access string

// Access values.
const (
	AccessTeams Access = "teams" // only teams that list the route
	AccessOpen  Access = "open"  // everybody, without a key
)

// Route maps a path to a pool.
type Route struct {
	Name         id.Route
	PathPrefix   string // path prefix, for example "/parts/"
	Methods      []string
	Idempotent   bool
	Access       Access
	Pool         id.Pool
	Deadline     time.Duration
	MaxBodyBytes int64 // bytes
}

// Site is a place with targets.
type Site struct {
	Name          id.Site
	FailureDomain id.FailureDomain
	Targets       []Target
}

// Target is one back-end worker.
type Target struct {
	Name           id.Target
	Pool           id.Pool
	Address        string // host:port
	Slots          int    // requests it runs at once
	MaxConnections int    // most connections it accepts from all VMs together
	Drained        bool
}

// ClientBlock assigns a block of client addresses to its home site.
type ClientBlock struct {
	Prefix netip.Prefix
	Site   id.Site
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [32]byte

// Key is an issued key, known by its digest only.
type Key struct {
	Digest  KeyDigest
	Team    id.Team
	Revoked bool
}
