package fairness_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/fairness"
)

var start = time.Unix(1_800_000_000, 0)

func ExampleMeter() {
	var mt fairness.Meter[string]
	for nr := range 100 {
		now := start.Add(time.Duration(nr) * 10 * time.Millisecond)
		mt.Record(now, "large", 1, 100*time.Millisecond, nr%2 == 0)
		if nr%10 == 0 {
			mt.Record(now, "small", 1, 100*time.Millisecond, true)
		}
	}
	now := start.Add(time.Second)
	fmt.Println(mt.Exceeds(now, "large"), mt.Exceeds(now, "small"))
	// Output: false false
}

// play sends requests of teams to a pool that can do a part of the work. In each tick, the requests of teams that exceed their share come
// last. It returns the part of each team's requests that was admitted.
func play(capacity float64, demand map[string]int, weights map[string]fairness.Weight) map[string]float64 {
	const (
		work  = 100 * time.Millisecond
		ticks = 2000
		tick  = 10 * time.Millisecond
	)
	var mt fairness.Meter[string]
	admitted, asked := map[string]float64{}, map[string]float64{}
	room := 0.0
	for nr := range ticks {
		now := start.Add(time.Duration(nr) * tick)
		room = min(room+capacity*tick.Seconds(), max(capacity*tick.Seconds(), 1))
		for _, last := range []bool{false, true} {
			for name, num := range demand {
				if mt.Exceeds(now, name) != last {
					continue
				}
				for range num {
					ok := room >= work.Seconds()
					if ok {
						room -= work.Seconds()
						admitted[name]++
					}
					asked[name]++
					mt.Record(now, name, weights[name], work, ok)
				}
			}
		}
	}
	for name := range asked {
		admitted[name] /= asked[name]
	}
	return admitted
}

// Guards against a team that is refused although it asks for less than its share, because another one asks for many times its own.
func TestSharesUnderShortage(t *testing.T) {
	Convey("one team asks for twenty times as much as each other", t, func() {
		same := map[string]fairness.Weight{"a": 1, "b": 1, "c": 1, "d": 1, "e": 1}
		got := play(60, map[string]int{"a": 20, "b": 1, "c": 1, "d": 1, "e": 1}, same)
		for _, name := range []string{"b", "c", "d", "e"} {
			So(got[name], ShouldBeGreaterThan, 0.98)
		}
		So(got["a"], ShouldBeBetween, 0.03, 0.15)
	})
	Convey("a large team with the weight for it is not held back", t, func() {
		got := play(120, map[string]int{"a": 20, "b": 1, "c": 1, "d": 1, "e": 1}, map[string]fairness.Weight{"a": 20, "b": 1, "c": 1, "d": 1, "e": 1})
		So(got["a"], ShouldBeBetween, 0.4, 0.6)
	})
	Convey("with room for all, nobody exceeds a share", t, func() {
		got := play(300, map[string]int{"a": 20, "b": 1}, map[string]fairness.Weight{"a": 1, "b": 1})
		So(got["a"], ShouldEqual, 1)
		So(got["b"], ShouldEqual, 1)
	})
	Convey("the only team gets everything", t, func() {
		got := play(50, map[string]int{"a": 10}, map[string]fairness.Weight{"a": 1})
		So(got["a"], ShouldBeBetween, 0.45, 0.55)
	})
}
