package target

import (
	"context"
	"net"
	"net/http"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/logfield"
	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// samplePeriod is the time between two samples of the load.
const samplePeriod = 50 * time.Millisecond

// Process serves all targets of a failure domain.
type Process struct {
	op      Options
	targets map[id.Target]*Target
	records *record.Log[record.Work]
	control *http.Server
	ctrlLis net.Listener
}

// New returns a process whose targets do not listen yet.
func New(op Options) (*Process, error) {
	lg, err := record.NewLog[record.Work](op.Records)
	if err != nil {
		return nil, err
	}
	ps := &Process{op: op, targets: make(map[id.Target]*Target), records: lg}
	var nr uint64
	for _, st := range op.Sites {
		for _, ct := range st.Targets {
			nr++ // counts all targets, so that a target draws the same service times in any process
			if st.FailureDomain != op.FailureDomain {
				continue
			}
			ps.targets[ct.Name] = newTarget(ps, ct, nr)
		}
	}
	if len(ps.targets) == 0 {
		return nil, errors.Errorf("failure domain %q has no targets", op.FailureDomain)
	}
	return ps, nil
}

// Start opens all listeners.
func (ps *Process) Start() error {
	for _, tg := range ps.targets {
		if err := tg.start(); err != nil {
			ps.stop()
			return err
		}
	}
	if ps.op.ControlAddress == "" {
		return nil
	}
	ls, err := net.Listen("tcp", ps.op.ControlAddress)
	if err != nil {
		ps.stop()
		return errors.Wrap(err, "listen for control")
	}
	ps.ctrlLis = ls
	ps.control = &http.Server{Handler: ps.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go ps.run()
	return nil
}

// run serves the control endpoint.
func (ps *Process) run() {
	if err := ps.control.Serve(ps.ctrlLis); !errors.Is(err, http.ErrServerClosed) {
		ps.op.Log.Error("control endpoint failed", logfield.Error, err)
	}
}

// Loop samples the load of all targets until the context ends.
func (ps *Process) Loop(ctx context.Context) {
	tk := time.NewTicker(samplePeriod)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tk.C:
			for _, tg := range ps.targets {
				tg.tick(now)
			}
		}
	}
}

// Records returns the records in memory.
func (ps *Process) Records() []record.Work { return ps.records.All() }

// Address returns the address on which a target listens.
func (ps *Process) Address(name id.Target) string { return ps.targets[name].address() }

// Close stops all targets at once and waits until every interrupted request is recorded.
func (ps *Process) Close() error {
	ps.stop()
	return ps.records.Close()
}

// stop closes all listeners and connections.
func (ps *Process) stop() {
	if ps.control != nil {
		closeServer(ps.control)
	}
	for _, tg := range ps.targets {
		tg.stop()
	}
}

// closeServer drops the error of closing a listener, after which the server is closed all the same.
func closeServer(sv *http.Server) { _ = sv.Close() }

// Run serves until the context ends.
func Run(ctx context.Context, op Options) error {
	ps, err := New(op)
	if err != nil {
		return err
	}
	if err := ps.Start(); err != nil {
		return err
	}
	op.Log.Info("targets are listening", logfield.FailureDomain, op.FailureDomain, "targets", len(ps.targets))
	ps.Loop(ctx)
	return ps.Close()
}

// routeFor returns the route with the longest matching path prefix.
func routeFor(rts []config.Route, path string) (config.Route, bool) {
	var best config.Route
	for _, rt := range rts {
		if len(path) >= len(rt.PathPrefix) && path[:len(rt.PathPrefix)] == rt.PathPrefix && len(rt.PathPrefix) > len(best.PathPrefix) {
			best = rt
		}
	}
	return best, best.PathPrefix != ""
}
