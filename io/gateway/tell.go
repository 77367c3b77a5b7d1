package gateway

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// tell sends this VM's report to the speakers of its failure domain. A VM to which others report answers them with the summaries
// of all failure domains; a speaker also sends the summary of its own to the speakers of the others.
func (ct *Controller) tell(now time.Time, members []roster.Member) {
	st := &roster.Status{Report: ct.report(now)}
	ct.Roster.RecordLoads(st.Report.Loads)
	direct := make(map[id.VM]*roster.Member, len(members))
	for nr := range members {
		if members[nr].ReportsDirectly(now) {
			direct[members[nr].VM] = &members[nr]
		}
	}
	sd := &sender{ct: ct, st: st, direct: direct, sent: map[id.VM]bool{ct.self.VM: true}}
	speakers := ct.Roster.Aggregators(now, ct.self.FailureDomain)
	for _, pr := range speakers {
		sd.send(pr, nil)
	}
	var own, all []roster.Summary
	if !now.Before(ct.nextSummary) {
		ct.nextSummary = now.Add(summaryEvery)
		own = []roster.Summary{ct.Roster.Summary(now, &st.Report)}
		all = append(ct.Roster.Summaries(now), own...)
	}
	for _, mb := range direct {
		if mb.FailureDomain == ct.self.FailureDomain {
			sd.send(mb.Peer, all)
		}
	}
	if !ct.Roster.IsAggregator(now) {
		return
	}
	for fd := range ct.Settings.Regions {
		if fd == ct.self.FailureDomain {
			continue
		}
		for _, pr := range ct.Roster.Aggregators(now, fd) {
			sd.send(pr, own)
		}
	}
	for _, mb := range direct {
		sd.send(mb.Peer, own)
	}
}

// sender sends a report to each VM once.
type sender struct {
	ct     *Controller
	st     *roster.Status
	direct map[id.VM]*roster.Member
	sent   map[id.VM]bool
}

func (sd *sender) send(pr roster.Peer, summaries []roster.Summary) {
	if sd.sent[pr.VM] {
		return
	}
	sd.sent[pr.VM] = true
	rp := &sd.st.Report
	rp.Echo, rp.EchoOf = 0, 0
	if mb := sd.direct[pr.VM]; mb != nil {
		rp.Echo, rp.EchoOf = mb.LastReport.Sent, mb.LastReport.Incarnation
	}
	sd.st.Summaries = summaries
	if err := sd.ct.send(pr.StatusAddress, sd.st); err != nil {
		sd.ct.Log.Debug("report not sent", "peer", string(pr.VM), "error", err.Error())
	}
}

func (ct *Controller) report(now time.Time) roster.Report {
	age, ok := ct.Lease.Age()
	if !ok {
		age = -1
	}
	rp := roster.Report{
		VM: ct.self.VM, Incarnation: ct.self.Incarnation, State: ct.state(), Version: ct.version, EvidenceAge: age,
		Sent: ct.Lease.Now(), Work: ct.Placer.Demand(now), Changes: make(map[string]int64, len(ct.changes)),
	}
	for kind, rev := range ct.changes {
		rp.Changes[string(kind)] = int64(max(rev, ct.progress[kind].announced))
	}
	for _, ld := range ct.Placer.LoadReports(ct.lastState) {
		rp.Loads = append(rp.Loads, roster.Load{Target: ld.Target, Total: ld.Total})
	}
	ct.lastState = now
	return rp
}

func (ct *Controller) state() roster.State {
	var st roster.State
	for fact, holds := range map[roster.State]bool{
		roster.Ready: ct.Ready(), roster.Leaving: ct.leaving.Load(), roster.ReadsStore: ct.follows(), roster.RelaysStore: ct.relays(),
	} {
		if holds {
			st |= fact
		}
	}
	return st
}
