package bench

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/lookup"
)

// Design size of a deployment, from section 1.4 of docs/design.md.
const (
	designRegions   = 8
	designDomains   = 18
	designSites     = 46
	designBlocks    = 210_000
	designDaemons   = 420
	designPerDomain = float64(designDaemons) / designDomains
)

// configSize describes a configuration to generate.
type configSize struct {
	regions, domains, perDomain, sites, blocks int
	targets, slots                             int // number of targets of each site, and of slots of each target
}

// designSize returns the configuration size at the design size.
func designSize() configSize {
	return configSize{
		regions: designRegions, domains: designDomains, perDomain: designDaemons / designDomains, sites: designSites,
		blocks: designBlocks, targets: 2, slots: 4,
	}
}

// Names in the generated configuration.
const (
	pool  id.Pool  = "desk"
	team  id.Team  = "salon"
	route id.Route = "read"
	path           = "/read/"
)

func domainName(nr int) id.FailureDomain { return id.FailureDomain(fmt.Sprintf("domain-%02d", nr)) }

func (sz configSize) domainOf(site int) int { return site % sz.domains }

// host returns the address of a VM. Failure domains and their VMs count from 0; VM targetHost stands for the targets.
func host(domain, vm int) string { return fmt.Sprintf("127.90.%d.%d", domain+1, vm+1) }

// targetHost is the VM number whose address the targets of a failure domain use.
const targetHost = 253

// sources returns the configuration files. The client blocks with a number below moved belong to the next site, which
// simulates a change of moved blocks.
func (sz configSize) sources(moved int) *config.Sources {
	var base strings.Builder
	base.WriteString("deployment: bench\nsettings:\n  lookup_ttl: 3s\n  key_freshness: 5s\n  loan_duration: 3s\nregions:\n")
	for nr := range sz.regions {
		fmt.Fprintf(&base, "  - name: region-%d\n    capacity: 100000\n    shift_cap: 1000/s\n", nr)
	}
	base.WriteString("failure_domains:\n")
	for nr := range sz.domains {
		fmt.Fprintf(&base, "  - name: %s\n    region: region-%d\n    entry_vms: %d\n", domainName(nr), nr%sz.regions, sz.perDomain)
	}
	if sz.regions > 1 {
		base.WriteString("links:\n")
	}
	for from := range sz.regions {
		for to := from + 1; to < sz.regions; to++ {
			fmt.Fprintf(&base, "  - from: region-%d\n    to: region-%d\n    both_ways: true\n    one_way: %dms\n    capacity: 280Mbit/s\n",
				from, to, 20+to-from)
		}
	}
	fmt.Fprintf(&base, "pools:\n  - name: %s\n    slots: %d\n    connections: 400\n", pool, sz.slots)
	fmt.Fprintf(&base, "teams:\n  - name: %s\n    rate: 100000/s\n    burst: 100000\n    routes: [%s]\n", team, route)
	fmt.Fprintf(&base, "routes:\n  - name: %s\n    path: %s\n    methods: [GET]\n    idempotent: true\n    pool: %s\n    deadline: 2s\n    max_body: 16KiB\n",
		route, path, pool)
	src := &config.Sources{Base: config.File{Name: "base.yaml", Content: []byte(base.String())}}
	for nr := range sz.sites {
		src.Overlays = append(src.Overlays, config.File{Name: fmt.Sprintf("overlays/%s.yaml", siteName(nr)), Content: sz.overlay(nr)})
	}
	src.Blocks = []config.File{{Name: "blocks.txt", Content: sz.blockFile(moved)}}
	return src
}

func siteName(nr int) id.Site { return id.Site(fmt.Sprintf("site-%02d", nr)) }

// targetPort is the port of the first target of a failure domain.
const targetPort = 21_001

// overlay returns the overlay file of a site.
func (sz configSize) overlay(site int) []byte {
	var buf strings.Builder
	dm := sz.domainOf(site)
	fmt.Fprintf(&buf, "site: %s\nfailure_domain: %s\ntargets:\n", siteName(site), domainName(dm))
	for nr := range sz.targets {
		fmt.Fprintf(&buf, "  - name: %s-%d\n    pool: %s\n    address: %s:%d\n", siteName(site), nr, pool, host(dm, targetHost),
			targetPort+site/sz.domains*sz.targets+nr)
	}
	return []byte(buf.String())
}

// blockAddress returns the network address of client block number nr, which is a /24.
func blockAddress(nr int) netip.Addr {
	return netip.AddrFrom4([4]byte{byte(10 + nr>>16), byte(nr >> 8), byte(nr), 0})
}

// blockFile returns the file that assigns client blocks to sites.
func (sz configSize) blockFile(moved int) []byte {
	buf := make([]byte, 0, 24*sz.blocks)
	for nr := range sz.blocks {
		site := nr
		if nr < moved {
			site++
		}
		buf = blockAddress(nr).AppendTo(buf)
		buf = append(append(append(buf, "/24 "...), siteName(site%sz.sites)...), '\n')
	}
	return buf
}

// vms returns the entry VMs of a deployment of this size.
func (sz configSize) vms() []lookup.VM {
	var vms []lookup.VM
	for dm := range sz.domains {
		for nr := range sz.perDomain {
			vms = append(vms, lookup.VM{
				ID:            id.VMIncarnation{VM: vmName(dm, nr), Incarnation: id.Incarnation(time.Now().UnixNano())},
				FailureDomain: domainName(dm), CallerAddress: host(dm, nr) + ":17001", FreeSlots: map[id.Pool]int{pool: 3},
			})
		}
	}
	return vms
}

func vmName(domain, nr int) id.VM { return id.VM(fmt.Sprintf("%s-%d", domainName(domain), nr)) }
