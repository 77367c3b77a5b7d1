package memory_test

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"damasklatch/core/memory"
	_ "damasklatch/internal/fixedseed"
)

func ExampleBudget() {
	bg := memory.NewBudget(100)
	fmt.Println(bg.Take("crowd", 50), bg.Take("crowd", 40), bg.Take("other", 20))
	bg.Release("crowd", 50)
	fmt.Println(bg.Usage())
	// Output:
	// true false true
	// {20 100 1}
}

// Guards against a crowd from one address that leaves no memory for other callers.
func TestCrowdLeavesRoom(t *testing.T) {
	Convey("after a crowd has taken all that it gets", t, func() {
		bg := memory.NewBudget(1000)
		for bg.Take("crowd", 10) {
		}
		So(bg.Usage().Used, ShouldBeBetween, 499, 800)
		for nr := range 4 {
			So(bg.Take(memory.Holder(fmt.Sprint(nr)), 30), ShouldBeTrue)
		}
		So(bg.Take("crowd", 10), ShouldBeFalse)
	})
}

// Guards against a budget that is exceeded, and against bytes that stay taken.
func TestBudgetIsExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(rt, "limit")
		bg := memory.NewBudget(limit)
		taken := map[memory.Holder][]int64{}
		sum := int64(0)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			hd := memory.Holder(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"))
			if list := taken[hd]; len(list) > 0 && rapid.Bool().Draw(rt, "release") {
				bg.Release(hd, list[0])
				sum -= list[0]
				taken[hd] = list[1:]
				continue
			}
			bytes := rapid.Int64Range(0, 400).Draw(rt, "bytes")
			if bg.Take(hd, bytes) {
				sum += bytes
				taken[hd] = append(taken[hd], bytes)
			}
			if got := bg.Usage().Used; got != sum || got > limit {
				rt.Fatalf("%d bytes are used, want %d, limit %d", got, sum, limit)
			}
		}
	})
}
