package cli

import (
	"context"
	"fmt"
	"time"

	"damasklatch/core/event"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// Timeline merges the events of all entry VMs into one causal order.
type Timeline struct {
	StoreOptions
	Request  string `arg:"--request" placeholder:"ID" help:"only events of this request"`
	Team     string `arg:"--team" placeholder:"TEAM" help:"only events of this team"`
	Resource string `arg:"--resource" placeholder:"NAME" help:"only events of this resource, for example team/salon_app"`
	VM       string `arg:"--vm" placeholder:"VM" help:"only events of this VM"`
	Limit    int    `arg:"--limit" default:"1000" placeholder:"N" help:"most events of each VM, the latest ones"`
}

// Examples implements Command.
func (*Timeline) Examples() []string {
	return []string{
		"damasklatch timeline --request 0123456789abcdef0123456789abcdef",
		"damasklatch timeline --team salon_app --limit 50",
		"damasklatch timeline --vm north-a-1 --output json",
	}
}

// Run implements Command. It prints a warning for each VM that can't be reached and leaves out its events.
func (tl *Timeline) Run(ctx context.Context, ev *Env) error {
	if tl.Limit <= 0 {
		return inputErrorf("--limit: %d is not greater than zero", tl.Limit)
	}
	ctx, cancel, ss, err := tl.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	if ss.fl.oc == nil {
		return inputErrorf("--operator-secret-file is required to call the entry VMs")
	}
	rq := &peerpb.TimelineRequest{RequestId: tl.Request, Team: tl.Team, Resource: tl.Resource, Limit: int32(min(tl.Limit, maxTimeline))}
	answers, err := callAllVMs(ctx, ss.fl, func(ctx context.Context, address string) (*peerpb.TimelineReply, error) {
		return ss.fl.oc.Timeline(ctx, address, rq)
	})
	if err != nil {
		return err
	}
	var lists [][]event.Event
	for _, an := range answers {
		switch {
		case tl.VM != "" && tl.VM != string(an.rec.VM):
		case an.err != nil:
			fmt.Fprintf(ev.Stderr, "warning: events of %s are missing: %v\n", an.rec.VM, an.err)
		default:
			lists = append(lists, decodeEvents(an.value))
		}
	}
	merged := event.Merge(lists...)
	tl.print(ev, merged, func() { writeTimeline(ev, merged) })
	return nil
}

func decodeEvents(rp *peerpb.TimelineReply) []event.Event {
	evs := make([]event.Event, 0, len(rp.GetEvents()))
	for _, pb := range rp.GetEvents() {
		evs = append(evs, peer.DecodeEvent(pb))
	}
	return evs
}

// maxTimeline is the maximum number of events that a VM returns.
const maxTimeline = 10_000

func writeTimeline(ev *Env, evs []event.Event) {
	var rows [][]string
	for _, en := range evs {
		at := time.Unix(0, en.Stamp.WallNanos).UTC().Format("15:04:05.000000")
		rows = append(rows, []string{
			at, string(en.VM), string(en.Kind), string(en.Request), string(en.Team), string(en.Resource), string(en.Target),
			en.Detail,
		})
	}
	writeTable(ev.Stdout, []string{"TIME", "VM", "EVENT", "REQUEST", "TEAM", "RESOURCE", "TARGET", "DETAIL"}, rows)
}
