package cli

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"damasklatch/core/config"
	"damasklatch/internal/configdir"
)

// Drain marks an element of the configuration files as drained.
type Drain struct {
	OutputOptions
	Directory     string `arg:"positional,required" placeholder:"DIRECTORY" help:"directory with base.yaml, overlays/ and blocks.txt"`
	Target        string `arg:"--target" placeholder:"NAME" help:"drain this target"`
	FailureDomain string `arg:"--failure-domain" placeholder:"NAME" help:"drain this failure domain"`
	Site          string `arg:"--site" placeholder:"NAME" help:"drain every target of this site"`
	Region        string `arg:"--region" placeholder:"NAME" help:"drain this region"`
	Undo          bool   `arg:"--undo" help:"end the drain"`
	DryRun        bool   `arg:"--dry-run" help:"show the change without writing it"`
}

// Examples implements Command.
func (*Drain) Examples() []string {
	return []string{
		"damasklatch drain examples/sang_den --target north-a-parts-desk-1",
		"damasklatch drain examples/sang_den --failure-domain north-a --undo --dry-run",
	}
}

// drainResult is the JSON form of the result of a drain command.
type drainResult struct {
	Kind    string   `json:"kind"`
	Name    string   `json:"name"`
	Drained bool     `json:"drained"`
	Changed bool     `json:"changed"`
	Written bool     `json:"written"`
	File    string   `json:"file"`
	Line    int      `json:"line,omitempty"`
	Removed []string `json:"removed,omitempty"`
	Added   []string `json:"added,omitempty"`
	// DrainedBy lists the enclosing elements that are drained. They keep this element drained after its own drain ended.
	DrainedBy []string `json:"drained_by,omitempty"`
	Next      []string `json:"next,omitempty"`
}

// Run implements Command.
func (dr *Drain) Run(_ context.Context, ev *Env) error {
	el, err := dr.element()
	if err != nil {
		return err
	}
	_, src, err := configdir.Load(dr.Directory)
	if err != nil {
		return err
	}
	ed, err := configdir.SetDrained(src, el, !dr.Undo)
	var faults config.Errors
	switch {
	case errors.As(err, &faults):
		return err
	case err != nil:
		return inputErrorf("%v", err)
	}
	rs := drainResult{Kind: string(el.Kind), Name: el.Name, Drained: !dr.Undo, Changed: ed.HasChanges(), File: ed.File}
	for _, outer := range ed.EnclosingDrained {
		rs.DrainedBy = append(rs.DrainedBy, outer.String())
	}
	if rs.Changed {
		rs.Line, rs.Removed, rs.Added = ed.Line, ed.Removed, ed.Added
		rs.Next = []string{
			"damasklatch config diff " + dr.Directory, "damasklatch config propose " + dr.Directory,
			"damasklatch config accept --wait OPERATION", "damasklatch status",
		}
	}
	if rs.Changed && !dr.DryRun {
		if err := ed.Write(); err != nil {
			return fmt.Errorf("write %s: %w", ed.File, err)
		}
		rs.Written = true
	}
	dr.print(ev, rs, func() {
		rs.write(ev, el)
		if len(rs.DrainedBy) > 0 {
			fmt.Fprintf(ev.Stdout, "\nIt still gets no requests while this is drained: %s\n", strings.Join(rs.DrainedBy, ", "))
		}
	})
	return nil
}

// element returns the element that the flags name. Exactly one flag must be given.
func (dr *Drain) element() (configdir.Element, error) {
	var els []configdir.Element
	for _, el := range []configdir.Element{
		{Kind: configdir.KindTarget, Name: dr.Target}, {Kind: configdir.KindFailureDomain, Name: dr.FailureDomain},
		{Kind: configdir.KindSite, Name: dr.Site}, {Kind: configdir.KindRegion, Name: dr.Region},
	} {
		if el.Name != "" {
			els = append(els, el)
		}
	}
	if len(els) != 1 {
		return configdir.Element{}, inputErrorf("give exactly one of --target, --failure-domain, --site and --region")
	}
	return els[0], nil
}

func (rs *drainResult) write(ev *Env, el configdir.Element) {
	state := "drained"
	if !rs.Drained {
		state = "not drained"
	}
	if !rs.Changed {
		fmt.Fprintf(ev.Stdout, "%s is already %s in %s; nothing is changed\n", el, state, rs.File)
		return
	}
	verb := "changed"
	if !rs.Written {
		verb = "would change"
	}
	fmt.Fprintf(ev.Stdout, "%s %s:%d: %s is %s\n", verb, rs.File, rs.Line, el, state)
	for _, line := range rs.Removed {
		fmt.Fprintln(ev.Stdout, "- "+line)
	}
	for _, line := range rs.Added {
		fmt.Fprintln(ev.Stdout, "+ "+line)
	}
	fmt.Fprintln(ev.Stdout, "\nThe change is in the files only. Next:")
	for _, line := range rs.Next {
		fmt.Fprintln(ev.Stdout, "  "+line)
	}
}
