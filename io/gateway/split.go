package gateway

import (
	"sync"

	"damasklatch/core/id"
	"damasklatch/core/routing"
)

// trafficSplitter divides the requests of each route over its pools in exact proportion to their weights. It is safe for
// concurrent use.
type trafficSplitter struct {
	mu     sync.Mutex
	routes map[id.Route]*routeSplit
}

// routeSplit holds by how many requests each pool of a route is behind its weight.
type routeSplit struct{ credit map[id.Pool]float64 }

// choose returns the pool for the next request of a route: the one that is furthest behind its weight.
func (sp *trafficSplitter) choose(rt *routing.Route) id.Pool {
	if len(rt.Pools) == 1 {
		return rt.Pools[0].Pool
	}
	sp.mu.Lock()
	defer sp.mu.Unlock()
	st := sp.routes[rt.Name]
	if st == nil {
		st = &routeSplit{credit: map[id.Pool]float64{}}
		sp.routes[rt.Name] = st
	}
	var sum float64
	for _, wt := range rt.Pools {
		sum += wt.Weight
	}
	best := rt.Pools[0].Pool
	for _, wt := range rt.Pools {
		if sum > 0 {
			st.credit[wt.Pool] += wt.Weight / sum
		}
		if wt.Weight > 0 && st.credit[wt.Pool] > st.credit[best] {
			best = wt.Pool
		}
	}
	st.credit[best]--
	return best
}
