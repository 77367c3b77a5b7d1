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

// samplePeriod is the time between two load samples of a target.
const samplePeriod = 50 * time.Millisecond

// Process serves all targets of a failure domain. Create it with New.
type Process struct {
	op              Options
	targets         map[id.Target]*Target
	records         *record.Log[record.Work]
	control         *http.Server
	controlListener net.Listener
}

// New returns a process whose targets do not listen yet. It returns an error if the failure domain has no targets or
// the file of the records cannot be opened.
func New(op Options) (*Process, error) {
	lg, err := record.NewLog[record.Work](op.Records)
	if err != nil {
		return nil, err
	}
	ps := &Process{op: op, targets: make(map[id.Target]*Target), records: lg}
	var nr uint64
	for _, st := range op.Sites {
		for _, ct := range st.Targets {
			nr++ // counts the targets of all sites, so that a target has the same service times in every process
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

// Start opens the listeners of the targets and of the control endpoint. If one fails, it closes the others.
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
		return errors.Wrap(err, "listen on control address")
	}
	ps.controlListener = ls
	ps.control = &http.Server{Handler: ps.controlHandler(), ReadHeaderTimeout: readHeaderTimeout}
	go ps.serveControlEndpoint()
	return nil
}

// serveControlEndpoint serves the control endpoint until its server is closed.
func (ps *Process) serveControlEndpoint() {
	if err := ps.control.Serve(ps.controlListener); !errors.Is(err, http.ErrServerClosed) {
		ps.op.Log.Error("control endpoint failed", logfield.Error, err)
	}
}

// Loop samples the load of all targets and restarts crashed targets when their downtime is over. It returns when the
// context ends.
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

// Address returns the listen address of a target. It panics if the process does not serve the target.
func (ps *Process) Address(name id.Target) string { return ps.targets[name].address() }

// Close closes all connections at once and waits until every interrupted request is recorded.
func (ps *Process) Close() error {
	ps.stop()
	return ps.records.Close()
}

// stop closes all listeners and connections and waits for the requests to end.
func (ps *Process) stop() {
	if ps.control != nil {
		closeServer(ps.control)
	}
	for _, tg := range ps.targets {
		tg.stop()
	}
}

// closeServer closes a server. It ignores an error from its listener because the server is closed nevertheless.
func closeServer(sv *http.Server) { _ = sv.Close() }

// Run creates and starts a process, serves until the context ends and closes the process.
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

// routeFor returns the route with the longest matching path prefix, and false if none matches.
func routeFor(rts []config.Route, path string) (config.Route, bool) {
	var best config.Route
	for _, rt := range rts {
		if len(path) >= len(rt.PathPrefix) && path[:len(rt.PathPrefix)] == rt.PathPrefix && len(rt.PathPrefix) > len(best.PathPrefix) {
			best = rt
		}
	}
	return best, best.PathPrefix != ""
}
