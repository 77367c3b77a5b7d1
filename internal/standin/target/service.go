package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"damasklatch/core/id"
)

// maxCachedClients bounds the cache of clients; beyond it the cache starts empty again.
const maxCachedClients = 10_000

// service draws service times.
type service struct {
	op Options

	mu      sync.Mutex
	rng     *rand.Rand
	factor  float64
	started time.Time
	clients map[string]struct{}
}

// newService returns a source of service times that depends on the seed and the target only.
func newService(op Options, nr uint64) *service {
	return &service{op: op, rng: rand.New(rand.NewPCG(op.Seed, nr)), factor: 1}
}

// restart begins a cold start.
func (sv *service) restart(now time.Time) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.started = now
	sv.clients = make(map[string]struct{})
}

// setFactor multiplies all service times.
func (sv *service) setFactor(fc float64) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.factor = fc
}

// draw returns the service time of one request. A median of zero takes that of the route.
func (sv *service) draw(now time.Time, rt id.Route, client string, median time.Duration) time.Duration {
	ds, ok := sv.op.RouteServiceTime[rt]
	if !ok {
		ds = sv.op.ServiceTime
	}
	if median > 0 {
		ds.Median = median
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	tm := float64(ds.Median) * math.Exp(ds.Sigma*sv.rng.NormFloat64()) * sv.factor * sv.cold(now)
	if client != "" && sv.op.UncachedFactor > 1 && !sv.cached(client) {
		tm *= sv.op.UncachedFactor
	}
	return time.Duration(tm)
}

// cold returns the factor of the cold start, which falls linearly to 1. The caller holds the mutex.
func (sv *service) cold(now time.Time) float64 {
	age := now.Sub(sv.started)
	if sv.op.ColdFor <= 0 || sv.op.ColdFactor <= 1 || age >= sv.op.ColdFor {
		return 1
	}
	left := 1 - float64(max(age, 0))/float64(sv.op.ColdFor)
	return 1 + (sv.op.ColdFactor-1)*left
}

// cached reports whether the client was seen since the start, and remembers it. The caller holds the mutex.
func (sv *service) cached(client string) bool {
	if _, ok := sv.clients[client]; ok {
		return true
	}
	if len(sv.clients) >= maxCachedClients {
		clear(sv.clients)
	}
	sv.clients[client] = struct{}{}
	return false
}
