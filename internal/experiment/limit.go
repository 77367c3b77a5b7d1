package experiment

import (
	"fmt"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
)

// TeamLoad is what one team sends.
type TeamLoad struct {
	Team           id.Team
	Rate           unit.MilliPerSecond // limit of the team
	Burst          unit.Milli
	Factor         float64 // mean offered load as a part of Rate
	FailureDomains []int   // failure domains that receive it, in equal parts; empty means all
}

// LimitResult is what one team got in the measured time. Fleet is a single token bucket with the team's rate and burst
// that sees every request; Static is the equal split over the VMs without loans, in the same run.
type LimitResult struct {
	Team                      id.Team
	Offered                   int
	Admitted                  int
	SingleBucket              int // admitted by the single bucket
	Static                    int // admitted by the static equal split
	Wrongful                  int // refused, while the single bucket admitted
	WrongfulStatic            int
	WrongfulFirstSecond       int           // wrongful refusals of the first second, before the measured time
	LastWrongfulAt            time.Duration // since the start of the load, zero if none
	LastWrongfulInFirstSecond time.Duration // the same within the first second
}

// WrongfulFraction returns wrongful refusals as a part of the offered requests.
func (rs LimitResult) WrongfulFraction() float64 { return part(rs.Wrongful, rs.Offered) }

// WrongfulStaticFraction is WrongfulPart of the static equal split.
func (rs LimitResult) WrongfulStaticFraction() float64 { return part(rs.WrongfulStatic, rs.Offered) }

// ServedFraction returns the admitted requests as a part of the entitlement, which is what the single bucket admitted.
func (rs LimitResult) ServedFraction() float64 { return part(rs.Admitted, rs.SingleBucket) }

// String returns one line of a report.
func (rs LimitResult) String() string {
	return fmt.Sprintf("team=%s offered=%d admitted=%d fleet_bucket=%d static=%d wrongful=%.4f%% wrongful_static=%.4f%% "+
		"service=%.2f%% wrongful_first_second=%d last_wrongful_in_first_second=%v",
		rs.Team, rs.Offered, rs.Admitted, rs.SingleBucket, rs.Static, 100*rs.WrongfulFraction(), 100*rs.WrongfulStaticFraction(),
		100*rs.ServedFraction(), rs.WrongfulFirstSecond, rs.LastWrongfulInFirstSecond)
}

func part(nr, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(nr) / float64(of)
}

// Cost is the traffic of the ledgers in the measured time, sent per VM and second.
type Cost struct {
	MeanMessages, MaxMessages float64
	MeanBytes, MaxBytes       float64
}

// String returns one line of a report.
func (ct Cost) String() string {
	return fmt.Sprintf("per VM and second: messages mean=%.2f max=%.2f, bytes mean=%.0f max=%.0f",
		ct.MeanMessages, ct.MaxMessages, ct.MeanBytes, ct.MaxBytes)
}

// FleetSize is the shape of a fleet.
type FleetSize struct {
	Regions, FailureDomainsPerRegion, VMs int
}

// Sizes of the deployments of today and of the size to design for.
var (
	CurrentSize = FleetSize{Regions: 3, FailureDomainsPerRegion: 2, VMs: 12}
	DesignSize  = FleetSize{Regions: 9, FailureDomainsPerRegion: 2, VMs: 420}
)

const (
	// settleTime lets all buckets fill before the load starts.
	settleTime = 5 * time.Second
	// moveTime is the time in which share has to move; refusals in it are counted apart.
	moveTime = time.Second
)

// SimulateLimits runs the loads for the given time, after a second in which share moves, and returns a result for each
// team and the cost of the ledgers. Requests arrive at random moments (Poisson) at a random VM of their failure
// domains.
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
	end := settleTime + moveTime + measured
	for nr, ld := range loads {
		results[nr].Team = ld.Team
		fl.offer(ld, end, &results[nr])
	}
	fl.runUntil(settleTime + moveTime)
	for _, fv := range fl.vms {
		fv.messages, fv.bytes = 0, 0
	}
	fl.runUntil(end)
	return results, fl.cost(measured)
}

// offer schedules the requests of a team.
func (fl *fleet) offer(ld TeamLoad, end time.Duration, rs *LimitResult) {
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
	fl.poisson(settleTime, end, mean, func() {
		fv := vms[fl.rng.IntN(len(vms))]
		lent, _ := fv.ledger.Bucket(resource)
		rs.count(fl.now-settleTime, outcome{
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

// outcome tells which of the three ways of limiting admitted one request.
type outcome struct{ ledger, static, single bool }

func (rs *LimitResult) count(since time.Duration, oc outcome) {
	wrongful := oc.single && !oc.ledger
	if since < moveTime {
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
