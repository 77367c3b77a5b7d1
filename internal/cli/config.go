package cli

import (
	"context"
	"fmt"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/io/configchange"
)

// ConfigCommands holds the subcommands of config.
type ConfigCommands struct {
	Check   *ConfigCheck   `arg:"subcommand:check" help:"validate the files of a directory"`
	Diff    *ConfigDiff    `arg:"subcommand:diff" help:"show how the files of a directory differ from the accepted configuration"`
	Propose *ConfigPropose `arg:"subcommand:propose" help:"validate and store the files of a directory as a proposal"`
	Accept  *ConfigAccept  `arg:"subcommand:accept" help:"bring a proposal into effect"`
	Status  *ConfigStatus  `arg:"subcommand:status" help:"show the accepted configuration, open proposals and what the VMs have in force"`
	History *ConfigHistory `arg:"subcommand:history" help:"list the last accepted changes"`
}

// ConfigCheck validates configuration files. It does not use the store.
type ConfigCheck struct {
	OutputOptions
	DirectoryOptions
}

// Examples implements Command.
func (*ConfigCheck) Examples() []string {
	return []string{
		"damasklatch config check examples/sang_den",
		"make-base | damasklatch config check --base - examples/sang_den",
	}
}

// Run implements Command.
func (cc *ConfigCheck) Run(_ context.Context, ev *Env) error {
	src, err := cc.sources(ev)
	if err != nil {
		return err
	}
	ef, err := src.Merge()
	if err != nil {
		return err
	}
	targets := 0
	for _, st := range ef.Sites {
		targets += len(st.Targets)
	}
	summary := struct {
		Deployment string `json:"deployment"`
		Routes     int    `json:"routes"`
		Teams      int    `json:"teams"`
		Sites      int    `json:"sites"`
		Targets    int    `json:"targets"`
		Blocks     int    `json:"blocks"`
	}{ef.Deployment, len(ef.Routes), len(ef.Teams), len(ef.Sites), targets, len(ef.Blocks)}
	cc.print(ev, summary, func() {
		fmt.Fprintf(ev.Stdout, "%s is valid: %s, %s, %s, %s, %s\n", ef.Deployment, countNoun(summary.Routes, "route"),
			countNoun(summary.Teams, "team"), countNoun(summary.Sites, "site"), countNoun(targets, "target"), countNoun(summary.Blocks, "client block"))
	})
	return nil
}

// ConfigDiff compares configuration files with the accepted configuration.
type ConfigDiff struct {
	StoreOptions
	DirectoryOptions
}

// Examples implements Command.
func (*ConfigDiff) Examples() []string {
	return []string{"damasklatch config diff --store 127.0.0.1:16000 examples/sang_den"}
}

// Run implements Command.
func (cd *ConfigDiff) Run(ctx context.Context, ev *Env) error {
	src, err := cd.sources(ev)
	if err != nil {
		return err
	}
	ctx, cancel, ss, err := cd.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	dfs, err := ss.acc.Compare(ctx, src)
	if err != nil {
		return err
	}
	cd.print(ev, map[string]any{"differences": emptyIfNil(dfs)}, func() { writeDifferences(ev, dfs) })
	return nil
}

// ConfigPropose validates configuration files and stores them as a proposal.
type ConfigPropose struct {
	StoreOptions
	ChangeOptions
	DirectoryOptions
}

// Examples implements Command.
func (*ConfigPropose) Examples() []string {
	return []string{"damasklatch config propose --store 127.0.0.1:16000 --author an --comment 'more room in north' examples/sang_den"}
}

// Run implements Command.
func (cp *ConfigPropose) Run(ctx context.Context, ev *Env) error {
	src, err := cp.sources(ev)
	if err != nil {
		return err
	}
	ch, err := cp.change(ev)
	if err != nil {
		return err
	}
	ctx, cancel, ss, err := cp.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	pp, dfs, err := ss.acc.Propose(ctx, ch, src)
	if err != nil {
		return err
	}
	cp.print(ev, map[string]any{
		"operation_id": pp.OperationID, "base_generation": pp.BaseGeneration, "differences": emptyIfNil(dfs),
	}, func() {
		writeDifferences(ev, dfs)
		fmt.Fprintf(ev.Stdout, "proposed on generation %d; to accept: damasklatch config accept %s\n", pp.BaseGeneration, pp.OperationID)
	})
	return nil
}

