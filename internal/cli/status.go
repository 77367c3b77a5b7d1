package cli

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"damasklatch/core/unit"
	"damasklatch/io/peer/peerpb"
)

// Status shows the status of the entry VMs.
type Status struct {
	OutputOptions
	Store    string        `arg:"--store,env:DAMASKLATCH_STORE" placeholder:"ADDRESS" help:"IP address and port of the platform store, needed without --gateway"`
	Timeout  time.Duration `arg:"--timeout,env:DAMASKLATCH_TIMEOUT" default:"15s" placeholder:"TIME" help:"longest time that the command tries"`
	Secret   string        `arg:"--operator-secret-file,env:DAMASKLATCH_OPERATOR_SECRET_FILE" placeholder:"FILE" help:"file with the operator's secret, needed to reach the entry VMs"`
	Gateways []string      `arg:"--gateway,separate" placeholder:"ADDRESS" help:"show the targets as the gateway with this metrics address sees them; may be repeated"`
	VM       string        `arg:"--vm" placeholder:"VM" help:"show what this VM knows of the others, and its shares"`
	Targets  bool          `arg:"--targets" help:"show the targets with their requests in flight, summed over the VMs"`
}

// Examples implements Command.
func (*Status) Examples() []string {
	return []string{"damasklatch status", "damasklatch status --targets", "damasklatch status --vm north-a-1 --output json", "damasklatch status --gateway 10.0.0.5:9100"}
}

// vmStatus is the JSON form of a VM's status.
type vmStatus struct {
	VM            string           `json:"vm"`
	FailureDomain string           `json:"failure_domain"`
	Ready         bool             `json:"ready"`
	Generation    uint64           `json:"generation"`
	InForceSince  string           `json:"in_force_since,omitempty"`
	KeysFresh     bool             `json:"keys_fresh"`
	FreeSlots     map[string]int64 `json:"free_slots,omitempty"`
	Resources     []resourceStatus `json:"resources,omitempty"`
	Members       []memberStatus   `json:"members,omitempty"`
	Error         string           `json:"error,omitempty"`
}

// resourceStatus is a VM's share of a limit, in the unit of the limit.
type resourceStatus struct {
	Resource string  `json:"resource"`
	Kind     string  `json:"kind"`
	Owned    float64 `json:"owned"`
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	InUse    float64 `json:"in_use"`
	Admitted float64 `json:"admitted"`
	Refused  float64 `json:"refused"`
}

type memberStatus struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
}

// Run implements Command.
func (st *Status) Run(ctx context.Context, ev *Env) error {
	if len(st.Gateways) > 0 {
		return st.runGateways(ctx, ev)
	}
	if st.Store == "" {
		return inputErrorf("--store or --gateway is required")
	}
	so := &StoreOptions{Store: st.Store, Timeout: st.Timeout, Secret: st.Secret}
	ctx, cancel, ss, err := so.open(ctx, ev)
	if err != nil {
		return err
	}
	defer cancel()
	if ss.fl.oc == nil {
		return inputErrorf("--operator-secret-file is required to call the entry VMs")
	}
	answers, err := callAllVMs(ctx, ss.fl, ss.fl.oc.Status)
	if err != nil {
		return err
	}
	var list []vmStatus
	sums := newStatusSums()
	for _, an := range answers {
		if st.VM != "" && st.VM != string(an.rec.VM) {
			continue
		}
		vs := describeVM(an.value, st.VM != "")
		vs.VM, vs.FailureDomain = string(an.rec.VM), string(an.rec.FailureDomain)
		if an.err != nil {
			vs.Error = an.err.Error()
		}
		sums.add(an.rec.FailureDomain, an.value, an.err == nil)
		list = append(list, vs)
	}
	if len(list) == 0 && st.VM != "" {
		return inputErrorf("--vm: VM %q is not on the platform's list", st.VM)
	}
	rp := fleetStatus{VMs: emptyIfNil(list), Pools: emptyIfNil(sums.pools())}
	if st.Targets {
		rp.Targets = sums.targets()
	}
	st.print(ev, rp, func() {
		writeVMs(ev, list)
		rp.writeSums(ev)
	})
	return nil
}

