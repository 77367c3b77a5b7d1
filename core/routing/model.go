package routing

import (
	"crypto/sha256"
	"time"

	"damasklatch/core/id"
)

// Priority is the priority of a route or team. Zero is the highest; larger numbers are lower.
type Priority int

// WeightedPool is a pool with its weight. The requests of a route are divided among its pools in proportion to the weights.
type WeightedPool struct {
	Pool   id.Pool
	Weight float64
}

// Route selects requests by host and path prefix and tells how they are handled.
type Route struct {
	Name       id.Route
	Host       string
	PathPrefix string // begins and ends with a slash
	// Idempotent is set if requests may run more than once.
	Idempotent       bool
	Timeout          time.Duration // longest time until the final response
	LatencyObjective time.Duration // time in which requests should be answered
	Priority         Priority
	Pools            []WeightedPool
	// MaxAttempts is the largest number of targets to which one request may be sent. It is at least 1.
	MaxAttempts    int
	AllowAnonymous bool        // requests without an API key are accepted
	Sticky         bool        // requests for the same object prefer the same target, which then responds faster
	Regions        []id.Region // where requests may run; empty means all regions
}

// Pool is a set of targets that can serve the same requests.
type Pool struct {
	Name           id.Pool
	MaxConnections int           // connections that each target accepts at most
	Warmup         time.Duration // how long a target stays cold after its start
	WarmupRate     float64       // requests a second that a cold target can handle
}

// Team is a group of callers with a common limit.
type Team struct {
	Name     id.Team
	Keys     []KeyDigest
	Priority *Priority   // overrides the priority of the route; nil means no override
	Rate     float64     // requests a second; zero means no limit
	Burst    float64     // requests that may exceed the rate at once
	Regions  []id.Region // where requests may run; empty means all regions
}

// KeyDigest is the SHA-256 digest of an API key.
type KeyDigest [sha256.Size]byte

// Digest returns the digest of an API key.
func Digest(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Limits bounds the size of requests.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
}

// Config is a complete configuration.
type Config struct {
	Version id.Generation
	Routes  []Route
	Pools   []Pool
	Teams   []Team
	Limits  Limits
	// Warnings describe the parts of the configuration that were not understood and how requests are handled there.
	Warnings []string
}
