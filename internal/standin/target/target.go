package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/config"
	"damasklatch/internal/logfield"
	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// readHeaderTimeout limits the time for reading the header of a request.
const readHeaderTimeout = 10 * time.Second

// Target is a stand-in target. A Process creates and owns it.
type Target struct {
	ps           *Process
	cfg          config.Target
	slotQueue    slotQueue
	loadReporter loadReporter
	serviceTimes *serviceTimes

	sick            atomic.Bool
	truncationsLeft atomic.Int64 // number of the next responses to truncate
	drainingSince   atomic.Int64 // start of the drain in Unix nanoseconds; zero if the target does not drain
	requests        sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	addr     string     // listen address; a configured port 0 is replaced by the actual port at the first start
	ls       *listener
	sv       *http.Server
	returnAt time.Time // end of the downtime after a crash; zero if no restart is due
}

// newTarget returns a target that does not listen yet.
func newTarget(ps *Process, cfg config.Target, nr uint64) *Target {
	tg := &Target{ps: ps, cfg: cfg, addr: cfg.Address, serviceTimes: newServiceTimes(ps.op, nr)}
	tg.slotQueue.slots, tg.slotQueue.maxQueued = cfg.Slots, ps.op.Queue
	tg.loadReporter.lag = ps.op.LoadLag
	return tg
}

// address returns the listen address, also while the target is down.
func (tg *Target) address() string {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.addr
}

// start opens the listener and begins a cold start. It returns an error if the target is running.
func (tg *Target) start() error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv != nil {
		return errors.Errorf("target %q is already running", tg.cfg.Name)
	}
	ls, err := net.Listen("tcp", tg.addr)
	if err != nil {
		return errors.Wrapf(err, "start target %q", tg.cfg.Name)
	}
	now := time.Now()
	if tg.ls != nil {
		tg.recordStateChange(record.KindReturn, now)
	}
	tg.addr = ls.Addr().String()
	tg.ls = newListener(ls, tg.cfg.MaxConnections, tg.ps.op.ConnectDelay)
	tg.sv = &http.Server{Handler: http.HandlerFunc(tg.serve), ReadHeaderTimeout: readHeaderTimeout}
	tg.returnAt = time.Time{}
	tg.serviceTimes.restart(now)
	tg.loadReporter.reset()
	go tg.run(tg.sv, tg.ls)
	return nil
}

// run serves a listener until the server is closed.
func (tg *Target) run(sv *http.Server, ls net.Listener) {
	if err := sv.Serve(ls); !errors.Is(err, http.ErrServerClosed) {
		tg.ps.op.Log.Error("target server failed", logfield.Target, tg.cfg.Name, logfield.Error, err)
	}
}

// crash closes the listener and all connections. The target restarts after downtime, or only on command if downtime
// is zero.
func (tg *Target) crash(downtime time.Duration) error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv == nil {
		return errors.Errorf("target %q is already down", tg.cfg.Name)
	}
	now := time.Now()
	tg.recordStateChange(record.KindCrash, now)
	closeServer(tg.sv)
	tg.sv = nil
	if downtime > 0 {
		tg.returnAt = now.Add(downtime)
	}
	return nil
}

// stop closes the listener and all connections and waits until the requests are recorded.
func (tg *Target) stop() {
	tg.mu.Lock()
	if tg.sv != nil {
		closeServer(tg.sv)
		tg.sv = nil
	}
	tg.mu.Unlock()
	tg.requests.Wait()
}

// silence makes all open connections silent. It returns an error if the target was never started.
func (tg *Target) silence() error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.ls == nil {
		return errors.Errorf("target %q was never started", tg.cfg.Name)
	}
	tg.ls.silence()
	return nil
}

// setDraining begins or ends a drain and records the change.
func (tg *Target) setDraining(dr bool) {
	now := time.Now()
	if dr {
		if tg.drainingSince.CompareAndSwap(0, now.UnixNano()) {
			tg.recordStateChange(record.KindDrain, now)
		}
		return
	}
	tg.drainingSince.Store(0)
	tg.recordStateChange(record.KindActive, now)
}

// tick samples the load and restarts a crashed target when its downtime is over.
func (tg *Target) tick(now time.Time) {
	tg.loadReporter.add(now, tg.load())
	tg.mu.Lock()
	due := !tg.returnAt.IsZero() && !now.Before(tg.returnAt)
	if due {
		tg.returnAt = time.Time{}
	}
	tg.mu.Unlock()
	if !due {
		return
	}
	if err := tg.start(); err != nil {
		tg.ps.op.Log.Error("crashed target failed to restart", logfield.Target, tg.cfg.Name, logfield.Error, err)
	}
}

// load returns the current load.
func (tg *Target) load() Load {
	running, queued := tg.slotQueue.load()
	return Load{InFlight: running, Slots: tg.cfg.Slots, Queued: queued, Draining: tg.drainingSince.Load() != 0}
}

// recordStateChange adds a record of a crash, restart, drain or end of a drain.
func (tg *Target) recordStateChange(kd record.Kind, now time.Time) {
	tg.ps.records.Add(record.Work{Kind: kd, Target: tg.cfg.Name, Pool: tg.cfg.Pool,
		FailureDomain: tg.ps.op.FailureDomain, ArrivedAt: now.UnixNano()})
}

// serve handles GET /healthz and GET /load, and passes all other requests to work. It aborts requests that arrive
// after a crash.
func (tg *Target) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz" && r.Method == http.MethodGet:
		if tg.sick.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/load" && r.Method == http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(tg.loadReporter.report(tg.cfg.Slots)); err != nil {
			tg.ps.op.Log.Debug("load report could not be sent", logfield.Target, tg.cfg.Name, logfield.Error, err)
		}
	default:
		if !tg.registerRequest() {
			panic(http.ErrAbortHandler)
		}
		defer tg.requests.Done()
		tg.work(w, r)
	}
}

// registerRequest adds a request to the requests that stop waits for. It returns false if the target has crashed or
// stopped since the request arrived.
func (tg *Target) registerRequest() bool {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv == nil {
		return false
	}
	tg.requests.Add(1)
	return true
}

// workLoad returns the value of the Work-Load header: requests in flight and slots, separated by a slash.
func (tg *Target) workLoad() string {
	running, _ := tg.slotQueue.load()
	return strconv.Itoa(running) + "/" + strconv.Itoa(tg.cfg.Slots)
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
