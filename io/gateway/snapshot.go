package gateway

import (
	"maps"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/lease"
	"damasklatch/core/placement"
	"damasklatch/core/quota"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

// applySnapshot applies the objects of a kind, and renews the lease if the store itself sent the configuration.
func (ct *Controller) applySnapshot(ms snapshotEvent) {
	now := time.Now()
	ks := ct.Adapter.Kinds()
	ct.noteEra(now, ms.sn.Revision.Era())
	if ms.changed {
		ct.loaded[ms.kind] = true
		for _, ob := range ms.sn.Objects {
			ct.latestChanges[ms.kind] = max(ct.latestChanges[ms.kind], ob.Revision)
		}
		switch ms.kind {
		case ks.Config:
			ct.setConfig(now, ms.config)
		case ks.Targets:
			ct.setTargets(now, ms.sn)
		case ks.Evacuations:
			ct.setEvacuated(now, ms.sn.Objects)
		case ks.VMs:
			ct.setPeers(now, ms.sn.Objects)
		}
	}
	ct.progress[ms.kind].advance(now, ms.sn.Revision)
	if ms.kind == ks.Config && !ms.sn.Relayed && !ct.behindPeer() {
		asked := ms.sn.RequestedAt
		if !ms.sn.FromList {
			asked -= lease.Instant(historyLossDelay)
		}
		ct.Lease.Renew(asked)
	}
}

// setConfig puts the configuration into force if it is valid and newer than the current one.
func (ct *Controller) setConfig(now time.Time, dc decodedConfig) {
	cfg, err := dc.config, dc.err
	if err != nil {
		ct.Log.Warn("configuration is not valid, the current one stays in force", "error", err.Error())
		return
	}
	if cfg.Version <= ct.version {
		if cfg.Version < ct.version {
			ct.Log.Warn("configuration is older than the one in force and is ignored", "version", uint64(cfg.Version),
				"in_force", uint64(ct.version))
		}
		return
	}
	tb, err := routing.New(cfg)
	if err != nil {
		ct.Log.Warn("configuration is not valid, the current one stays in force", "error", err.Error(), "version", uint64(cfg.Version))
		return
	}
	ct.version = cfg.Version
	limits := make(map[id.Team]quota.Limit, len(cfg.Teams))
	for _, tm := range cfg.Teams {
		limits[tm.Name] = quota.Limit{Rate: tm.Rate, Burst: tm.Burst}
	}
	warm := make(map[id.Pool]placement.Warmup, len(cfg.Pools))
	for _, pl := range cfg.Pools {
		warm[pl.Name] = placement.Warmup{Period: pl.Warmup, Rate: pl.WarmupRate}
	}
	ct.Ledger.SetLimits(now, limits, ct.isCoordinator)
	ct.Placer.SetWarmups(warm)
	ct.Server.SetTable(tb)
	for _, text := range cfg.Warnings {
		ct.Log.Warn("part of the configuration is ignored", "version", uint64(cfg.Version), "detail", text)
	}
	ct.Log.Info("configuration is in force", "version", uint64(cfg.Version), "routes", len(cfg.Routes),
		"teams", len(cfg.Teams))
}

// setTargets applies the registrations of targets. After an outage of the store, it keeps targets whose registration is
// missing for a while, so that they can register again.
func (ct *Controller) setTargets(now time.Time, sn objects.Snapshot) {
	next := map[string]placement.Target{}
	for name, ob := range sn.Objects {
		tg, err := ct.Adapter.DecodeTarget(ob)
		if err != nil {
			ct.Log.Warn("registration of a target is invalid, it is ignored", "target", name, "error", err.Error())
			continue
		}
		tg.Region = ct.Settings.Regions[tg.FailureDomain]
		next[name] = tg
	}
	recovered := laterOf(sn.RecoveredAt, ct.restored.at)
	settled := recovered.Add(reregisterTime)
	for name, tg := range ct.targets {
		if _, ok := next[name]; ok {
			continue
		}
		until, kept := ct.retained[name]
		if !kept && !recovered.IsZero() && now.Before(settled) {
			until, kept = settled, true
			ct.retained[name] = until
		}
		if kept && now.Before(until) {
			next[name] = tg
		} else {
			delete(ct.retained, name)
		}
	}
	for name := range sn.Objects {
		delete(ct.retained, name)
	}
	ct.restored.noteTargets(now, ct.targets, next)
	ct.targets = next
	ct.publishTargets(now)
}

// publishTargets passes the targets to the placer and the server.
func (ct *Controller) publishTargets(now time.Time) {
	list := make([]placement.Target, 0, len(ct.targets))
	for _, tg := range ct.targets {
		tg.Draining = tg.Draining || ct.restored.targets.Holds(now, tg.ProcessID())
		list = append(list, tg)
	}
	ct.Placer.SetTargets(now, list)
	ct.Server.KeepLinks(list)
}

// dropRetained removes the targets that have not registered again in time.
func (ct *Controller) dropRetained(now time.Time) {
	dropped := false
	for name, until := range ct.retained {
		if now.Before(until) {
			continue
		}
		delete(ct.retained, name)
		delete(ct.targets, name)
		dropped = true
		ct.Log.Info("target removed, as it has not registered again since the outage of the store", "target", name)
	}
	if dropped {
		ct.publishTargets(now)
	}
}

// setEvacuated applies the evacuations in the store.
func (ct *Controller) setEvacuated(now time.Time, all map[string]objects.Object) {
	domains := map[id.FailureDomain]bool{}
	for _, ob := range all {
		domains[ct.Adapter.DecodeEvacuation(ob)] = true
	}
	ct.restored.noteEvacuated(now, ct.evacuated, domains)
	ct.evacuated = domains
	ct.publishEvacuated(now)
}

// publishEvacuated tells the placer which failure domains must get no requests.
func (ct *Controller) publishEvacuated(now time.Time) {
	domains := maps.Clone(ct.evacuated)
	for _, name := range ct.restored.domains.Held(now) {
		domains[name] = true
	}
	ct.Placer.SetEvacuated(now, domains)
	ct.Log.Info("evacuated failure domains changed", "count", len(domains))
}

// setPeers applies the registrations of VMs, and makes the loop send reports to them at once.
func (ct *Controller) setPeers(now time.Time, all map[string]objects.Object) {
	ct.peers = ct.peers[:0]
	registered := false
	for name, ob := range all {
		pr, err := ct.Adapter.DecodePeer(ob)
		if err != nil {
			ct.Log.Warn("registration of a VM is invalid, it is ignored", "peer", name, "error", err.Error())
			continue
		}
		ct.peers = append(ct.peers, pr)
		registered = registered || pr.VM == ct.self.VM && pr.Incarnation == ct.incarnation
	}
	ct.Roster.SetPeers(now, ct.peers)
	ct.checkIncarnation()
	ct.keepRegistered(registered)
	ct.nextRefresh = time.Time{} // send a report to new VMs at once
}