func describeVM(rp *peerpb.StatusReply, details bool) vmStatus {
	vs := vmStatus{Ready: rp.GetReady(), Generation: rp.GetGeneration(), KeysFresh: rp.GetKeysFresh()}
	if since := rp.GetGenerationSinceUnixNanos(); since > 0 {
		vs.InForceSince = time.Unix(0, since).UTC().Format(time.RFC3339)
	}
	vs.FreeSlots = make(map[string]int64)
	for _, rs := range rp.GetResources() {
		if rs.GetSlotsMilli() > 0 {
			vs.FreeSlots[rs.GetResource()] = freeSlots(rs)
		}
		if details {
			vs.Resources = append(vs.Resources, describeResource(rs))
		}
	}
	if !details {
		return vs
	}
	for _, mb := range rp.GetMembers() {
		vs.Members = append(vs.Members, memberStatus{
			VM: mb.GetEntry().GetId().GetVm(), FailureDomain: mb.GetEntry().GetFailureDomain(), State: mb.GetState(),
		})
	}
	return vs
}

// freeSlots returns the number of free slots, rounded down. It is zero if the VM has more requests in flight than it owns
// slots, which happens after its share has shrunk.
func freeSlots(rs *peerpb.ResourceStatus) int64 {
	return max(rs.GetSlotsMilli()-rs.GetInFlightMilli(), 0) / int64(unit.One)
}

func describeResource(rs *peerpb.ResourceStatus) resourceStatus {
	whole := func(milli int64) float64 { return float64(milli) / float64(unit.One) }
	owned := rs.GetOwned().GetRateMilli()
	if rs.GetSlotsMilli() > 0 {
		owned = rs.GetSlotsMilli()
	}
	return resourceStatus{
		Resource: rs.GetResource(), Kind: rs.GetKind(), Owned: whole(owned), Lent: whole(rs.GetLent().GetRateMilli()),
		Borrowed: whole(rs.GetBorrowed().GetRateMilli()), InUse: whole(rs.GetInFlightMilli()),
		Admitted: whole(rs.GetAdmittedMilli()), Refused: whole(rs.GetRefusedMilli()),
	}
}

func writeVMs(ev *Env, list []vmStatus) {
	var vms, shares, members [][]string
	for _, vs := range list {
		vms = append(vms, []string{
			vs.VM, vs.FailureDomain, strconv.FormatBool(vs.Ready), strconv.FormatUint(vs.Generation, 10), vs.InForceSince,
			strconv.FormatBool(vs.KeysFresh), vs.Error,
		})
		for _, rs := range vs.Resources {
			number := func(nr float64) string { return strconv.FormatFloat(nr, 'f', 1, 64) }
			shares = append(shares, []string{
				rs.Resource, rs.Kind, number(rs.Owned), number(rs.Lent), number(rs.Borrowed), number(rs.InUse),
				number(rs.Admitted), number(rs.Refused),
			})
		}
		for _, mb := range vs.Members {
			members = append(members, []string{mb.VM, mb.FailureDomain, mb.State})
		}
	}
	writeTable(ev.Stdout, []string{"VM", "FAILURE DOMAIN", "READY", "GENERATION", "SINCE", "KEYS FRESH", "ERROR"}, vms)
	if len(shares) > 0 {
		fmt.Fprintln(ev.Stdout)
		writeTable(ev.Stdout, []string{"RESOURCE", "KIND", "OWNED", "LENT", "BORROWED", "IN USE", "ADMITTED", "REFUSED"}, shares)
	}
	if len(members) > 0 {
		fmt.Fprintln(ev.Stdout)
		writeTable(ev.Stdout, []string{"MEMBER", "FAILURE DOMAIN", "STATE"}, members)
	}
}
