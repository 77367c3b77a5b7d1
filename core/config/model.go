package config

import (
	"net/netip"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Effective is the complete configuration of one generation, merged and validated. It must not be modified, so any
// goroutine may read it.
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

	index *index // nil if Merge did not build the configuration
}

// Settings holds the durations that apply to the whole deployment.
type Settings struct {
	LookupTTL    time.Duration // how long callers may cache the result of a lookup; its tickets are valid for twice as long
	KeyFreshness time.Duration // how long a VM may accept keys after its last contact with the store or the other failure domains; zero means without limit
	LoanDuration time.Duration // how long a loan of a share of a limit is valid
}

// Region is a region and its limits.
type Region struct {
	Name     id.Region
	Capacity int                 // maximum number of requests in flight; zero means the sum of the slots of its targets
	ShiftCap unit.MilliPerSecond // maximum rate of requests taken over from other regions; zero means none
	Drained  bool
}

// FailureDomain is a failure domain and the region that it belongs to.
type FailureDomain struct {
	Name     id.FailureDomain
	Region   id.Region
	EntryVMs int // number of entry VMs that normally run in the failure domain
	Drained  bool
}

// Link is the network link from one region to another, in one direction.
type Link struct {
	From, To    id.Region
	OneWayDelay time.Duration
	Capacity    unit.BitsPerSecond
}

// Team is a team, the routes that it may use, and its limits over all VMs together.
type Team struct {
	Name   id.Team
	Rate   unit.MilliPerSecond
	Burst  unit.Milli
	Routes []id.Route
}

// Access states which callers may use a route.
type Access string

// Values of Access.
const (
	AccessTeams Access = "teams" // only callers with a key of a team that lists the route
	AccessOpen  Access = "open"  // all callers, even without a key
)

// Route maps requests with a path prefix to a pool of targets.
type Route struct {
	Name         id.Route
	PathPrefix   string // for example "/parts/"; RouteFor describes which paths it matches
	Methods      []string
	Idempotent   bool
	Access       Access
	Pool         id.Pool
	Deadline     time.Duration
	MaxBodyBytes int64 // maximum size of a request body
}

// Site is a group of targets in one failure domain.
type Site struct {
	Name          id.Site
	FailureDomain id.FailureDomain
	Targets       []Target
}

// Target is a back-end server that runs requests.
type Target struct {
	Name           id.Target
	Pool           id.Pool
	Address        string // host:port
	Slots          int    // number of requests that it runs concurrently
	MaxConnections int    // maximum number of connections from all VMs together
	Drained        bool
}

// ClientBlock assigns a prefix of client addresses to the home site of these clients.
type ClientBlock struct {
	Prefix netip.Prefix
	Site   id.Site
}

// KeyDigest is the SHA-256 digest of an issued key.
type KeyDigest [32]byte

// Key describes an issued key. The key itself is not stored, only its digest.
type Key struct {
	Digest  KeyDigest
	Team    id.Team
	Revoked bool
}
