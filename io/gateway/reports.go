package gateway

import (
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/roster"
)

// sendReports sends this VM's report to the aggregators of its failure domain. VMs of the failure domain that report to this
// VM get the summaries of all failure domains. If this VM is an aggregator, the other aggregators get the summary of its own failure
// domain. A VM that doesn't hear another one of its failure domain gets that one's summary from all that hear both.
func (ct *Controller) sendReports(now time.Time, members []roster.Member) {
	st := &roster.Status{Report: ct.report(now)}
	ct.Roster.RecordLoads(st.Report.Loads)
	direct := make(map[id.VM]*roster.Member, len(members))
	var outdated []roster.Peer
	for nr := range members {
		if members[nr].ReportsDirectly(now) {
			direct[members[nr].VM] = &members[nr]
		}
		if members[nr].RunsOutdated(now, 2*reportInterval) {
			outdated = append(outdated, members[nr].Peer)
		}
	}
	sd := &reportSender{ct: ct, st: st, direct: direct, sent: map[id.VM]bool{ct.self.VM: true}}
	for _, pr := range outdated {
		sd.sendIncarnation(pr)
	}
	var own, all, forAggregators []roster.Summary
	if !now.Before(ct.nextSummary) {
		ct.nextSummary, sd.summariesAt = now.Add(summaryInterval), now
		own = []roster.Summary{ct.Roster.Summary(now, &st.Report)}
		all = append(ct.Roster.Summaries(now), own...)
	}
	if ct.Roster.IsAggregator(now) {
		forAggregators = own
	}
	for _, pr := range ct.Roster.Aggregators(now, ct.self.FailureDomain) {
		sd.send(pr, forAggregators)
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

// reportSender sends the same report to several VMs, once to each.
type reportSender struct {
	ct     *Controller
	st     *roster.Status
	direct map[id.VM]*roster.Member // VMs that report to this one directly
	sent   map[id.VM]bool           // VMs that already have the report
	// summariesAt is the time of the report if it carries summaries.
	summariesAt time.Time
}

// send sends the report with the given summaries. It adds the echo of the last report of the receiver, by which the receiver
// can renew its lease.
func (sd *reportSender) send(pr roster.Peer, summaries []roster.Summary) {
	if sd.sent[pr.VM] {
		return
	}
	sd.sent[pr.VM] = true
	rp := &sd.st.Report
	rp.Echo, rp.EchoOf = 0, 0
	if mb := sd.direct[pr.VM]; mb != nil {
		rp.Echo, rp.EchoOf = mb.LastReport.Sent, mb.LastReport.Incarnation
	}
	if !sd.summariesAt.IsZero() {
		summaries = slices.Concat(summaries, sd.ct.Roster.UnheardBy(sd.summariesAt, pr.VM))
	}
	sd.deliver(pr, summaries)
}

// sendIncarnation sends the report to a VM of which a process with a lower incarnation than the known one gave a sign of life. It
// tells that process the known incarnation, so that it raises its own and is heard again.
func (sd *reportSender) sendIncarnation(pr roster.Peer) {
	sd.sent[pr.VM] = true
	sd.st.Report.Echo, sd.st.Report.EchoOf = 0, pr.Incarnation
	sd.deliver(pr, nil)
}

func (sd *reportSender) deliver(pr roster.Peer, summaries []roster.Summary) {
	sd.st.Summaries = summaries
	if err := sd.ct.send(pr.StatusAddress, sd.st); err != nil {
		sd.ct.Log.Debug("sending a report to a peer failed", "peer", string(pr.VM), "error", err.Error())
	}
}

// report returns the current report of this VM. Loads contains only the targets that have reported their load since the last
// report of this VM.
func (ct *Controller) report(now time.Time) roster.Report {
	age, ok := ct.Lease.Age()
	if !ok {
		age = -1
	}
	rp := roster.Report{
		VM: ct.self.VM, Incarnation: ct.incarnation, State: ct.state(), Version: ct.version, EvidenceAge: age,
		Sent: ct.Lease.Now(), Changes: make(map[string]int64, len(ct.latestChanges)),
	}
	rp.SetDemand(ct.Placer.Demand(now))
	rp.Traffic = reportedTraffic(ct.Placer.Traffic(now))
	for kind, rev := range ct.latestChanges {
		rp.Changes[string(kind)] = int64(max(rev, ct.progress[kind].announced))
	}
	for _, ld := range ct.Placer.LoadReports(ct.lastReport) {
		rp.Loads = append(rp.Loads, roster.Load{Target: ld.Target, Total: ld.Total})
	}
	ct.lastReport = now
	return rp
}

// state returns the state flags of this VM for its report.
func (ct *Controller) state() roster.State {
	var st roster.State
	for fact, holds := range map[roster.State]bool{
		roster.Ready: ct.Ready(), roster.Leaving: ct.leaving.Load(), roster.ReadsStore: ct.followsStore(), roster.RelaysStore: ct.followsReader(),
	} {
		if holds {
			st |= fact
		}
	}
	return st
}
