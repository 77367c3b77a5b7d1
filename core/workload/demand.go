package workload

import (
	"maps"

	"damasklatch/core/id"
)

// Demand is the average number of slots of a pool that arriving requests keep busy.
type Demand struct {
	Slots float64
	// Bound is the part of Slots that may run only in some regions, by region. Work that may run in several of them is divided
	// equally. It is nil if there is none.
	Bound map[id.Region]float64
}

// Movable returns the part of the demand, in slots, that may run in every region.
func (dm *Demand) Movable() float64 {
	slots := dm.Slots
	for _, part := range dm.Bound {
		slots -= part
	}
	return max(slots, 0)
}

// AddBound adds slots to the part that may run only in a region. It leaves Slots unchanged.
func (dm *Demand) AddBound(name id.Region, slots float64) {
	if dm.Bound == nil {
		dm.Bound = map[id.Region]float64{}
	}
	dm.Bound[name] += slots
}

// Add adds the demand of another VM or region.
func (dm *Demand) Add(more Demand) {
	dm.Slots += more.Slots
	for name, slots := range more.Bound {
		dm.AddBound(name, slots)
	}
}

// Clone returns a copy that shares no memory with dm.
func (dm *Demand) Clone() Demand { return Demand{Slots: dm.Slots, Bound: maps.Clone(dm.Bound)} }
