package membership

import (
	"time"

	"damasklatch/core/id"
)

// freshness holds the time of the newest known contact with the store and with each failure domain. If the exact time of a
// contact is unknown, an earlier time is used, so that the contact never appears more recent than it was.
type freshness struct {
	storeContact    time.Time
	hasStoreContact bool
	contacts        map[id.FailureDomain]time.Time
}

// ContactAge is the time since the newest contact with a failure domain.
type ContactAge struct {
	FailureDomain id.FailureDomain
	Age           time.Duration
}

// RecordStoreContact records that the store was reached at the given time.
func (tb *Table) RecordStoreContact(at time.Time) {
	if !tb.fresh.hasStoreContact || at.After(tb.fresh.storeContact) {
		tb.fresh.storeContact, tb.fresh.hasStoreContact = at, true
	}
}

// RecordContact records that a VM of the failure domain answered a request. sent is when the request was sent. The answer was
// sent later, so sent is a safe lower bound for the time of the contact.
func (tb *Table) RecordContact(fd id.FailureDomain, sent time.Time) {
	if sent.After(tb.fresh.contacts[fd]) {
		tb.fresh.contacts[fd] = sent
	}
}

// MergeContactAges adds the contact ages that another VM gave in its answer to a request. sent is when the request was sent. A
// negative storeAge means that the other VM has no evidence that the store was reached.
func (tb *Table) MergeContactAges(sent time.Time, storeAge time.Duration, ages []ContactAge) {
	if storeAge >= 0 {
		tb.RecordStoreContact(sent.Add(-storeAge))
	}
	for _, ag := range ages {
		tb.RecordContact(ag.FailureDomain, sent.Add(-ag.Age))
	}
}

// StoreAge returns the time since the newest known contact with the store. It reports false if there was none.
func (tb *Table) StoreAge(now time.Time) (time.Duration, bool) {
	return now.Sub(tb.fresh.storeContact), tb.fresh.hasStoreContact
}

// ContactAges returns the contact ages of all failure domains with a known contact, and the table's own one with age zero.
func (tb *Table) ContactAges(now time.Time) []ContactAge {
	ages := []ContactAge{{FailureDomain: tb.self.FailureDomain}}
	for fd, at := range tb.fresh.contacts {
		if fd != tb.self.FailureDomain {
			ages = append(ages, ContactAge{FailureDomain: fd, Age: now.Sub(at)})
		}
	}
	return ages
}
