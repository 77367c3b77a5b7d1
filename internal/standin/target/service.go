package target

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"damasklatch/core/id"
)

// maxCachedClients limits the client cache of a target. A full cache is emptied before the next client is added.
const maxCachedClients = 10_000

// serviceTimes generates the random service times of a target.
type serviceTimes struct {
	op Options

	mu        sync.Mutex
	rng       *rand.Rand
	factor    float64 // of all service times, set by Slow
	startedAt time.Time
	clients   map[string]struct{}
}

// newServiceTimes returns a generator for target number nr. Its random sequence depends only on op.Seed and nr.
func newServiceTimes(op Options, nr uint64) *serviceTimes {
	return &serviceTimes{op: op, rng: rand.New(rand.NewPCG(op.Seed, nr)), factor: 1}
}

// restart begins a cold start at now: service times are longer at first and the client cache is empty.
func (st *serviceTimes) restart(now time.Time) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.startedAt = now
	st.clients = make(map[string]struct{})
}

// setFactor sets the factor of all service times.
func (st *serviceTimes) setFactor(fc float64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.factor = fc
}

// draw returns the service time of one request. A median of zero selects the median of the route.
func (st *serviceTimes) draw(now time.Time, rt id.Route, client string, median time.Duration) time.Duration {
	ds, ok := st.op.RouteServiceTime[rt]
	if !ok {
		ds = st.op.ServiceTime
	}
	if median > 0 {
		ds.Median = median
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	tm := float64(ds.Median) * math.Exp(ds.Sigma*st.rng.NormFloat64()) * st.factor * st.coldStartFactor(now)
	if client != "" && st.op.UncachedFactor > 1 && !st.checkAndCache(client) {
		tm *= st.op.UncachedFactor
	}
	return time.Duration(tm)
}

// coldStartFactor returns the factor of the service time at now. It falls linearly from op.ColdFactor to 1 within
// op.ColdFor. The caller holds the mutex.
func (st *serviceTimes) coldStartFactor(now time.Time) float64 {
	age := now.Sub(st.startedAt)
	if st.op.ColdFor <= 0 || st.op.ColdFactor <= 1 || age >= st.op.ColdFor {
		return 1
	}
	left := 1 - float64(max(age, 0))/float64(st.op.ColdFor)
	return 1 + (st.op.ColdFactor-1)*left
}

// checkAndCache reports whether the client is in the cache, and adds it if not. The caller holds the mutex.
func (st *serviceTimes) checkAndCache(client string) bool {
	if _, ok := st.clients[client]; ok {
		return true
	}
	if len(st.clients) >= maxCachedClients {
		clear(st.clients)
	}
	st.clients[client] = struct{}{}
	return false
}
