package restore

import "time"

const (
	// MaxCopyAge is the age up to which a copy may be when the store is restored from it.
	MaxCopyAge = 30 * time.Second
	// RewriteTime is the time after a restore within which owners write again what the store has lost.
	RewriteTime = 10 * time.Second
)

// Memory remembers what was withdrawn within MaxCopyAge. The zero value is empty.
type Memory[K comparable] struct {
	withdrawn map[K]time.Time // when each key was withdrawn
	held      map[K]bool      // keys that a restore may have brought back
	heldUntil time.Time
}

// Withdraw records that a key is withdrawn. Of several calls, the first counts.
func (mm *Memory[K]) Withdraw(now time.Time, key K) {
	if mm.withdrawn == nil {
		mm.withdrawn = map[K]time.Time{}
	}
	if _, ok := mm.withdrawn[key]; !ok {
		mm.withdrawn[key] = now
	}
}

// Release records that a key is no longer withdrawn, by the word of its owner.
func (mm *Memory[K]) Release(key K) {
	delete(mm.withdrawn, key)
	delete(mm.held, key)
}

// Restored records that the store was restored from a copy: what was withdrawn stays so for RewriteTime.
func (mm *Memory[K]) Restored(now time.Time) {
	if !now.Before(mm.heldUntil) || mm.held == nil {
		mm.held = map[K]bool{}
	}
	for key, at := range mm.withdrawn {
		if now.Sub(at) <= MaxCopyAge {
			mm.held[key] = true
		}
	}
	mm.heldUntil = now.Add(RewriteTime)
}

// Holds reports whether a key stays withdrawn although the store has it.
func (mm *Memory[K]) Holds(now time.Time, key K) bool {
	return mm.held[key] && now.Before(mm.heldUntil)
}

// Held returns the keys that stay withdrawn.
func (mm *Memory[K]) Held(now time.Time) []K {
	var list []K
	for key := range mm.held {
		if mm.Holds(now, key) {
			list = append(list, key)
		}
	}
	return list
}

// Prune forgets what has no effect any more. Keys that are withdrawn for longer than MaxCopyAge are in every copy as well. It reports whether keys that were held are free from now on.
func (mm *Memory[K]) Prune(now time.Time) bool {
	for key, at := range mm.withdrawn {
		if now.Sub(at) > MaxCopyAge {
			delete(mm.withdrawn, key)
		}
	}
	if len(mm.held) == 0 || now.Before(mm.heldUntil) {
		return false
	}
	mm.held = nil
	return true
}
