package cli

import (
	"context"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/configdir"
	"damasklatch/internal/standin/caller"
	"damasklatch/internal/standin/platform"
	"damasklatch/internal/standin/report"
	"damasklatch/internal/standin/target"

	"github.com/pkg/errors"
)

// platformCommand serves the platform: the store and the list of VMs.
type platformCommand struct {
	Address        string        `arg:"--address" default:"127.0.0.1:16000" help:"address of the store"`
	ControlAddress string        `arg:"--control-address" default:"127.0.0.1:16001" help:"address of the control endpoint"`
	VMLag          time.Duration `arg:"--vm-lag" default:"1s" help:"lag of the list of VMs"`
}

func (cm *platformCommand) run(ctx context.Context, _ io.Writer, log *slog.Logger) error {
	return platform.Run(ctx, platform.Options{
		Address: cm.Address, ControlAddress: cm.ControlAddress, VMLag: cm.VMLag, Log: log,
	})
}

// configuration is the flag that names the configuration directory.
type configuration struct {
	Config string `arg:"--config,required" help:"directory with base.yaml, overlays and blocks.txt"`
}

// load reads the files of the directory and merges them.
func (cf *configuration) load() (*config.Effective, error) {
	ef, _, err := configdir.Load(cf.Config)
	return ef, err
}

// targetsCommand serves the targets of one failure domain.
type targetsCommand struct {
	configuration
	FailureDomain  id.FailureDomain         `arg:"--failure-domain,required" help:"serve the targets of this failure domain"`
	ControlAddress string                   `arg:"--control-address" help:"address of the control endpoint"`
	Records        string                   `arg:"--records" help:"file of the records"`
	Seed           uint64                   `arg:"--seed" default:"1" help:"seed of the service times"`
	Median         time.Duration            `arg:"--median" default:"8ms" help:"median of the service time"`
	Sigma          float64                  `arg:"--sigma" default:"0.5" help:"standard deviation of the logarithm of the service time"`
	Services       map[id.Route]serviceTime `arg:"--service" placeholder:"ROUTE=MEDIAN[:SIGMA]" help:"service times of routes"`
	Queue          int                      `arg:"--queue" default:"4" help:"requests that wait for a slot of a target"`
	LoadLag        time.Duration            `arg:"--load-lag" default:"300ms" help:"age of load reports"`
	ColdFor        time.Duration            `arg:"--cold-for" default:"5s" help:"duration of a cold start"`
	ColdFactor     float64                  `arg:"--cold-factor" default:"4" help:"factor of the service time at a cold start"`
	UncachedFactor float64                  `arg:"--uncached-factor" default:"2" help:"factor of the service time for a new client"`
}

func (cm *targetsCommand) run(ctx context.Context, _ io.Writer, log *slog.Logger) error {
	ef, err := cm.load()
	if err != nil {
		return err
	}
	op := target.DefaultOptions()
	op.FailureDomain, op.Sites, op.Routes = cm.FailureDomain, ef.Sites, ef.Routes
	op.ControlAddress, op.Records, op.Seed, op.Log = cm.ControlAddress, cm.Records, cm.Seed, log
	op.ServiceTime = target.ServiceTime{Median: cm.Median, Sigma: cm.Sigma}
	op.RouteServiceTime = make(map[id.Route]target.ServiceTime)
	for rt, st := range cm.Services {
		op.RouteServiceTime[rt] = target.ServiceTime(st)
	}
	op.Queue, op.LoadLag, op.ColdFor = cm.Queue, cm.LoadLag, cm.ColdFor
	op.ColdFactor, op.UncachedFactor = cm.ColdFactor, cm.UncachedFactor
	return target.Run(ctx, op)
}

// serviceTime is the distribution of a route's service time. As text it is MEDIAN or MEDIAN:SIGMA.
type serviceTime target.ServiceTime

// UnmarshalText parses the value of a flag.
func (st *serviceTime) UnmarshalText(text []byte) error {
	median, sigma, found := strings.Cut(string(text), ":")
	var err error
	if st.Median, err = time.ParseDuration(median); err != nil || !found {
		return errors.Wrap(err, "invalid median")
	}
	st.Sigma, err = strconv.ParseFloat(sigma, 64)
	return errors.Wrap(err, "invalid sigma")
}

// callersCommand runs the callers of a scenario.
type callersCommand struct {
	Scenario string        `arg:"--scenario,required" help:"scenario file"`
	Entries  []string      `arg:"--entries" help:"caller addresses of entry VMs, in place of those in the scenario"`
	Keys     string        `arg:"--keys" help:"directory with a file <team>.key for each team"`
	Records  string        `arg:"--records" help:"file of the records"`
	Duration time.Duration `arg:"--duration" help:"duration, in place of that in the scenario"`
	Seed     *uint64       `arg:"--seed" help:"seed, in place of that in the scenario"`
}

func (cm *callersCommand) run(ctx context.Context, _ io.Writer, log *slog.Logger) error {
	sc, err := cm.load()
	if err != nil {
		return err
	}
	rn, err := caller.New(caller.Options{Scenario: sc, Records: cm.Records, Log: log})
	if err != nil {
		return err
	}
	return rn.Run(ctx)
}

// load reads the scenario, applies the flags that override its settings, and reads the keys of the teams.
func (cm *callersCommand) load() (*caller.Scenario, error) {
	src, err := os.ReadFile(cm.Scenario)
	if err != nil {
		return nil, errors.Wrap(err, "read scenario")
	}
	sc, err := caller.ParseScenario(cm.Scenario, src)
	if err != nil {
		return nil, err
	}
	if len(cm.Entries) > 0 {
		sc.Entries = cm.Entries
	}
	if cm.Duration > 0 {
		sc.Duration = cm.Duration
	}
	if cm.Seed != nil {
		sc.Seed = *cm.Seed
	}
	if cm.Keys == "" {
		return sc, nil
	}
	return sc, sc.ReadKeys(cm.Keys)
}

// reportCommand writes the report of a run.
type reportCommand struct {
	configuration
	Callers []string `arg:"--callers,required" help:"record files of callers"`
	Targets []string `arg:"--targets,required" help:"record files of targets"`
}

func (cm *reportCommand) run(_ context.Context, out io.Writer, _ *slog.Logger) error {
	ef, err := cm.load()
	if err != nil {
		return err
	}
	rs, err := report.ComputeFromFiles(&report.Input{
		Teams: ef.Teams, Routes: ef.Routes, Regions: ef.Regions, FailureDomains: ef.FailureDomains,
	}, cm.Callers, cm.Targets)
	if err != nil {
		return err
	}
	return rs.Write(out)
}