// ConfigAccept accepts a proposal and optionally waits until it is in force.
type ConfigAccept struct {
	StoreOptions
	Operation string `arg:"positional,required" placeholder:"OPERATION" help:"operation id that propose printed, - for standard input"`
	Wait      bool   `arg:"--wait" help:"wait until the configuration is in force on every VM of the platform's list"`
}

// Examples implements Command.
func (*ConfigAccept) Examples() []string {
	return []string{
		"damasklatch config accept --store 127.0.0.1:16000 0123456789abcdef0123456789abcdef",
		"damasklatch config accept --wait --operator-secret-file secret.txt 0123456789abcdef0123456789abcdef",
	}
}

// Run implements Command.
func (ca *ConfigAccept) Run(ctx context.Context, ev *Env) error {
	op, err := readWord(ev, ca.Operation)
	if err != nil {
		return err
	}
	ctx, cancel, ss, err := ca.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	if ca.Wait && ss.fl.oc == nil {
		return inputErrorf("--wait needs --operator-secret-file")
	}
	rs, err := ss.acc.Accept(ctx, id.Operation(op), ev.Now())
	if err != nil {
		return err
	}
	var states []vmState
	if ca.Wait {
		states, err = ss.fl.wait(ctx, rs.Generation)
	}
	ca.print(ev, struct {
		result
		VMs []vmState `json:"vms,omitempty"`
	}{newResult(rs), states}, func() {
		fmt.Fprintln(ev.Stdout, describeResult(rs))
		if ca.Wait {
			fmt.Fprintf(ev.Stdout, "in force on %d of %s\n", countInForce(states, rs.Generation), countNoun(len(states), "VM"))
		}
	})
	if ca.Wait && (err != nil || countInForce(states, rs.Generation) < len(states)) {
		return fmt.Errorf("generation %d is accepted, but not in force everywhere within %v", rs.Generation, ca.Timeout)
	}
	return nil
}

// result is the JSON form of a configchange.Result.
type result struct {
	OperationID id.Operation  `json:"operation_id"`
	Generation  id.Generation `json:"generation"`
	Earlier     bool          `json:"earlier"`
}

func newResult(rs *configchange.Result) result {
	return result{rs.OperationID, rs.Generation, rs.AlreadyInEffect}
}

func describeResult(rs *configchange.Result) string {
	if rs.AlreadyInEffect {
		return fmt.Sprintf("operation %s was accepted earlier, as generation %d", rs.OperationID, rs.Generation)
	}
	return fmt.Sprintf("accepted as generation %d", rs.Generation)
}

// ConfigStatus shows the accepted configuration, open proposals and the generation in force on each VM.
type ConfigStatus struct{ StoreOptions }

// Examples implements Command.
func (*ConfigStatus) Examples() []string {
	return []string{"damasklatch config status --store 127.0.0.1:16000 --operator-secret-file secret.txt"}
}

// Run implements Command.
func (cs *ConfigStatus) Run(ctx context.Context, ev *Env) error {
	ctx, cancel, ss, err := cs.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	sn, err := ss.acc.Current(ctx)
	if err != nil {
		return err
	}
	pps, err := ss.acc.Proposals(ctx)
	if err != nil {
		return err
	}
	states, err := ss.fl.generations(ctx)
	if err != nil {
		fmt.Fprintln(ev.Stderr, "warning: the status of the VMs is missing:", err)
	}
	cs.print(ev, statusJSON(sn.Manifest, pps, states), func() { writeStatus(ev, sn.Manifest, pps, states) })
	return nil
}

