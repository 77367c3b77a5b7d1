package report

import (
	"cmp"
	"math"
	"slices"

	"damasklatch/core/id"
)

// minRegionHeadroom returns the smallest headroom of any region during the run. The headroom is the capacity of the
// region less the number of requests that its targets hold at the same time; it is negative if the region is
// overloaded. The result is zero if no region has a capacity.
func (in *Input) minRegionHeadroom() int {
	region := make(map[id.FailureDomain]id.Region)
	for _, fd := range in.FailureDomains {
		region[fd.Name] = fd.Region
	}
	least := math.MaxInt
	for _, rg := range in.Regions {
		if rg.Capacity > 0 {
			least = min(least, rg.Capacity-in.maxConcurrent(func(fd id.FailureDomain) bool { return region[fd] == rg.Name }))
		}
	}
	if least == math.MaxInt {
		return 0
	}
	return least
}

// maxConcurrent returns the largest number of requests that the targets of the selected failure domains held at the
// same time. Waiting requests are included, refused ones are not.
func (in *Input) maxConcurrent(within func(id.FailureDomain) bool) int {
	type change struct {
		at int64
		by int
	}
	var chs []change
	for nr := range in.Work {
		wk := &in.Work[nr]
		if wk.Started() && within(wk.FailureDomain) {
			chs = append(chs, change{wk.ArrivedAt, 1}, change{wk.EndedAt, -1})
		}
	}
	slices.SortFunc(chs, func(ch, ot change) int { return cmp.Or(cmp.Compare(ch.at, ot.at), cmp.Compare(ch.by, ot.by)) })
	now, most := 0, 0
	for _, ch := range chs {
		now += ch.by
		most = max(most, now)
	}
	return most
}
