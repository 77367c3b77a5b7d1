package member

import (
	"time"

	"damasklatch/core/id"
)

// freshness remembers the newest evidence of contact with the store and with each failure domain. A time is that of
// the contact, or earlier: uncertainty always makes the evidence older.
type freshness struct {
	storeContact    time.Time
	hasStoreContact bool
	contacts        map[id.FailureDomain]time.Time
}

// ContactAge is how long ago something was heard from a failure domain.
type ContactAge struct {
	FailureDomain id.FailureDomain
	Age           time.Duration
}

// RecordStoreContact notes that the store was reached at the time given.
func (tb *Table) RecordStoreContact(at time.Time) {
	if !tb.fresh.hasStoreContact || at.After(tb.fresh.storeContact) {
		tb.fresh.storeContact, tb.fresh.hasStoreContact = at, true
	}
}

// RecordContact notes an answer of a VM in the failure domain to a request that was sent at the time given. The answer left
// after the request, so the time of sending is a safe lower bound.
func (tb *Table) RecordContact(fd id.FailureDomain, sent time.Time) {
	if sent.After(tb.fresh.contacts[fd]) {
		tb.fresh.contacts[fd] = sent
	}
}

// MergeContactAges takes in what another VM knows, from its answer to a request that was sent at the time given. A negative
// store age means no evidence.
func (tb *Table) MergeContactAges(sent time.Time, storeAge time.Duration, ages []ContactAge) {
	if storeAge >= 0 {
		tb.RecordStoreContact(sent.Add(-storeAge))
	}
	for _, ag := range ages {
		tb.RecordContact(ag.FailureDomain, sent.Add(-ag.Age))
	}
}

// StoreAge returns the age of the newest evidence that the store was reached.
func (tb *Table) StoreAge(now time.Time) (time.Duration, bool) {
	return now.Sub(tb.fresh.storeContact), tb.fresh.hasStoreContact
}

// ContactAges returns the age of the newest contact with each failure domain that was ever heard. The own one has age zero.
func (tb *Table) ContactAges(now time.Time) []ContactAge {
	ages := []ContactAge{{FailureDomain: tb.self.FailureDomain}}
	for fd, at := range tb.fresh.contacts {
		if fd != tb.self.FailureDomain {
			ages = append(ages, ContactAge{FailureDomain: fd, Age: now.Sub(at)})
		}
	}
	return ages
}