func statusJSON(mf *config.Manifest, pps []*configchange.Proposal, states []vmState) any {
	st := struct {
		Generation  id.Generation     `json:"generation"`
		OperationID id.Operation      `json:"operation_id"`
		Author      string            `json:"author"`
		Time        time.Time         `json:"time"`
		Comment     string            `json:"comment"`
		Parts       []config.PartRef  `json:"parts"`
		Proposals   []proposalSummary `json:"proposals"`
		VMs         []vmState         `json:"vms"`
	}{Parts: []config.PartRef{}, Proposals: []proposalSummary{}, VMs: emptyIfNil(states)}
	if mf != nil {
		st.Generation, st.OperationID, st.Author = mf.Generation, mf.OperationID, mf.Author
		st.Time, st.Comment, st.Parts = mf.Time, mf.Comment, mf.Parts
	}
	for _, pp := range pps {
		st.Proposals = append(st.Proposals, proposalSummary{pp.OperationID, pp.Author, pp.Time, pp.Comment})
	}
	return st
}

type proposalSummary struct {
	OperationID id.Operation `json:"operation_id"`
	Author      string       `json:"author"`
	Time        time.Time    `json:"time"`
	Comment     string       `json:"comment"`
}

func writeStatus(ev *Env, mf *config.Manifest, pps []*configchange.Proposal, states []vmState) {
	if mf == nil {
		fmt.Fprintln(ev.Stdout, "no configuration has been accepted yet")
	} else {
		size := 0
		for _, pr := range mf.Parts {
			size += pr.Size
		}
		fmt.Fprintf(ev.Stdout, "generation %d, accepted %s by %s (operation %s)\n", mf.Generation, mf.Time.Format(time.RFC3339), mf.Author, mf.OperationID)
		if mf.Comment != "" {
			fmt.Fprintln(ev.Stdout, "comment:", mf.Comment)
		}
		fmt.Fprintf(ev.Stdout, "%s, %d bytes\n", countNoun(len(mf.Parts), "part"), size)
	}
	if len(pps) > 0 {
		fmt.Fprintln(ev.Stdout, "\nproposals that can be accepted:")
		var rs [][]string
		for _, pp := range pps {
			rs = append(rs, []string{string(pp.OperationID), pp.Author, pp.Time.Format(time.RFC3339), pp.Comment})
		}
		writeTable(ev.Stdout, []string{"OPERATION", "AUTHOR", "TIME", "COMMENT"}, rs)
	}
	if len(states) > 0 {
		var generation id.Generation
		if mf != nil {
			generation = mf.Generation
		}
		fmt.Fprintf(ev.Stdout, "\nin force on %d of %s:\n", countInForce(states, generation), countNoun(len(states), "VM"))
		writeTable(ev.Stdout, []string{"VM", "FAILURE DOMAIN", "GENERATION", "ERROR"}, stateRows(states))
	}
}

// ConfigHistory lists the last accepted changes.
type ConfigHistory struct{ StoreOptions }

// Examples implements Command.
func (*ConfigHistory) Examples() []string {
	return []string{"damasklatch config history --store 127.0.0.1:16000 --output json"}
}

// Run implements Command.
func (ch *ConfigHistory) Run(ctx context.Context, ev *Env) error {
	ctx, cancel, ss, err := ch.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	sn, err := ss.acc.Current(ctx)
	if err != nil {
		return err
	}
	var hes []config.HistoryEntry
	if sn.Manifest != nil {
		hes = sn.Manifest.History
	}
	ch.print(ev, map[string]any{"history": emptyIfNil(hes)}, func() {
		var rs [][]string
		for _, he := range hes {
			rs = append(rs, []string{fmt.Sprint(he.Generation), string(he.OperationID), he.Author})
		}
		writeTable(ev.Stdout, []string{"GENERATION", "OPERATION", "AUTHOR"}, rs)
	})
	return nil
}

// emptyIfNil returns an empty list in place of nil, so that JSON shows [] and not null.
func emptyIfNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
