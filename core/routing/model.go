package routing

import (
	"crypto/sha256"
	"time"

	"damasklatch/core/id"
)

// Priority is the rank of a route or team. Zero is the most urgent.
type Priority int

// WeightedPool is a pool with its part of a route's requests.
type WeightedPool struct {
	Pool   id.Pool
	Weight float64
}

// Route tells where requests go and how they are treated.
type Route struct {
	Name       id.Route
	Host       string
	PathPrefix string // of the path, begins and ends with a slash
	// Idempotent requests may run more than once.
	Idempotent       bool
	Timeout          time.Duration // longest time until the final response
	LatencyObjective time.Duration // latency objective
	Priority         Priority
	Pools            []WeightedPool
	// MaxAttempts is the number of targets to which one request may be sent.
	MaxAttempts    int
	AllowAnonymous bool // no key is needed
	Sticky         bool // targets that know an object respond faster
	Regions        []id.Region
}

// Pool is a set of targets that do the same work.
type Pool struct {
	Name           id.Pool
	MaxConnections int           // most connections of one target
	Warmup         time.Duration // how long a target stays cold after its start
	WarmupRate     float64       // requests a second that a cold target bears
}

// Team is a group of callers with a common limit.
type Team struct {
	Name     id.Team
	Keys     []KeyDigest
	Priority *Priority // replaces that of the route
	Rate     float64   // requests a second; zero means no limit
	Burst    float64   // requests
	Regions  []id.Region
}

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of a key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Config is a whole configuration.
type Config struct {
	Version id.Generation
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
	// Warnings tell what of the configuration was not understood, and how it is served.
	Warnings []string
}
