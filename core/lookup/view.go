package lookup

import (
	"cmp"
	"slices"

	"damasklatch/core/id"
)

// VM is an entry VM that a look-up may return.
type VM struct {
	ID            id.VMIncarnation
	FailureDomain id.FailureDomain
	CallerAddress string
	FreeSlots     map[id.Pool]int // as last reported, typically some hundred milliseconds ago
}

// View is a snapshot of the state of the entry VMs.
type View struct {
	domains map[id.FailureDomain]*domainView
}

// domainView holds the entry VMs of a failure domain.
type domainView struct {
	vms  []*VM           // sorted by name
	free map[id.Pool]int // free slots of all VMs together
}

// NewView returns a view of the given VMs, which must be alive and not leaving. The view keeps pointers into the slice, so
// the caller must not change it afterwards.
func NewView(vms []VM) *View {
	vw := &View{domains: make(map[id.FailureDomain]*domainView)}
	for nr := range vms {
		vm := &vms[nr]
		dv := vw.domains[vm.FailureDomain]
		if dv == nil {
			dv = &domainView{free: make(map[id.Pool]int)}
			vw.domains[vm.FailureDomain] = dv
		}
		dv.vms = append(dv.vms, vm)
		for pl, free := range vm.FreeSlots {
			dv.free[pl] += free
		}
	}
	for _, dv := range vw.domains {
		slices.SortFunc(dv.vms, func(vm, ot *VM) int { return cmp.Compare(vm.ID.VM, ot.ID.VM) })
	}
	return vw
}
