package bench

import (
	"context"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/config"
	"damasklatch/core/lookup"
)

// buildCommand measures how long it takes to build and apply a configuration of the design size, in this process and in
// a daemon, and the memory that it needs.
type buildCommand struct {
	measureOptions
	Program string `arg:"--program" default:"bin/damasklatch" help:"program of the daemon"`
}

func (cm *buildCommand) measure(ctx context.Context) (*Result, error) {
	rs := &Result{
		Measurement: "configuration of 210,000 client blocks",
		Method: "in process: config.Build (parse, validate, merge) from parts and steer.New, as a daemon does for each generation; " +
			"in a daemon of its own process: the change of one client block (one of 64 shards), from the write of the manifest to the first look-up answered with the new generation, " +
			"polled every 20 ms; memory is VmRSS and VmHWM; bytes received from /proc/<pid>/io, with control traffic",
	}
	if err := cm.measureInProcess(ctx, rs); err != nil {
		return nil, err
	}
	sz := designSize()
	sz.regions, sz.domains, sz.perDomain = 1, 1, 1
	fl, err := startFleet(ctx, cm.Program, sz)
	if err != nil {
		return nil, err
	}
	defer fl.stop()
	for nr := range cm.Repeat {
		if err := cm.measureChange(ctx, rs, fl, nr+1); err != nil {
			return nil, err
		}
	}
	return rs, nil
}

// measureInProcess measures the time and the memory to build the configuration and the steering table from parts.
func (cm *buildCommand) measureInProcess(ctx context.Context, rs *Result) error {
	parts, err := designSize().sources(0).Parts()
	if err != nil {
		return err
	}
	refs := config.NewPartRefs(parts)
	bySum := make(map[string][]byte, len(parts))
	var total, largest int
	for _, pr := range refs {
		bySum[pr.SHA256] = parts[pr.Name]
		total, largest = total+pr.Size, max(largest, pr.Size)
	}
	mf := (*config.Manifest)(nil).Next(config.Change{OperationID: "00000000000000000000000000000001", Author: "bench", Time: time.Now()}, refs)
	rs.add("all parts", "bytes", nil, float64(total))
	rs.add("largest part", "bytes", atMost(config.MaxPartBytes-1), float64(largest))
	rs.add("manifest", "bytes", nil, float64(len(mf.Encode())))
	for range cm.Repeat {
		if err := ctx.Err(); err != nil {
			return err
		}
		idle := heapInUse()
		start := time.Now()
		cfg, err := config.Build(mf, bySum)
		if err != nil {
			return err
		}
		built := time.Now()
		tb := lookup.New(cfg)
		rs.add("config.Build", "ms", nil, milliseconds(built.Sub(start)))
		rs.add("steer.New", "ms", nil, milliseconds(time.Since(built)))
		rs.add("heap of the configuration and its steering table", "MB", nil, (heapInUse()-idle)/1e6)
		runtime.KeepAlive(cfg)
		runtime.KeepAlive(tb)
	}
	return nil
}

// heapInUse returns the bytes that are allocated on the heap after a garbage collection.
func heapInUse() float64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapAlloc)
}

// measureChange moves one more client block to another site and measures the daemon until the change is in force. The
// argument moved is the number of blocks moved so far, including this one.
func (cm *buildCommand) measureChange(ctx context.Context, rs *Result, fl *fleet, moved int) error {
	if err := sleep(ctx, time.Second); err != nil {
		return err
	}
	dn := fl.daemons[0]
	first, err := dn.usage()
	if err != nil {
		return err
	}
	earlier := fl.manifest
	src := fl.sz.sources(moved)
	accepted, err := fl.accept(ctx, src)
	if err != nil {
		return err
	}
	if err := fl.awaitGeneration(ctx, dn, fl.manifest.Generation); err != nil {
		return err
	}
	took := time.Since(accepted)
	last, err := dn.usage()
	if err != nil {
		return err
	}
	size, count := 0, 0
	for _, pr := range fl.manifest.Parts {
		if old, ok := earlier.Part(pr.Name); !ok || old.SHA256 != pr.SHA256 {
			size, count = size+pr.Size, count+1
		}
	}
	if count != 1 {
		return errors.Errorf("the change of one client block changed %d parts, want 1", count)
	}
	rs.add("change of one block: accepted to in force in the daemon", "ms", atMost(2000), milliseconds(took))
	rs.add("change of one block: CPU of the daemon", "ms", nil, 1000*(last.cpuSeconds-first.cpuSeconds))
	rs.add("change of one block: changed parts", "bytes", nil, float64(size))
	rs.add("change of one block: received by the daemon", "bytes", nil, last.received-first.received)
	rs.add("resident memory of the daemon after the change", "MB", atMost(32), last.resident/1e6)
	rs.add("largest resident memory of the daemon so far", "MB", atMost(32), last.peakResident/1e6)
	return nil
}
