package routing_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/id"
	"damasklatch/core/routing"
)

func route(name, prefix string) routing.Route {
	return routing.Route{
		Name: id.Route(name), Host: "orders.example", PathPrefix: prefix, Timeout: time.Second, MaxAttempts: 2,
		Pools: []routing.WeightedPool{{Pool: "desk", Weight: 1}},
	}
}

func config(routes ...routing.Route) routing.Config {
	return routing.Config{Version: 3, Routes: routes, Pools: []routing.Pool{{Name: "desk"}}}
}

// The longest prefix wins, and a prefix ends at a slash, so that "/a/" does not match "/ab".
func ExampleTable_Match() {
	tb, err := routing.New(config(route("all", "/"), route("a", "/a/"), route("a-b", "/a/b/")))
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, path := range []string{"/x", "/a/x", "/a/b/c", "/ab", "/a", "/a/b"} {
		rt, ok := tb.Match("Orders.example:8388", path)
		fmt.Println(path, rt.Name, ok)
	}
	_, ok := tb.Match("other.example", "/a/x")
	fmt.Println(ok)
	// Output:
	// /x all true
	// /a/x a true
	// /a/b/c a-b true
	// /ab all true
	// /a all true
	// /a/b a true
	// false
}

// Guards against an invalid configuration that is accepted in part or refused without a cause. While a configuration is refused,
// the previous one remains in force.
func TestInvalidConfigurations(t *testing.T) {
	Convey("a configuration is refused", t, func() {
		for want, invalidate := range map[string]func(cfg *routing.Config){
			`route "a": prefix "/a" does not begin and end with a slash`: func(cfg *routing.Config) { cfg.Routes[0].PathPrefix = "/a" },
			`route "a" has no pool`:                                    func(cfg *routing.Config) { cfg.Routes[0].Pools = nil },
			`route "a" allows 0 attempts, at least 1 is needed`:        func(cfg *routing.Config) { cfg.Routes[0].MaxAttempts = 0 },
			`route "a" has timeout 0s, which is not positive`:          func(cfg *routing.Config) { cfg.Routes[0].Timeout = 0 },
			`route "a" names pool "van", which does not exist`:         func(cfg *routing.Config) { cfg.Routes[0].Pools[0].Pool = "van" },
			`route "a" gives pool "desk" weight -1, which is negative`: func(cfg *routing.Config) { cfg.Routes[0].Pools[0].Weight = -1 },
			`routes "a" and "b" have the same host and prefix`: func(cfg *routing.Config) {
				cfg.Routes = append(cfg.Routes, route("b", "/a/"))
			},
			`teams "x" and "y" have a key in common`: func(cfg *routing.Config) {
				keys := []routing.KeyDigest{routing.Digest("k")}
				cfg.Teams = []routing.Team{{Name: "x", Keys: keys}, {Name: "y", Keys: keys}}
			},
		} {
			cfg := config(route("a", "/a/"))
			invalidate(&cfg)
			_, err := routing.New(cfg)
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldEqual, want)
		}
	})
}

// Guards against a region that only one of route and team allows, and against a team whose priority does not override the
// route's.
func TestRegionsAndPriorities(t *testing.T) {
	Convey("a route in north and south with a team in south", t, func() {
		rt := &routing.Route{Regions: []id.Region{"north", "south"}, Priority: 2}
		priority := routing.Priority(0)
		tm := &routing.Team{Regions: []id.Region{"south"}, Priority: &priority}
		So(rt.RegionAllowed(nil, "north"), ShouldBeTrue)
		So(rt.RegionAllowed(nil, "central"), ShouldBeFalse)
		So(rt.RegionAllowed(tm, "north"), ShouldBeFalse)
		So(rt.RegionAllowed(tm, "south"), ShouldBeTrue)
		So(rt.EffectivePriority(nil), ShouldEqual, routing.Priority(2))
		So(rt.EffectivePriority(tm), ShouldEqual, routing.Priority(0))
	})
}
