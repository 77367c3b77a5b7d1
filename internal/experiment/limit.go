package experiment

import (
	"fmt"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
)

// TeamLoad describes the requests that one team sends.
type TeamLoad struct {
	Team           id.Team
	Rate           unit.MilliPerSecond // configured rate limit
	Burst          unit.Milli
	Factor         float64 // mean offered load relative to Rate
	FailureDomains []int   // numbers of the failure domains whose VMs receive the load evenly; empty means all
}

// LimitResult counts the requests of one team in the measured time. Two baselines see the same requests: a single token
// bucket with the team's rate and burst, which is the ideal, and a static equal split over the VMs without loans. A
// refusal is wrongful if the single bucket admitted the request.
type LimitResult struct {
	Team                      id.Team
	Offered                   int
	Admitted                  int
	SingleBucket              int           // admitted by the single token bucket
	Static                    int           // admitted by the static equal split
	Wrongful                  int           // wrongful refusals by the ledgers
	WrongfulStatic            int           // wrongful refusals by the static equal split
	WrongfulFirstSecond       int           // wrongful refusals in the first second, before the measured time
	LastWrongfulAt            time.Duration // since the start of the load; zero if there was none
	LastWrongfulInFirstSecond time.Duration // the same for the first second
}

// WrongfulFraction returns the wrongful refusals as a fraction of the offered requests.
func (rs LimitResult) WrongfulFraction() float64 { return fraction(rs.Wrongful, rs.Offered) }

// WrongfulStaticFraction returns the wrongful refusals of the static equal split as a fraction of the offered requests.
func (rs LimitResult) WrongfulStaticFraction() float64 {
	return fraction(rs.WrongfulStatic, rs.Offered)
}

// ServedFraction returns the admitted requests as a fraction of the team's entitlement, which is the number of requests
// that the single bucket admitted.
func (rs LimitResult) ServedFraction() float64 { return fraction(rs.Admitted, rs.SingleBucket) }

// String returns the result as one line of a report.
func (rs LimitResult) String() string {
	return fmt.Sprintf("team=%s offered=%d admitted=%d fleet_bucket=%d static=%d wrongful=%.4f%% wrongful_static=%.4f%% "+
		"service=%.2f%% wrongful_first_second=%d last_wrongful_in_first_second=%v",
		rs.Team, rs.Offered, rs.Admitted, rs.SingleBucket, rs.Static, 100*rs.WrongfulFraction(), 100*rs.WrongfulStaticFraction(),
		100*rs.ServedFraction(), rs.WrongfulFirstSecond, rs.LastWrongfulInFirstSecond)
}

// fraction returns nr divided by of, or zero if of is zero.
func fraction(nr, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(nr) / float64(of)
}

// Cost is the traffic that the ledgers send in the measured time, in messages and bytes per VM and second.
type Cost struct {
	MeanMessages, MaxMessages float64
	MeanBytes, MaxBytes       float64
}

// String returns the cost as one line of a report.
func (ct Cost) String() string {
	return fmt.Sprintf("per VM and second: messages mean=%.2f max=%.2f, bytes mean=%.0f max=%.0f",
		ct.MeanMessages, ct.MaxMessages, ct.MeanBytes, ct.MaxBytes)
}

// FleetSize is the number of regions, of failure domains in each region, and of VMs in the whole fleet.
type FleetSize struct {
	Regions, FailureDomainsPerRegion, VMs int
}

// CurrentSize is the size of today's deployments, and DesignSize the size that the design must support.
var (
	CurrentSize = FleetSize{Regions: 3, FailureDomainsPerRegion: 2, VMs: 12}
	DesignSize  = FleetSize{Regions: 9, FailureDomainsPerRegion: 2, VMs: 420}
)

const (
	// settleTime is the time before the load starts, in which all buckets fill.
	settleTime = 5 * time.Second
	// rebalanceTime is the time after the start of the load in which the ledgers have to move shares by loans. Refusals in
	// it are counted separately.
	rebalanceTime = time.Second
)

