package gateway

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/place"
	"damasklatch/core/quota"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

func (ct *Controller) takeSnapshot(ms snapshotMsg) {
	now := time.Now()
	ks := ct.Adapter.Kinds()
	if ms.changed {
		ct.listed[ms.kind] = true
		for _, ob := range ms.sn.Objects {
			ct.changes[ms.kind] = max(ct.changes[ms.kind], ob.Revision)
		}
		switch ms.kind {
		case ks.Config:
			ct.setConfig(now, ms.sn.Objects)
		case ks.Targets:
			ct.setTargets(now, ms.sn)
		case ks.Evacuations:
			ct.setEvacuated(now, ms.sn.Objects)
		case ks.VMs:
			ct.setPeers(ms.sn.Objects)
		}
	}
	ct.progress[ms.kind].cover(now, ms.sn.Revision)
	if ms.kind == ks.Config && !ms.sn.Relayed {
		asked := ms.sn.RequestedAt
		if !ms.sn.FromList {
			asked -= lease.Instant(watchBlind)
		}
		ct.Lease.Renew(asked)
	}
}

func (ct *Controller) setConfig(now time.Time, all map[string]objects.Object) {
	cfg, err := ct.Adapter.DecodeConfig(all)
	if err != nil {
		ct.Log.Warn("configuration is not valid, the one before stays", "error", err.Error())
		return
	}
	if cfg.Version <= ct.version {
		if cfg.Version < ct.version {
			ct.Log.Warn("configuration is older than the one in force, which stays", "version", uint64(cfg.Version),
				"in_force", uint64(ct.version))
		}
		return
	}
	tb, err := routing.New(cfg)
	if err != nil {
		ct.Log.Warn("configuration is not valid, the one before stays", "error", err.Error(), "version", uint64(cfg.Version))
		return
	}
	ct.version = cfg.Version
	limits := make(map[id.Team]quota.Limit, len(cfg.Teams))
	for _, tm := range cfg.Teams {
		limits[tm.Name] = quota.Limit{Rate: tm.Rate, Burst: tm.Burst}
	}
	warm := make(map[id.Pool]place.Warmup, len(cfg.Pools))
	for _, pl := range cfg.Pools {
		warm[pl.Name] = place.Warmup{Period: pl.Warmup, Rate: pl.WarmupRate}
	}
	ct.Ledger.SetLimits(now, limits, ct.counts)
	ct.Placer.SetWarmups(warm)
	ct.Server.SetTable(tb)
	for _, text := range cfg.Warnings {
		ct.Log.Warn("part of the configuration is not understood", "version", uint64(cfg.Version), "detail", text)
	}
	ct.Log.Info("configuration is in force", "version", uint64(cfg.Version), "routes", len(cfg.Routes),
		"teams", len(cfg.Teams))
}

// setTargets takes the registrations. Those that are missing just after the store returned are kept until the targets had
// time to register again.
func (ct *Controller) setTargets(now time.Time, sn objects.Snapshot) {
	next := map[string]place.Target{}
	for name, ob := range sn.Objects {
		tg, err := ct.Adapter.DecodeTarget(ob)
		if err != nil {
			ct.Log.Warn("registration of a target can't be used", "target", name, "error", err.Error())
			continue
		}
		tg.Region = ct.Settings.Regions[tg.FailureDomain]
		next[name] = tg
	}
	settled := sn.RecoveredAt.Add(returnTime)
	for name, tg := range ct.targets {
		if _, ok := next[name]; ok {
			continue
		}
		until, kept := ct.held[name]
		if !kept && !sn.RecoveredAt.IsZero() && now.Before(settled) {
			until, kept = settled, true
			ct.held[name] = until
		}
		if kept && now.Before(until) {
			next[name] = tg
		} else {
			delete(ct.held, name)
		}
	}
	for name := range sn.Objects {
		delete(ct.held, name)
	}
	ct.targets = next
	ct.publishTargets(now)
}

func (ct *Controller) publishTargets(now time.Time) {
	list := make([]place.Target, 0, len(ct.targets))
	for _, tg := range ct.targets {
		list = append(list, tg)
	}
	ct.Placer.SetTargets(now, list)
	ct.Server.KeepLinks(list)
}

// dropHeld gives up targets that have not registered again in time.
func (ct *Controller) dropHeld(now time.Time) {
	dropped := false
	for name, until := range ct.held {
		if now.Before(until) {
			continue
		}
		delete(ct.held, name)
		delete(ct.targets, name)
		dropped = true
		ct.Log.Info("target has not registered again", "target", name)
	}
	if dropped {
		ct.publishTargets(now)
	}
}

func (ct *Controller) setEvacuated(now time.Time, all map[string]objects.Object) {
	domains := map[id.FailureDomain]bool{}
	for _, ob := range all {
		domains[ct.Adapter.DecodeEvacuation(ob)] = true
	}
	ct.Placer.SetEvacuated(now, domains)
	ct.Log.Info("evacuated failure domains changed", "count", len(domains))
}

func (ct *Controller) setPeers(all map[string]objects.Object) {
	ct.peers = ct.peers[:0]
	for name, ob := range all {
		pr, err := ct.Adapter.DecodePeer(ob)
		if err != nil {
			ct.Log.Warn("registration of a VM can't be used", "peer", name, "error", err.Error())
			continue
		}
		ct.peers = append(ct.peers, pr)
	}
	ct.Roster.SetPeers(time.Now(), ct.peers)
	ct.nextState = time.Time{} // greet new VMs at once
}
