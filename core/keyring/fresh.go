package keyring

import (
	"math"
	"time"

	"damasklatch/core/id"
)

// Evidence holds the ages of a VM's newest contacts with the store and with the failure domains. An age includes the delay at
// every hop. A negative age means that there was no contact.
type Evidence struct {
	// StoreAge is the age of the newest contact with the store, by this VM or by a peer that reported it. Any response of the
	// store is a contact, including an error response and a refused connection.
	StoreAge time.Duration
	// ContactAges holds the age of the newest message from each failure domain, received directly or through other VMs.
	ContactAges map[id.FailureDomain]time.Duration
}

// NoEvidence is the age for a contact that never took place.
const NoEvidence time.Duration = -1

// Fresh reports whether a VM of the failure domain self may serve routes of teams. It may if, within the limit, it had contact
// with the store or with every other failure domain of the configuration. In the second case an announced revocation would
// have reached it. A limit of zero disables the rule, so that Fresh is always true.
//
// If the configuration has no other failure domain, only a contact with the store counts.
func Fresh(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain, ev Evidence) bool {
	return FreshFor(limit, self, domains, ev) >= 0
}

// FreshFor returns how long the VM stays fresh, as defined by Fresh, without further contacts. It is negative if the VM is not
// fresh. Callers must compare the resulting deadline with the clock each time they accept a key, because the process may have
// been paused since FreshFor was called.
func FreshFor(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain, ev Evidence) time.Duration {
	if limit == 0 {
		return math.MaxInt64
	}
	return max(remainingLife(ev.StoreAge, limit), freshByContacts(limit, self, domains, ev.ContactAges))
}

// freshByContacts returns how long the VM stays fresh because of its contacts with all other failure domains.
func freshByContacts(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain,
	ages map[id.FailureDomain]time.Duration,
) time.Duration {
	least, others := limit, 0
	for _, fd := range domains {
		if fd == self {
			continue
		}
		others++
		age, ok := ages[fd]
		if !ok {
			return notFresh
		}
		least = min(least, remainingLife(age, limit))
	}
	if others == 0 {
		return notFresh
	}
	return least
}

// notFresh is the remaining time of a VM that is not fresh.
const notFresh time.Duration = -1

// remainingLife returns how long a contact of the given age still counts.
func remainingLife(age, limit time.Duration) time.Duration {
	if age < 0 || age > limit {
		return notFresh
	}
	return limit - age
}