// SimulateLimits applies the loads for rebalanceTime and then for the measured time. It returns a result for each team and
// the traffic of the ledgers. Requests arrive as a Poisson process, each at a random VM of the team's failure domains.
func SimulateLimits(seed uint64, sz FleetSize, loads []TeamLoad, measured time.Duration) ([]LimitResult, Cost) {
	var sps []limit.Spec
	for _, ld := range loads {
		sps = append(sps, limit.Spec{
			Resource: limit.TeamResource(ld.Team), Kind: limit.KindBucket, Scope: limit.ScopeFleet,
			Rate: ld.Rate, Burst: ld.Burst,
		})
	}
	fl := newFleet(seed, sz.Regions, sz.FailureDomainsPerRegion, sz.VMs, sps)
	results := make([]LimitResult, len(loads))
	end := settleTime + rebalanceTime + measured
	for nr, ld := range loads {
		results[nr].Team = ld.Team
		fl.scheduleRequests(ld, end, &results[nr])
	}
	fl.runUntil(settleTime + rebalanceTime)
	for _, fv := range fl.vms {
		fv.messages, fv.bytes = 0, 0
	}
	fl.runUntil(end)
	return results, fl.cost(measured)
}

// scheduleRequests schedules the requests of a team until end and counts their outcomes in rs.
func (fl *fleet) scheduleRequests(ld TeamLoad, end time.Duration, rs *LimitResult) {
	var vms []*fleetVM
	for _, fv := range fl.vms {
		if len(ld.FailureDomains) == 0 || contains(ld.FailureDomains, fv.fd) {
			vms = append(vms, fv)
		}
	}
	single := limit.New(id.VMIncarnation{VM: "single", Incarnation: 1}, limit.Settings{})
	resource := limit.TeamResource(ld.Team)
	single.SetSpecs(fl.clock(), []limit.Spec{{
		Resource: resource, Kind: limit.KindBucket, Scope: limit.ScopeFleet, Rate: ld.Rate, Burst: ld.Burst,
	}})
	single.SetOwned(fl.clock(), limit.OwnedFractions{PPM: unit.Whole})
	bucket, _ := single.Bucket(resource)
	mean := ld.Factor * float64(ld.Rate) / float64(unit.One)
	fl.scheduleArrivals(settleTime, end, mean, func() {
		fv := vms[fl.rng.IntN(len(vms))]
		lent, _ := fv.ledger.Bucket(resource)
		rs.record(fl.now-settleTime, outcome{
			ledger: lent.Take(fl.clock(), unit.One),
			static: fv.static[resource].Take(fl.clock(), unit.One),
			single: bucket.Take(fl.clock(), unit.One),
		})
	})
}

func contains(list []int, nr int) bool {
	for _, ot := range list {
		if ot == nr {
			return true
		}
	}
	return false
}

// outcome reports which of the three ways of limiting admitted a request.
type outcome struct{ ledger, static, single bool }

// record counts the outcome of a request; since is the time from the start of the load.
func (rs *LimitResult) record(since time.Duration, oc outcome) {
	wrongful := oc.single && !oc.ledger
	if since < rebalanceTime {
		if wrongful {
			rs.WrongfulFirstSecond++
			rs.LastWrongfulInFirstSecond = since
		}
		return
	}
	rs.Offered++
	if oc.ledger {
		rs.Admitted++
	}
	if oc.single {
		rs.SingleBucket++
	}
	if oc.static {
		rs.Static++
	}
	if wrongful {
		rs.Wrongful++
		rs.LastWrongfulAt = since
	}
	if oc.single && !oc.static {
		rs.WrongfulStatic++
	}
}

// cost returns the mean and the maximum traffic over the VMs.
func (fl *fleet) cost(measured time.Duration) Cost {
	var ct Cost
	seconds := measured.Seconds()
	for _, fv := range fl.vms {
		msgs, bytes := float64(fv.messages)/seconds, float64(fv.bytes)/seconds
		ct.MeanMessages += msgs / float64(len(fl.vms))
		ct.MeanBytes += bytes / float64(len(fl.vms))
		ct.MaxMessages, ct.MaxBytes = max(ct.MaxMessages, msgs), max(ct.MaxBytes, bytes)
	}
	return ct
}
