package unit

import "math/bits"

// mulDiv returns a*b/c, rounded down, for non-negative a and b and positive c. The product is computed in 128 bits.
// The quotient must fit in 63 bits, which holds whenever b <= c.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	quo, _ := bits.Div64(hi, lo, uint64(c))
	return int64(quo)
}
