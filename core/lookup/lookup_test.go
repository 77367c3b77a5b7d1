package lookup_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lookup"
)

// threeRegions returns a configuration of regions a, b and c, each with two failure domains (a1, a2, ...) of one site each.
func threeRegions() *config.Effective {
	cfg := &config.Effective{Routes: []config.Route{{Name: "lookup", Pool: "desk"}}}
	for nr, rg := range []id.Region{"a", "b", "c"} {
		cfg.Regions = append(cfg.Regions, config.Region{Name: rg})
		for kt := 1; kt <= 2; kt++ {
			name := fmt.Sprintf("%s%d", rg, kt)
			cfg.FailureDomains = append(cfg.FailureDomains, config.FailureDomain{Name: id.FailureDomain(name), Region: rg})
			cfg.Sites = append(cfg.Sites, config.Site{
				Name: id.Site(name), FailureDomain: id.FailureDomain(name),
				Targets: []config.Target{{Name: id.Target("t" + name), Pool: "desk", Slots: 4}},
			})
			cfg.Blocks = append(cfg.Blocks, config.ClientBlock{
				Prefix: netip.MustParsePrefix(fmt.Sprintf("10.%d.%d.0/24", nr, kt)), Site: id.Site(name),
			})
		}
	}
	cfg.Links = []config.Link{
		{From: "a", To: "c", OneWayDelay: 20 * time.Millisecond},
		{From: "a", To: "b", OneWayDelay: 35 * time.Millisecond},
	}
	return cfg
}

// vms returns two VMs for each of the given failure domains, with the given number of free slots each.
func vms(free map[string]int, domains ...string) []lookup.VM {
	var all []lookup.VM
	for _, dm := range domains {
		for kt := 1; kt <= 2; kt++ {
			all = append(all, lookup.VM{
				ID:            id.VMIncarnation{VM: id.VM(fmt.Sprintf("%s-%d", dm, kt))},
				FailureDomain: id.FailureDomain(dm),
				FreeSlots:     map[id.Pool]int{"desk": free[dm]},
			})
		}
	}
	return all
}

// Guards against look-ups that return VMs of drained or lost failure domains, or VMs of other regions while the home region
// has free slots.
func TestPick(t *testing.T) {
	all := []string{"a1", "a2", "b1", "b2", "c1", "c2"}
	roomy := map[string]int{"a1": 2, "a2": 2, "b1": 2, "b2": 2, "c1": 2, "c2": 2}
	for _, tc := range []struct {
		name   string
		change func(*config.Effective)
		vms    []lookup.VM
		want   []string
	}{
		{
			name: "home first, then its region, one entry elsewhere by latency",
			vms:  vms(roomy, all...),
			want: []string{"a1-1", "a1-2", "a2-1", "c1-1"},
		},
		{
			name:   "drained home",
			change: func(cfg *config.Effective) { cfg.FailureDomains[0].Drained = true },
			vms:    vms(roomy, all...),
			want:   []string{"a2-1", "a2-2", "c1-1", "c1-2"},
		},
		{
			name:   "drained region",
			change: func(cfg *config.Effective) { cfg.Regions[0].Drained = true },
			vms:    vms(roomy, all...),
			want:   []string{"c1-1", "c1-2", "c2-1", "c2-2"},
		},
		{
			name: "lost region",
			vms:  vms(roomy, "b1", "b2"),
			want: []string{"b1-1", "b1-2", "b2-1", "b2-2"},
		},
		{
			name: "full home failure domain",
			vms:  vms(map[string]int{"a2": 1, "b1": 1, "c1": 1, "c2": 1}, all...),
			want: []string{"a2-1", "a2-2", "c1-1", "c1-2"},
		},
		{
			name: "full home region keeps the first entry",
			vms:  vms(map[string]int{"b1": 1}, all...),
			want: []string{"a1-1", "b1-1", "b1-2", "a1-2"},
		},
		{
			name:   "no target for the route in the home failure domain",
			change: func(cfg *config.Effective) { cfg.Sites[0].Targets[0].Drained = true },
			vms:    vms(roomy, all...),
			want:   []string{"a2-1", "a2-2", "c1-1", "c1-2"},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			cfg := threeRegions()
			if tc.change != nil {
				tc.change(cfg)
			}
			var got []string
			for _, vm := range lookup.New(cfg).Pick(lookup.NewView(tc.vms), netip.MustParseAddr("10.0.1.7"), "lookup", 0, nil) {
				got = append(got, string(vm.ID.VM))
			}
			if df := cmp.Diff(tc.want, got); df != "" {
				t.Errorf("picked VMs differ (-want +got):\n%s", df)
			}
		})
	}
}

