package limit

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Ledger holds the shares of one VM incarnation. Its methods must be called from one goroutine, except Bucket and
// Slots.
type Ledger struct {
	self     id.VMIncarnation
	settings Settings
	owned    OwnedFractions
	leaving  bool
	sequence uint64 // of the latest item sent
	messages Bucket // limits the rate of requests
	rotation int    // index of the resource that the next Tick serves first
	buckets  map[id.Resource]*account
	slots    map[id.Resource]*slotAccount
	view     atomic.Pointer[view]
}

// view holds the resources that Bucket and Slots look up from any goroutine. It is immutable.
type view struct {
	buckets map[id.Resource]*Bucket
	slots   map[id.Resource]*Slots
}

// account is the state of one resource of KindBucket.
type account struct {
	spec          Spec
	present       bool // the configuration in force has the resource
	owned         Amount
	bucket        *Bucket
	debits        map[id.VMIncarnation]*debit
	conversations map[id.VMIncarnation]*conversation
	demand        demand
	backoff       backoff
}

// slotAccount is the state of one resource of KindSlots.
type slotAccount struct {
	spec    Spec
	present bool
	slots   *Slots
}

// New returns a ledger that owns nothing and has no resources.
func New(self id.VMIncarnation, st Settings) *Ledger {
	lg := &Ledger{
		self:     self,
		settings: st.withDefaults(),
		buckets:  make(map[id.Resource]*account),
		slots:    make(map[id.Resource]*slotAccount),
	}
	rate := unit.Milli(lg.settings.RequestRate) * unit.One
	lg.messages.own = Amount{Rate: unit.MilliPerSecond(rate), Burst: unit.MilliPerSecond(rate).Over(requestBurst)}
	lg.messages.updateLimit()
	lg.messages.fill()
	lg.publish()
	return lg
}

// Bucket returns the bucket of a resource. The bucket stays valid when the configuration changes. If the new
// configuration lacks the resource, the bucket refuses everything.
func (lg *Ledger) Bucket(rs id.Resource) (*Bucket, bool) {
	bk, ok := lg.view.Load().buckets[rs]
	return bk, ok
}

// Slots returns the slots of a resource. They stay valid in the same way as a bucket.
func (lg *Ledger) Slots(rs id.Resource) (*Slots, bool) {
	sl, ok := lg.view.Load().slots[rs]
	return sl, ok
}

// SetSpecs replaces the totals of all resources. The owned amounts change at once; loans granted under earlier totals
// end when they expire. A resource that is not listed has a total of zero. Its lent amounts stay on record until the
// loans have expired, even if the resource is listed again before that.
func (lg *Ledger) SetSpecs(now time.Time, sps []Spec) {
	for _, ac := range lg.buckets {
		ac.present = false
	}
	for _, sa := range lg.slots {
		sa.present = false
	}
	for _, sp := range sps {
		switch sp.Kind {
		case KindBucket:
			ac, ok := lg.buckets[sp.Resource]
			if !ok {
				ac = newAccount()
				lg.buckets[sp.Resource] = ac
			}
			ac.spec, ac.present = sp, true
		case KindSlots:
			sa, ok := lg.slots[sp.Resource]
			if !ok {
				sa = &slotAccount{slots: new(Slots)}
				lg.slots[sp.Resource] = sa
			}
			sa.spec, sa.present = sp, true
		}
	}
	lg.applyFractions(now)
	lg.publish()
}

// SetLoanDuration sets the duration of loans that are granted from now on. A duration that is not positive selects
// the default.
func (lg *Ledger) SetLoanDuration(dr time.Duration) {
	lg.settings.LoanDuration = dr
	lg.settings = lg.settings.withDefaults()
}

// SetOwned replaces the fractions that the VM owns. After taking over an entry of the ownership record, the caller
// must wait Settings.ReuseAfter from the successful write before it calls SetOwned, because loans granted by the
// earlier owner may be in use until then.
func (lg *Ledger) SetOwned(now time.Time, ow OwnedFractions) {
	lg.owned = ow
	lg.applyFractions(now)
}

// Status returns the state of every resource in the configuration, ordered by name.
func (lg *Ledger) Status(now time.Time) []ResourceStatus {
	var sts []ResourceStatus
	for rs, ac := range lg.buckets {
		if !ac.present {
			continue
		}
		sn := ac.bucket.snapshot(now)
		sts = append(sts, ResourceStatus{
			Resource: rs, Kind: KindBucket, Owned: ac.owned, Lent: ac.lent(now), Borrowed: sn.borrowed(),
			Usable: sn.usable, Demand: ac.demand.rate, Admitted: sn.admitted, Refused: sn.refused,
		})
	}
	for rs, sa := range lg.slots {
		if !sa.present {
			continue
		}
		st := ResourceStatus{Resource: rs, Kind: KindSlots}
		st.Slots, st.InFlight, st.Admitted, st.Refused = sa.slots.status()
		sts = append(sts, st)
	}
	slices.SortFunc(sts, func(st, ot ResourceStatus) int {
		return cmp.Or(cmp.Compare(st.Resource, ot.Resource), cmp.Compare(st.Kind, ot.Kind))
	})
	return sts
}

func newAccount() *account {
	return &account{
		bucket:        new(Bucket),
		debits:        make(map[id.VMIncarnation]*debit),
		conversations: make(map[id.VMIncarnation]*conversation),
	}
}

// applyFractions computes the owned amounts from the totals and the owned fractions.
func (lg *Ledger) applyFractions(now time.Time) {
	for _, ac := range lg.buckets {
		ac.owned = Amount{}
		if ac.present {
			total := Amount{Rate: ac.spec.Rate, Burst: ac.spec.Burst}
			ac.owned = total.share(lg.owned.PPM, lg.owned.scopeFraction(ac.spec))
		} else {
			ac.bucket.dropLoans(now)
		}
		ac.updateBucket(now, 0)
	}
	for _, sa := range lg.slots {
		var limit unit.Milli
		if sa.present {
			limit = unit.Milli(unit.Share(int64(sa.spec.Slots), lg.owned.PPM, lg.owned.scopeFraction(sa.spec)))
		}
		sa.slots.setLimit(limit)
	}
}

// publish makes the resources of the current configuration visible to Bucket and Slots.
func (lg *Ledger) publish() {
	vw := &view{buckets: make(map[id.Resource]*Bucket), slots: make(map[id.Resource]*Slots)}
	for rs, ac := range lg.buckets {
		if ac.present {
			vw.buckets[rs] = ac.bucket
		}
	}
	for rs, sa := range lg.slots {
		if sa.present {
			vw.slots[rs] = sa.slots
		}
	}
	lg.view.Store(vw)
}

// removeUnused deletes resources that are no longer configured and have no lent amounts or used slots.
func (lg *Ledger) removeUnused() {
	for rs, ac := range lg.buckets {
		if !ac.present && len(ac.debits) == 0 {
			delete(lg.buckets, rs)
		}
	}
	for rs, sa := range lg.slots {
		if !sa.present && sa.slots.idle() {
			delete(lg.slots, rs)
		}
	}
}
