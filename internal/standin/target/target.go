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

// readHeaderTimeout bounds the time within which the header of a request must arrive.
const readHeaderTimeout = 10 * time.Second

// Target is one stand-in target.
type Target struct {
	ps      *Process
	cfg     config.Target
	gate    gate
	reports reports
	service *service

	sick     atomic.Bool
	truncate atomic.Int64 // answers still to be broken off
	drained  atomic.Int64 // Unix nanoseconds since which the target drains; zero if it does not
	requests sync.WaitGroup

	mu       sync.Mutex // guards what follows
	addr     string     // fixed at the first start, also when the configured port is 0
	ls       *listener
	sv       *http.Server
	returnAt time.Time
}

// newTarget returns a target that does not listen yet.
func newTarget(ps *Process, cfg config.Target, nr uint64) *Target {
	tg := &Target{ps: ps, cfg: cfg, addr: cfg.Address, service: newService(ps.op, nr)}
	tg.gate.slots, tg.gate.queue = cfg.Slots, ps.op.Queue
	tg.reports.lag = ps.op.LoadLag
	return tg
}

// address returns the address on which the target listens or listened.
func (tg *Target) address() string {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.addr
}

// start opens the listener, cold. It is an error if the target is up.
func (tg *Target) start() error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv != nil {
		return errors.Errorf("target %q is up already", tg.cfg.Name)
	}
	ls, err := net.Listen("tcp", tg.addr)
	if err != nil {
		return errors.Wrapf(err, "target %q", tg.cfg.Name)
	}
	now := time.Now()
	if tg.ls != nil {
		tg.note(record.KindReturn, now)
	}
	tg.addr = ls.Addr().String()
	tg.ls = newListener(ls, tg.cfg.MaxConnections, tg.ps.op.ConnectDelay)
	tg.sv = &http.Server{Handler: http.HandlerFunc(tg.serve), ReadHeaderTimeout: readHeaderTimeout}
	tg.returnAt = time.Time{}
	tg.service.restart(now)
	tg.reports.reset()
	go tg.run(tg.sv, tg.ls)
	return nil
}

// run serves one listener until it is closed.
func (tg *Target) run(sv *http.Server, ls net.Listener) {
	if err := sv.Serve(ls); !errors.Is(err, http.ErrServerClosed) {
		tg.ps.op.Log.Error("target failed", logfield.Target, tg.cfg.Name, logfield.Error, err)
	}
}

// crash closes the listener and all connections. The target returns after back, or on command if back is zero.
func (tg *Target) crash(back time.Duration) error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv == nil {
		return errors.Errorf("target %q is down already", tg.cfg.Name)
	}
	now := time.Now()
	tg.note(record.KindCrash, now)
	closeServer(tg.sv)
	tg.sv = nil
	if back > 0 {
		tg.returnAt = now.Add(back)
	}
	return nil
}

// stop closes the target and waits until its requests are recorded.
func (tg *Target) stop() {
	tg.mu.Lock()
	if tg.sv != nil {
		closeServer(tg.sv)
		tg.sv = nil
	}
	tg.mu.Unlock()
	tg.requests.Wait()
}

// silence makes all open connections silent.
func (tg *Target) silence() error {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.ls == nil {
		return errors.Errorf("target %q never listened", tg.cfg.Name)
	}
	tg.ls.silence()
	return nil
}

// setDraining begins or ends the drain.
func (tg *Target) setDraining(dr bool) {
	now := time.Now()
	if dr {
		if tg.drained.CompareAndSwap(0, now.UnixNano()) {
			tg.note(record.KindDrain, now)
		}
		return
	}
	tg.drained.Store(0)
	tg.note(record.KindActive, now)
}

// tick samples the load and ends a crash that is over.
func (tg *Target) tick(now time.Time) {
	tg.reports.add(now, tg.load())
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
		tg.ps.op.Log.Error("target did not return", logfield.Target, tg.cfg.Name, logfield.Error, err)
	}
}

// load returns the true load.
func (tg *Target) load() Load {
	running, queued := tg.gate.load()
	return Load{InFlight: running, Slots: tg.cfg.Slots, Queued: queued, Draining: tg.drained.Load() != 0}
}

// note records a change of state.
func (tg *Target) note(kd record.Kind, now time.Time) {
	tg.ps.records.Add(record.Work{Kind: kd, Target: tg.cfg.Name, Pool: tg.cfg.Pool,
		FailureDomain: tg.ps.op.FailureDomain, ArrivedAt: now.UnixNano()})
}

// serve dispatches between the endpoints of the target protocol.
func (tg *Target) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/healthz" && r.Method == http.MethodGet:
		if tg.sick.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/load" && r.Method == http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(tg.reports.report(tg.cfg.Slots)); err != nil {
			tg.ps.op.Log.Debug("load report was not sent", logfield.Target, tg.cfg.Name, logfield.Error, err)
		}
	default:
		if !tg.begin() {
			panic(http.ErrAbortHandler)
		}
		defer tg.requests.Done()
		tg.work(w, r)
	}
}

// begin counts a request in, unless the target has crashed or stopped since it arrived.
func (tg *Target) begin() bool {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	if tg.sv == nil {
		return false
	}
	tg.requests.Add(1)
	return true
}

// workLoad is the value of the header Work-Load.
func (tg *Target) workLoad() string {
	running, _ := tg.gate.load()
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
