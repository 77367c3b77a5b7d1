package daemon

import (
	"time"

	"github.com/uber-go/tally/v4"

	"damasklatch/core/limit"
	"damasklatch/core/membership"
	"damasklatch/core/unit"
)

// gauges holds the metrics of the control state. Only the control goroutine uses it.
type gauges struct {
	scope tally.Scope
	ready tally.Gauge
	gen   tally.Gauge
	fresh tally.Gauge
	// tagged caches the gauges that have tags, because looking one up in the scope allocates a map.
	tagged map[gaugeKey]*taggedGauge
}

// gaugeKey identifies a gauge by its name and the values of at most two tags.
type gaugeKey struct{ name, first, second string }

type taggedGauge struct {
	tally.Gauge
	set bool // updated since the last endRound
}

func newGauges(scope tally.Scope) *gauges {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &gauges{
		scope: scope, ready: scope.Gauge("ready"), gen: scope.Gauge("generation"),
		fresh: scope.Gauge("keys_fresh_seconds"), tagged: make(map[gaugeKey]*taggedGauge),
	}
}

func (gs *gauges) update(key gaugeKey, tags map[string]string, value float64) {
	tg := gs.tagged[key]
	if tg == nil {
		tg = &taggedGauge{Gauge: gs.scope.Tagged(tags).Gauge(key.name)}
		gs.tagged[key] = tg
	}
	tg.Update(value)
	tg.set = true
}

func (gs *gauges) resource(name string, rs limit.ResourceStatus, value float64) {
	gs.update(gaugeKey{name, string(rs.Resource), ""}, map[string]string{"resource": string(rs.Resource)}, value)
}

// endRound sets to zero the gauges that were not updated since the last call, because their resource, pool or state no
// longer exists.
func (gs *gauges) endRound() {
	for _, tg := range gs.tagged {
		if !tg.set {
			tg.Update(0)
		}
		tg.set = false
	}
}

// setGauges updates the metrics of the control state.
func (ct *Controller) setGauges(now time.Time) {
	gs := ct.gauges
	defer gs.endRound()
	count := make(map[membership.State]int)
	for _, mb := range ct.Members.Members() {
		count[mb.State]++
	}
	for _, st := range []membership.State{membership.Alive, membership.Leaving, membership.Suspect, membership.Dead} {
		gs.update(gaugeKey{"members", string(st), ""}, map[string]string{"state": string(st)}, float64(count[st]))
	}
	gs.gen.Update(float64(ct.generation()))
	if ct.cfg == nil {
		gs.ready.Update(0)
		gs.fresh.Update(0)
		return
	}
	gs.ready.Update(1)
	gs.fresh.Update(max(ct.freshUntil(now).Sub(now), 0).Seconds())
	whole := func(value int64) float64 { return float64(value) / float64(unit.One) }
	for _, rs := range ct.Ledger.Status(now) {
		if rs.Kind == limit.KindSlots {
			gs.resource("slots_owned", rs, whole(int64(rs.Slots)))
			gs.resource("slots_in_flight", rs, whole(int64(rs.InFlight)))
			continue
		}
		gs.resource("share_owned", rs, whole(int64(rs.Owned.Rate)))
		gs.resource("share_lent", rs, whole(int64(rs.Lent.Rate)))
		gs.resource("share_borrowed", rs, whole(int64(rs.Borrowed.Rate)))
	}
	type poolState struct{ pool, state string }
	targets := make(map[poolState]int)
	for _, tg := range ct.targets(now) {
		targets[poolState{tg.GetPool(), tg.GetState()}]++
	}
	for ps, nr := range targets {
		gs.update(gaugeKey{"targets", ps.pool, ps.state}, map[string]string{"pool": ps.pool, "state": ps.state}, float64(nr))
	}
}
