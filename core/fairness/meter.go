package fairness

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// timeConstant is the time constant of the moving sums of work.
	timeConstant = 2 * time.Second
	// updateInterval is the interval at which the shares are computed again.
	updateInterval = 100 * time.Millisecond
	// shortageFraction is the part of the work that must be refused before the pool counts as short of room.
	shortageFraction = 0.02
	// minWork is the work in seconds below which a team is forgotten, and a pool is never short.
	minWork = 0.01
)

// Weight is a team's part of a pool that has too little room, in any unit.
type Weight float64

// Meter measures the work of each team at a pool. The zero value is ready for use.
type Meter[K comparable] struct {
	teams      map[K]*usage
	level      float64 // share of a team with weight 1, in seconds of work
	short      bool
	nextUpdate time.Time
}

// usage is the recent work of a team, in seconds.
type usage struct {
	weight            float64
	admitted, refused float64
	at                time.Time // of the latest decay
}

// Record records a request of a team and whether it was admitted. Work is the time that it needs.
func (mt *Meter[K]) Record(now time.Time, team K, wt Weight, work time.Duration, admitted bool) {
	us := mt.teams[team]
	if us == nil {
		us = &usage{at: now}
		if mt.teams == nil {
			mt.teams = map[K]*usage{}
		}
		mt.teams[team] = us
	}
	us.decay(now)
	us.weight = max(float64(wt), math.SmallestNonzeroFloat32)
	if admitted {
		us.admitted += work.Seconds()
	} else {
		us.refused += work.Seconds()
	}
}

// Exceeds reports whether the pool has too little room and the team has got more of it than its share.
func (mt *Meter[K]) Exceeds(now time.Time, team K) bool {
	if !now.Before(mt.nextUpdate) {
		mt.update(now)
	}
	us := mt.teams[team]
	return mt.short && us != nil && us.admitted > mt.level*us.weight
}

func (mt *Meter[K]) update(now time.Time) {
	mt.nextUpdate = now.Add(updateInterval)
	var admitted, refused float64
	list := make([]*usage, 0, len(mt.teams))
	for name, us := range mt.teams {
		us.decay(now)
		if us.demand() < minWork {
			delete(mt.teams, name)
			continue
		}
		admitted += us.admitted
		refused += us.refused
		list = append(list, us)
	}
	mt.short = refused > shortageFraction*(admitted+refused) && admitted > minWork
	if mt.short {
		mt.level = fill(list, admitted)
	}
}

// fill returns the share for each unit of weight by which all shares together make up the given work. A team that asks for less gets
// only that.
func fill(list []*usage, work float64) float64 {
	slices.SortFunc(list, func(aa, bb *usage) int { return cmp.Compare(aa.demand()/aa.weight, bb.demand()/bb.weight) })
	weights := 0.0
	for _, us := range list {
		weights += us.weight
	}
	for _, us := range list {
		if us.demand() > work/weights*us.weight {
			return work / weights
		}
		work -= us.demand()
		weights -= us.weight
	}
	return math.Inf(1)
}

func (us *usage) demand() float64 { return us.admitted + us.refused }

func (us *usage) decay(now time.Time) {
	passed := now.Sub(us.at)
	if passed <= 0 {
		return
	}
	factor := math.Exp(-passed.Seconds() / timeConstant.Seconds())
	us.admitted *= factor
	us.refused *= factor
	us.at = now
}
