package unit

import "time"

// Milli is an amount in thousandths of a unit. The resource determines the unit: a token, a slot, a request or a
// byte. When many VMs divide a small total, their shares are fractions of a unit.
type Milli int64

// One is one whole unit.
const One Milli = 1000

// MilliPerSecond is a rate in thousandths of a unit per second.
type MilliPerSecond int64

// Over returns the amount that accrues at rate r during d, rounded down. It is zero if r or d is not positive. A
// result that would overflow is limited to half of the largest Milli.
func (r MilliPerSecond) Over(d time.Duration) Milli {
	if r <= 0 || d <= 0 {
		return 0
	}
	whole := int64(d / time.Second)
	frac := int64(d % time.Second)
	const maxInt = int64(^uint64(0) >> 1)
	if whole > 0 && int64(r) > maxInt/whole/2 {
		return Milli(maxInt / 2)
	}
	return Milli(int64(r)*whole) + Milli(mulDiv(int64(r), frac, int64(time.Second)))
}

// PPM is a fraction in parts per million.
type PPM int64

// Whole is the fraction 1.
const Whole PPM = 1_000_000

// BitsPerSecond is a data rate in bits per second.
type BitsPerSecond int64

// BytesPerSecond returns the rate in bytes per second, rounded towards zero.
func (bs BitsPerSecond) BytesPerSecond() int64 { return int64(bs) / bitsPerByte }

const bitsPerByte = 8

// Share returns total*part/whole, rounded down. It returns zero if any argument is not positive, and total if part
// exceeds whole.
func Share(total int64, part, whole PPM) int64 {
	if whole <= 0 || part <= 0 || total <= 0 {
		return 0
	}
	return mulDiv(total, int64(min(part, whole)), int64(whole))
}