// Guards against a home site that depends on the representation of an address, and against one for an address outside
// every client block.
func TestHome(t *testing.T) {
	tb := lookup.New(threeRegions())
	if got, ok := tb.HomeSite(netip.MustParseAddr("::ffff:10.1.2.9")); !ok || got != "b2" {
		t.Errorf("home of a mapped address is %q, %v; want b2", got, ok)
	}
	if got, ok := tb.HomeSite(netip.MustParseAddr("192.0.2.1")); ok {
		t.Errorf("an address outside every block has home %q", got)
	}
}

// Guards against client blocks that still refer to the sites of the previous configuration because the tables share them.
func TestWithConfigAfterSitesChange(t *testing.T) {
	cfg := threeRegions()
	tb := lookup.New(cfg)
	next := *cfg
	next.Sites = append([]config.Site{{Name: "new", FailureDomain: "c2"}}, cfg.Sites...)
	for _, tb := range []*lookup.Table{tb.WithConfig(cfg), tb.WithConfig(&next)} {
		if got, _ := tb.HomeSite(netip.MustParseAddr("10.1.2.9")); got != "b2" {
			t.Errorf("home is %q, want b2", got)
		}
	}
}

// Guards against memory allocations in Pick, which every look-up calls.
func TestPickDoesNotAllocate(t *testing.T) {
	tb := lookup.New(threeRegions())
	vw := lookup.NewView(vms(map[string]int{"a1": 1, "b1": 1}, "a1", "a2", "b1"))
	dst := make([]*lookup.VM, 0, lookup.MaxEntries)
	addr := netip.MustParseAddr("10.0.1.7")
	if nr := testing.AllocsPerRun(100, func() { dst = tb.Pick(vw, addr, "lookup", 1, dst[:0]) }); nr != 0 {
		t.Errorf("Pick allocates %v times, want 0", nr)
	}
}

// BenchmarkPick measures one call at the design size: 210,000 client blocks, 46 sites, 18 failure domains and 414 VMs.
func BenchmarkPick(b *testing.B) {
	cfg := &config.Effective{Routes: []config.Route{{Name: "lookup", Pool: "desk"}}}
	const regions, domains, sites, blocks, perDomain = 8, 18, 46, 210_000, 23
	for nr := range regions {
		cfg.Regions = append(cfg.Regions, config.Region{Name: id.Region(fmt.Sprint("r", nr))})
	}
	var all []lookup.VM
	for nr := range domains {
		fd := id.FailureDomain(fmt.Sprint("f", nr))
		cfg.FailureDomains = append(cfg.FailureDomains, config.FailureDomain{Name: fd, Region: cfg.Regions[nr%regions].Name})
		for kt := range perDomain {
			all = append(all, lookup.VM{
				ID: id.VMIncarnation{VM: id.VM(fmt.Sprintf("%s-%d", fd, kt))}, FailureDomain: fd,
				FreeSlots: map[id.Pool]int{"desk": 3},
			})
		}
	}
	for nr := range sites {
		cfg.Sites = append(cfg.Sites, config.Site{
			Name: id.Site(fmt.Sprint("s", nr)), FailureDomain: cfg.FailureDomains[nr%domains].Name,
			Targets: []config.Target{{Pool: "desk", Slots: 4}},
		})
	}
	for nr := range blocks {
		addr := netip.AddrFrom4([4]byte{byte(10 + nr>>16), byte(nr >> 8), byte(nr), 0})
		cfg.Blocks = append(cfg.Blocks, config.ClientBlock{Prefix: netip.PrefixFrom(addr, 24), Site: cfg.Sites[nr%sites].Name})
	}
	tb, vw := lookup.New(cfg), lookup.NewView(all)
	dst := make([]*lookup.VM, 0, lookup.MaxEntries)
	b.ReportAllocs()
	var seq uint64
	for b.Loop() {
		seq++
		addr := netip.AddrFrom4([4]byte{byte(10 + seq%4), byte(seq * 31), byte(seq * 7), 9})
		dst = tb.Pick(vw, addr, "lookup", seq, dst[:0])
	}
	if len(dst) == 0 {
		b.Fatal("Pick returned no VM")
	}
}
