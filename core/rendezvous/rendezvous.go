// Package rendezvous implements rendezvous hashing (highest random weight). All VMs that know the same names make the same
// choice for a key without exchanging messages. If a name is removed, only the keys assigned to it move to other names.
package rendezvous

// Hash returns a hash of a sequence of strings. It is the same in all processes.
func Hash(parts ...string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211 // FNV-1a, 64 bits
	sum := uint64(offset)
	for _, part := range parts {
		for nr := range len(part) {
			sum = (sum ^ uint64(part[nr])) * prime
		}
		sum = (sum ^ 0xff) * prime // separates the strings; 0xff does not occur in UTF-8
	}
	return Mix(sum)
}

// Mix distributes the entropy of a value over all its bits. It is the finalizer of splitmix64.
func Mix(val uint64) uint64 {
	val ^= val >> 30
	val *= 0xbf58476d1ce4e5b9
	val ^= val >> 27
	val *= 0x94d049bb133111eb
	return val ^ val>>31
}

// Weight returns the weight of a name for a key. Pick chooses the name with the highest weight.
func Weight[T ~string](key uint64, name T) uint64 { return Mix(key ^ Hash(string(name))) }

// Pick returns the name with the highest weight for a key, and false if there are no names.
func Pick[T ~string](key uint64, names []T) (T, bool) {
	var best T
	var most uint64
	for nr, name := range names {
		if weight := Weight(key, name); nr == 0 || weight > most {
			best, most = name, weight
		}
	}
	return best, len(names) > 0
}
