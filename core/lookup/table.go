package lookup

import (
	"cmp"
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/gaissmai/bart"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// Table is the part of the look-up that depends on the configuration only.
type Table struct {
	blocks       *bart.Table[siteIndex]
	sourceBlocks []config.ClientBlock // list from which blocks was built
	sites        []site
	domains      []domain
	domainIndex  map[id.FailureDomain]int
	routes       map[id.Route]id.Pool
}

type siteIndex uint16

type site struct {
	name   id.Site
	domain int
}

type domain struct {
	name       id.FailureDomain
	region     id.Region
	usable     bool             // neither the failure domain nor its region is drained
	pools      map[id.Pool]bool // pools with a target that is not drained
	byDistance []int            // all failure domains, nearest first, starting with this one
}

// defaultDistance is the distance of regions without a declared link. It is large, so that they come last.
const defaultDistance = time.Hour

// New builds the table of a configuration.
func New(cfg *config.Effective) *Table { return new(Table).WithConfig(cfg) }

// WithConfig builds the table of another configuration and leaves the receiver unchanged. If both configurations use the
// same list of client blocks in memory and the same sites, as successive configurations usually do, the tables share the
// lookup structure of the blocks, which is their largest part.
func (tb *Table) WithConfig(cfg *config.Effective) *Table {
	next := &Table{
		domainIndex: make(map[id.FailureDomain]int, len(cfg.FailureDomains)),
		routes:      make(map[id.Route]id.Pool, len(cfg.Routes)),
	}
	for _, rt := range cfg.Routes {
		next.routes[rt.Name] = rt.Pool
	}
	next.addDomains(cfg)
	byName := next.addSites(cfg)
	next.sourceBlocks = cfg.Blocks
	if next.canShareBlocks(tb) {
		next.blocks = tb.blocks
	} else {
		next.addBlocks(cfg.Blocks, byName)
	}
	next.orderDomains(cfg.Links)
	return next
}

// canShareBlocks reports whether old was built from the same list of client blocks and the same sites, so that its blocks
// can be used.
func (tb *Table) canShareBlocks(old *Table) bool {
	return old.blocks != nil && len(tb.sourceBlocks) > 0 && len(tb.sourceBlocks) == len(old.sourceBlocks) &&
		&tb.sourceBlocks[0] == &old.sourceBlocks[0] && slices.EqualFunc(tb.sites, old.sites, func(st, ot site) bool { return st.name == ot.name })
}

func (tb *Table) addBlocks(blocks []config.ClientBlock, byName map[id.Site]siteIndex) {
	tb.blocks = new(bart.Table[siteIndex])
	for _, bl := range blocks {
		if si, ok := byName[bl.Site]; ok {
			tb.blocks.Insert(bl.Prefix, si)
		}
	}
}

func (tb *Table) addDomains(cfg *config.Effective) {
	drained := make(map[id.Region]bool)
	for _, rg := range cfg.Regions {
		drained[rg.Name] = rg.Drained
	}
	for _, fd := range cfg.FailureDomains {
		tb.domainIndex[fd.Name] = len(tb.domains)
		tb.domains = append(tb.domains, domain{
			name:   fd.Name,
			region: fd.Region,
			usable: !fd.Drained && !drained[fd.Region],
			pools:  make(map[id.Pool]bool),
		})
	}
}

func (tb *Table) addSites(cfg *config.Effective) map[id.Site]siteIndex {
	byName := make(map[id.Site]siteIndex, len(cfg.Sites))
	for _, st := range cfg.Sites {
		dm, ok := tb.domainIndex[st.FailureDomain]
		if !ok {
			continue
		}
		byName[st.Name] = siteIndex(len(tb.sites))
		tb.sites = append(tb.sites, site{name: st.Name, domain: dm})
		for _, tg := range st.Targets {
			if !tg.Drained {
				tb.domains[dm].pools[tg.Pool] = true
			}
		}
	}
	return byName
}

func (tb *Table) orderDomains(links []config.Link) {
	latency := make(map[[2]id.Region]time.Duration, len(links))
	for _, lk := range links {
		latency[[2]id.Region{lk.From, lk.To}] = lk.OneWayDelay
	}
	for from := range tb.domains {
		distance := func(to int) time.Duration {
			switch {
			case to == from:
				return -1
			case tb.domains[to].region == tb.domains[from].region:
				return 0
			}
			if ow, ok := latency[[2]id.Region{tb.domains[from].region, tb.domains[to].region}]; ok {
				return ow
			}
			return defaultDistance
		}
		order := make([]int, len(tb.domains))
		for nr := range order {
			order[nr] = nr
		}
		// Failure domains at equal distance are ordered by index, starting after the home failure domain. The
		// requests of a lost failure domain are thereby divided among its neighbors, and different failure domains
		// do not all prefer the first one in the list.
		slices.SortFunc(order, func(la, lb int) int {
			nd := len(order)
			return cmp.Or(cmp.Compare(distance(la), distance(lb)), cmp.Compare((la-from+nd)%nd, (lb-from+nd)%nd))
		})
		tb.domains[from].byDistance = order
	}
}

// HomeSite returns the home site of a client address. It returns false if no client block contains the address.
func (tb *Table) HomeSite(addr netip.Addr) (id.Site, bool) {
	si, ok := tb.blocks.Lookup(addr.Unmap())
	if !ok {
		return "", false
	}
	return tb.sites[si].name, true
}

// SiteRegion returns the region of a site. It returns false if the site does not exist.
func (tb *Table) SiteRegion(name id.Site) (id.Region, bool) {
	for _, st := range tb.sites {
		if st.name == name {
			return tb.domains[st.domain].region, true
		}
	}
	return "", false
}

// homeDomain returns the index of the home failure domain of an address. Addresses outside every block are spread over
// all sites by a hash, so that they do not all go to one site.
func (tb *Table) homeDomain(addr netip.Addr) int {
	if si, ok := tb.blocks.Lookup(addr.Unmap()); ok {
		return tb.sites[si].domain
	}
	sum := maphash.Comparable(hashSeed, addr)
	return tb.sites[sum%uint64(len(tb.sites))].domain
}

var hashSeed = maphash.MakeSeed()
