package caller

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"damasklatch/internal/logfield"
	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// Options configures a Runner. Scenario and Log are required.
type Options struct {
	Scenario *Scenario
	Records  string // path of the file for the records; if empty, they are kept in memory only
	Log      *slog.Logger
}

// Runner sends the requests of a scenario and records them. It runs the scenario once.
type Runner struct {
	sc      *Scenario
	log     *slog.Logger
	cache   cache
	pools   pools
	records *record.Log[record.Operation]
	running sync.WaitGroup
	begin   time.Time
}

// New returns a runner for a scenario with at least one entry VM. It creates the file for the records.
func New(op Options) (*Runner, error) {
	if len(op.Scenario.Entries) == 0 {
		return nil, errors.New("no entry VM is set (field entries of the scenario)")
	}
	lg, err := record.NewLog[record.Operation](op.Records)
	if err != nil {
		return nil, err
	}
	return &Runner{
		sc: op.Scenario, log: op.Log, records: lg,
		cache: cache{responses: make(map[cacheKey]cachedResponse)},
		pools: pools{dialTimeout: op.Scenario.DialTimeout, trs: make(map[string]*http.Transport)},
	}, nil
}

// Run starts operations for the duration of the scenario and waits until the last one has ended. When ctx ends, it
// starts no more operations and cancels those in flight. It returns the first error of writing the records.
func (rn *Runner) Run(ctx context.Context) error {
	rn.begin = time.Now()
	startCtx, cancel := context.WithTimeout(ctx, rn.sc.Duration)
	defer cancel()
	for i := range rn.sc.Teams {
		tm := &rn.sc.Teams[i]
		if tm.Rate > 0 {
			rn.start(&openLoop{newSource(rn, tm, uint64(i), 0), rn.begin}, ctx, startCtx)
			continue
		}
		for nr := range tm.Callers {
			rn.start(&closedLoop{newSource(rn, tm, uint64(i), uint64(nr))}, ctx, startCtx)
		}
	}
	rn.running.Wait()
	rn.pools.close()
	rn.log.Info("callers finished", logfield.Duration, time.Since(rn.begin).Milliseconds())
	return rn.records.Close()
}

// Records returns a copy of the records in memory. It may be called from any goroutine, also during Run.
func (rn *Runner) Records() []record.Operation { return rn.records.All() }

// runnable is a loop or an operation that runs in its own goroutine. Operations use opCtx; no operation is started after
// startCtx has ended.
type runnable interface {
	run(opCtx, startCtx context.Context)
}

// start runs a loop or an operation in a goroutine for which Run waits.
func (rn *Runner) start(rb runnable, opCtx, startCtx context.Context) {
	rn.running.Add(1)
	go rb.run(opCtx, startCtx)
}

// source generates the random operations of a loop. The sequence depends only on the seed, the team and the loop.
type source struct {
	rn   *Runner
	tm   *Team
	rng  *rand.Rand
	loop uint64
	nr   int // number of operations generated so far
}

// newSource returns the source for a loop. The arguments team and loop are indexes, which select the random sequence.
func newSource(rn *Runner, tm *Team, team, loop uint64) *source {
	return &source{rn: rn, tm: tm, loop: loop, rng: rand.New(rand.NewPCG(rn.sc.Seed, team<<32|loop))}
}

// next generates an operation that is due at the time now. The name of the operation contains the start time of the run.
// Otherwise a second run against the same targets would look like a repetition of the operations of the first.
func (sr *source) next(now time.Time) *operation {
	sr.nr++
	pick := sr.rng.Float64() * sr.tm.weight
	wk := &sr.tm.Mix[len(sr.tm.Mix)-1]
	for i := range sr.tm.Mix {
		if pick -= sr.tm.Mix[i].Weight; pick < 0 {
			wk = &sr.tm.Mix[i]
			break
		}
	}
	op := &operation{
		rn: sr.rn, tm: sr.tm, wk: wk, client: clientAddress(sr.tm.prefix, sr.rng.IntN(sr.tm.ClientCount)),
		firstEntry: sr.rng.IntN(len(sr.rn.sc.Entries)),
		trailer:    sr.rng.IntN(2) == 0,
	}
	switch draw := sr.rng.Float64(); {
	case draw < wk.Duplicate:
		op.duplicateMode = concurrentDuplicate
	case draw < wk.Duplicate+wk.Late:
		op.duplicateMode = lateDuplicate
	}
	op.rec = record.Operation{
		Operation: fmt.Sprintf("%s-%x-%d-%d", sr.tm.Team, sr.rn.begin.UnixNano(), sr.loop, sr.nr),
		Team:      sr.tm.Team, Route: wk.Route, Method: wk.Method, Idempotent: wk.Idempotent, Transfer: wk.isLongTransfer(),
		ScheduledAt: now.UnixNano(),
	}
	return op
}

// clientAddress returns the address at the index nr in a prefix, where the network address is not counted. If the prefix
// has fewer addresses, it returns the last one.
func clientAddress(pf netip.Prefix, nr int) netip.Addr {
	ad := pf.Masked().Addr()
	for range nr + 1 {
		if nx := ad.Next(); pf.Contains(nx) {
			ad = nx
		}
	}
	return ad
}

// openLoop starts operations at random times at the rate of the team and does not wait for earlier operations.
type openLoop struct {
	*source
	begin time.Time
}

// run starts operations with exponentially distributed intervals until startCtx ends. Latency is measured from the
// scheduled time, so that it includes the delay of a late start. An operation above MaxInFlight is recorded as not_run.
func (ol *openLoop) run(opCtx, startCtx context.Context) {
	defer ol.rn.running.Done()
	slots := make(chan struct{}, ol.rn.sc.MaxInFlight)
	for at := ol.begin; ; {
		at = at.Add(time.Duration(ol.rng.ExpFloat64() / ol.rate(at) * float64(time.Second)))
		if !sleepUntil(startCtx, at) {
			return
		}
		op := ol.next(at)
		select {
		case slots <- struct{}{}:
			op.slots = slots
			ol.rn.start(op, opCtx, startCtx)
		default:
			op.finishUntried(record.NotRun, record.ReasonOverload)
		}
	}
}

// rate returns the rate at a time, in operations per second. It includes the surge.
func (ol *openLoop) rate(at time.Time) float64 {
	sg, since := ol.tm.Surge, at.Sub(ol.begin)
	if sg.Factor > 0 && since >= sg.After && since < sg.After+sg.For {
		return ol.tm.Rate * sg.Factor
	}
	return ol.tm.Rate
}

// closedLoop starts an operation when the previous one has ended and the pause of the team has passed.
type closedLoop struct{ *source }

// run carries out operations until startCtx ends.
func (cl *closedLoop) run(opCtx, startCtx context.Context) {
	defer cl.rn.running.Done()
	for startCtx.Err() == nil {
		op := cl.next(time.Now())
		op.do(opCtx)
		if !sleepUntil(startCtx, time.Now().Add(cl.tm.Pause)) {
			return
		}
	}
}

// sleepUntil waits until the given time. It returns false if the context ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	tm := time.NewTimer(time.Until(at))
	defer tm.Stop()
	select {
	case <-tm.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
