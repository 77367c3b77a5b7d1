package unit_test

import (
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/unit"

	"pgregory.net/rapid"
)

// Guards against rounding errors that create capacity: the shares of a total must never add up to more than the
// total.
func TestSharesNeverExceedTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(0, 1<<60).Draw(rt, "total")
		cuts := rapid.SliceOfN(rapid.Int64Range(0, 1000), 1, 40).Draw(rt, "parts")
		var whole unit.PPM
		for _, ct := range cuts {
			whole += unit.PPM(ct)
		}
		var sum int64
		for _, ct := range cuts {
			sum += unit.Share(total, unit.PPM(ct), whole)
		}
		if sum > total {
			rt.Fatalf("shares add up to %d, total is %d", sum, total)
		}
	})
}

// Guards against overflow and against rounding up when tokens accrue.
func TestOver(t *testing.T) {
	for _, tc := range []struct {
		rate unit.MilliPerSecond
		over time.Duration
		want unit.Milli
	}{
		{1000, time.Second, 1000},
		{1000, 1500 * time.Microsecond, 1},
		{1000, time.Millisecond - 1, 0},
		{-5, time.Second, 0},
		{1 << 62, time.Hour, unit.Milli((int64(^uint64(0) >> 1)) / 2)},
	} {
		if got := tc.rate.Over(tc.over); got != tc.want {
			t.Errorf("%d over %v = %d, want %d", tc.rate, tc.over, got, tc.want)
		}
	}
}
