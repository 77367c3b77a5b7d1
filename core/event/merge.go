package event

import "slices"

// Merge returns the events of several processes sorted by stamp, so that causes come before their effects.
func Merge(lists ...[]Event) []Event {
	all := slices.Concat(lists...)
	slices.SortStableFunc(all, func(ev, ot Event) int {
		switch {
		case ev.Stamp.Less(ot.Stamp):
			return -1
		case ot.Stamp.Less(ev.Stamp):
			return 1
		default:
			return 0
		}
	})
	return all
}
