package bench

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"damasklatch/internal/standin/target"
)

// latencyCommand measures the latency that one entry VM adds, by comparing requests through it with direct requests to the
// same targets.
type latencyCommand struct {
	measureOptions
	Program  string        `arg:"--program" default:"bin/damasklatch" help:"program of the daemon"`
	Requests int           `arg:"--requests" default:"1500" help:"requests of each kind in a repeat"`
	Service  time.Duration `arg:"--service" default:"8ms" help:"service time of the targets"`
}

// Three targets with four slots each are about the share of one of twelve VMs in a pool of 30 targets. Six callers with
// one request each occupy half of the slots.
const (
	latencyTargets = 3
	latencySlots   = 4
	latencyCallers = latencyTargets * latencySlots / 2
)

func (cm *latencyCommand) measure(ctx context.Context) (*Result, error) {
	rs := &Result{
		Measurement: "added latency",
		Method: fmt.Sprintf("one daemon as a real process, 3 stand-in targets with 4 slots and a fixed service time of %s; 6 callers hold half of the 12 slots, "+
			"each alternates a direct call and a request with a key through the daemon on open connections; "+
			"added latency is the difference of the quantiles of both kinds in the same repeat", cm.Service),
	}
	sz := configSize{regions: 1, domains: 1, perDomain: 1, sites: 1, blocks: 46, targets: latencyTargets, slots: latencySlots}
	fl, err := startFleet(ctx, cm.Program, sz)
	if err != nil {
		return nil, err
	}
	defer fl.stop()
	targets, err := cm.startTargets(sz)
	if err != nil {
		return nil, err
	}
	defer func() { _ = targets.Close() }()
	loop, cancel := context.WithCancel(ctx)
	defer cancel()
	go targets.Loop(loop)
	if err := fl.awaitService(ctx); err != nil {
		return nil, err
	}
	for nr := range cm.Repeat {
		direct, entry, err := cm.measureRepeat(ctx, fl)
		if err != nil {
			return nil, err
		}
		for _, qt := range []struct {
			name     string
			fraction float64
			limit    float64
		}{{"p50", 0.50, 0.3}, {"p99", 0.99, 2}} {
			dr, en := quantile(direct, qt.fraction), quantile(entry, qt.fraction)
			rs.add("added latency "+qt.name, "ms", atMost(qt.limit), milliseconds(en-dr))
			rs.add("direct "+qt.name, "ms", nil, milliseconds(dr))
			rs.add("through the entry VM "+qt.name, "ms", nil, milliseconds(en))
		}
		if nr == 0 {
			rs.Curves = append(rs.Curves, distribution("direct", direct), distribution("through the entry VM", entry))
		}
	}
	return rs, nil
}

func milliseconds(dur time.Duration) float64 { return float64(dur.Nanoseconds()) / 1e6 }

// distribution returns the quantiles of sorted latencies from 1% to 99% as a curve.
func distribution(name string, sorted []time.Duration) Curve {
	cv := Curve{Plot: "latency", Name: name, XLab: "quantile, %", YLab: "latency, ms"}
	for pc := 1; pc <= 99; pc++ {
		cv.X, cv.Y = append(cv.X, float64(pc)), append(cv.Y, milliseconds(quantile(sorted, float64(pc)/100)))
	}
	return cv
}

// startTargets starts the target stand-ins in this process.
func (cm *latencyCommand) startTargets(sz configSize) (*target.Process, error) {
	cfg, err := sz.sources(0).Merge()
	if err != nil {
		return nil, err
	}
	op := target.DefaultOptions()
	op.FailureDomain, op.Sites, op.Routes, op.Log = domainName(0), cfg.Sites, cfg.Routes, slog.New(slog.DiscardHandler)
	op.ServiceTime, op.ColdFor, op.UncachedFactor = target.ServiceTime{Median: cm.Service}, 0, 1
	targets, err := target.New(op)
	if err != nil {
		return nil, err
	}
	return targets, targets.Start()
}

// awaitService waits until the daemon serves a request, which it does when it owns its share of the slots.
func (fl *fleet) awaitService(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for {
		err := get(fl.client, "http://"+fl.daemons[0].caller+path+"1", fl.key)
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "the daemon served no request within %s", readyTimeout)
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
}

// measureRepeat runs one repeat and returns the sorted latencies of direct requests and of requests through the daemon.
func (cm *latencyCommand) measureRepeat(ctx context.Context, fl *fleet) (direct, entry []time.Duration, err error) {
	var wg sync.WaitGroup
	callers := make([]*latencyCaller, latencyCallers)
	for nr := range callers {
		callers[nr] = &latencyCaller{
			client: fl.client, key: fl.key, pairs: cm.Requests / latencyCallers, entryURL: "http://" + fl.daemons[0].caller + path + "1",
			directURL: fmt.Sprintf("http://%s:%d%s1", host(0, targetHost), targetPort+nr%latencyTargets, path),
		}
		wg.Add(1)
		go callers[nr].run(ctx, &wg)
	}
	wg.Wait()
	for _, ca := range callers {
		if ca.err != nil {
			return nil, nil, ca.err
		}
		direct, entry = append(direct, ca.direct...), append(entry, ca.entry...)
	}
	slices.Sort(direct)
	slices.Sort(entry)
	return direct, entry, nil
}

// latencyCaller sends direct requests and requests through the entry VM alternately and records their latencies.
type latencyCaller struct {
	client              *http.Client
	key                 string
	directURL, entryURL string
	pairs               int
	direct, entry       []time.Duration
	err                 error
}

// warmupPairs is the number of request pairs that are not counted, because they open the connections.
const warmupPairs = 10

func (ca *latencyCaller) run(ctx context.Context, wg *sync.WaitGroup) {
	defer wg.Done()
	for nr := range warmupPairs + ca.pairs {
		if ca.err = ctx.Err(); ca.err != nil {
			return
		}
		var direct, entry time.Duration
		if direct, ca.err = ca.call(ca.directURL, ""); ca.err != nil {
			return
		}
		if entry, ca.err = ca.call(ca.entryURL, ca.key); ca.err != nil {
			return
		}
		if nr >= warmupPairs {
			ca.direct, ca.entry = append(ca.direct, direct), append(ca.entry, entry)
		}
	}
}

func (ca *latencyCaller) call(url, key string) (time.Duration, error) {
	start := time.Now()
	err := get(ca.client, url, key)
	return time.Since(start), err
}
