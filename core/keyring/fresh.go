package keyring

import (
	"math"
	"time"

	"damasklatch/core/id"
)

// Evidence tells how old a VM's knowledge of the outside is. An age is the time since the evidence, with the delays
// of every hop added up; a negative age means that there is no evidence.
type Evidence struct {
	// StoreAge is the age of the newest proof that the store was reached: any response, also an error response or a
	// refused connection, by this VM or by a peer that told it.
	StoreAge time.Duration
	// ContactAges holds the age of the newest message from each failure domain, directly or through others.
	ContactAges map[id.FailureDomain]time.Duration
}

// NoEvidence is the age of evidence that does not exist.
const NoEvidence time.Duration = -1

// Fresh reports whether a VM of the failure domain self may serve routes of teams: within the limit it has proof
// that the store was reached, or it has heard from every other failure domain of the configuration, so that an
// announced revocation would have reached it. A limit of zero switches the rule off.
//
// A configuration without any other failure domain proves nothing by hearing from all of them, so it needs the store.
func Fresh(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain, ev Evidence) bool {
	return FreshFor(limit, self, domains, ev) >= 0
}

// FreshFor returns for how long the VM stays fresh, in the sense of Fresh, without further evidence. It is negative
// if the VM is not fresh. A process that was paused must not go by what it decided before, so callers check the time
// when they use a key.
func FreshFor(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain, ev Evidence) time.Duration {
	if limit == 0 {
		return math.MaxInt64
	}
	return max(remainingLife(ev.StoreAge, limit), freshByContacts(limit, self, domains, ev.ContactAges))
}

// freshByContacts is the part of Remaining that follows from messages of all other failure domains.
func freshByContacts(limit time.Duration, self id.FailureDomain, domains []id.FailureDomain,
	heard map[id.FailureDomain]time.Duration,
) time.Duration {
	least, others := limit, 0
	for _, fd := range domains {
		if fd == self {
			continue
		}
		others++
		age, ok := heard[fd]
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

// notFresh is the remaining time without evidence.
const notFresh time.Duration = -1

func remainingLife(age, limit time.Duration) time.Duration {
	if age < 0 || age > limit {
		return notFresh
	}
	return limit - age
}
