package bench

import (
	"context"
	"runtime"
	"time"

	"damasklatch/core/lookup"
)

// steerCommand measures the time and the allocations of steering decisions at the design size.
type steerCommand struct {
	measureOptions
	Decisions int `arg:"--decisions" default:"2000000" help:"decisions of a repeat"`
}

func (cm *steerCommand) measure(ctx context.Context) (*Result, error) {
	rs := &Result{
		Measurement: "steering decision",
		Method:      "one goroutine calls steer.Table.Pick at 210,000 blocks, 46 sites, 18 failure domains and 414 VMs; addresses spread over all blocks",
	}
	sz := designSize()
	cfg, err := sz.sources(0).Merge()
	if err != nil {
		return nil, err
	}
	tb, vw := lookup.New(cfg), lookup.NewView(sz.vms())
	dst := make([]*lookup.VM, 0, lookup.MaxEntries)
	for range cm.Repeat {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		runtime.GC()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		start := time.Now()
		for nr := range cm.Decisions {
			// The step is coprime to the number of blocks, so the loop visits all blocks, in an order without locality in caches.
			addr := blockAddress(nr * 7_919 % sz.blocks)
			dst = tb.Pick(vw, addr, route, uint64(nr), dst[:0])
		}
		took := time.Since(start)
		runtime.ReadMemStats(&after)
		rs.add("time of a decision", "ns", atMost(1000), float64(took.Nanoseconds())/float64(cm.Decisions))
		// Rounds down to thousandths: the runtime itself allocates occasionally, far less than once per thousand decisions.
		rs.add("allocations of a decision", "count", atMost(0), float64((after.Mallocs-before.Mallocs)*1000/uint64(cm.Decisions))/1000)
	}
	return rs, nil
}
