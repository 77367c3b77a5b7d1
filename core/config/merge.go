package config

import (
	"cmp"
	"net/netip"
	"path"
	"path/filepath"
	"slices"

	"damasklatch/core/id"
)

// Merge builds and validates the configuration of a generation. The error is of type Errors. Faults of blocks and
// keys name the position in the list as line; Build and Sources.Merge know the files and name their lines.
func Merge(gen id.Generation, bs *Base, ovs []*Overlay, blocks []ClientBlock, keys []Key) (*Effective, error) {
	mg := newMerger(gen, bs)
	mg.overlays(ovs)
	mg.blocks(blocks, false, func(nr int) position { return position{file: "blocks", line: nr + 1, column: 1} })
	mg.keys(keys, func(nr int) position { return position{file: "keys", line: nr + 1, column: 1} })
	return mg.finish()
}

// merger builds an Effective and collects the faults of its references.
type merger struct {
	*collector
	ef        *Effective
	regionAt  declared[id.Region]
	domainAt  declared[id.FailureDomain]
	linkAt    declared[[2]id.Region]
	poolAt    declared[id.Pool]
	teamAt    declared[id.Team]
	routeAt   declared[id.Route]
	pathAt    declared[string]
	siteAt    declared[id.Site]
	targetAt  declared[id.Target]
	addressAt declared[netip.AddrPort]
	keyAt     declared[KeyDigest]
	pools     map[id.Pool]poolItem
}

// declared maps a name to the place of its declaration.
type declared[K comparable] map[K]position

// add reports whether the name is new. A repeated name is a fault that names the first place.
func (dc declared[K]) add(cl *collector, name K, at position, what string) bool {
	if first, ok := dc[name]; ok {
		cl.addf(at, "%s is declared twice; the first declaration is at %s", what, first)
		return false
	}
	dc[name] = at
	return true
}

// check reports whether the name is declared.
func (dc declared[K]) check(cl *collector, name K, at position, what string) bool {
	if _, ok := dc[name]; ok {
		return true
	}
	cl.addf(at, "%s is not declared", what)
	return false
}

func newMerger(gen id.Generation, bs *Base) *merger {
	mg := &merger{
		collector: new(collector),
		ef:        &Effective{Generation: gen, Deployment: bs.deployment, Settings: bs.settings},
		regionAt:  declared[id.Region]{},
		domainAt:  declared[id.FailureDomain]{},
		linkAt:    declared[[2]id.Region]{},
		poolAt:    declared[id.Pool]{},
		teamAt:    declared[id.Team]{},
		routeAt:   declared[id.Route]{},
		pathAt:    declared[string]{},
		siteAt:    declared[id.Site]{},
		targetAt:  declared[id.Target]{},
		addressAt: declared[netip.AddrPort]{},
		keyAt:     declared[KeyDigest]{},
		pools:     map[id.Pool]poolItem{},
	}
	mg.places(bs)
	mg.links(bs)
	mg.routes(bs)
	mg.teams(bs)
	return mg
}

func (mg *merger) finish() (*Effective, error) {
	if err := mg.err(); err != nil {
		return nil, err
	}
	mg.ef.index = newIndex(mg.ef)
	return mg.ef, nil
}

// places takes regions and failure domains.
func (mg *merger) places(bs *Base) {
	for _, lc := range bs.regions {
		mg.regionAt.add(mg.collector, lc.value.Name, lc.at, "region "+quote(lc.value.Name))
		mg.ef.Regions = append(mg.ef.Regions, lc.value)
	}
	for _, lc := range bs.domains {
		mg.domainAt.add(mg.collector, lc.value.Name, lc.at, "failure domain "+quote(lc.value.Name))
		mg.regionAt.check(mg.collector, lc.value.Region, lc.value.regionAt, "region "+quote(lc.value.Region))
		mg.ef.FailureDomains = append(mg.ef.FailureDomains, lc.value.FailureDomain)
	}
}

func (mg *merger) links(bs *Base) {
	for _, lc := range bs.links {
		lk := lc.value
		mg.regionAt.check(mg.collector, lk.From, lk.fromAt, "region "+quote(lk.From))
		mg.regionAt.check(mg.collector, lk.To, lk.toAt, "region "+quote(lk.To))
		mg.link(lk.Link, lc.at)
		if lk.bothWays {
			mg.link(Link{From: lk.To, To: lk.From, OneWayDelay: lk.OneWayDelay, Capacity: lk.Capacity}, lc.at)
		}
	}
}

func (mg *merger) link(lk Link, at position) {
	if mg.linkAt.add(mg.collector, [2]id.Region{lk.From, lk.To}, at, "the link from "+quote(lk.From)+" to "+quote(lk.To)) {
		mg.ef.Links = append(mg.ef.Links, lk)
	}
}

func (mg *merger) routes(bs *Base) {
	for _, lc := range bs.pools {
		if mg.poolAt.add(mg.collector, lc.value.name, lc.at, "pool "+quote(lc.value.name)) {
			mg.pools[lc.value.name] = lc.value
		}
	}
	for _, lc := range bs.routes {
		rt := lc.value
		mg.routeAt.add(mg.collector, rt.Name, lc.at, "route "+quote(rt.Name))
		mg.pathAt.add(mg.collector, rt.PathPrefix, rt.pathAt, "path "+quote(rt.PathPrefix))
		mg.poolAt.check(mg.collector, rt.Pool, rt.poolAt, "pool "+quote(rt.Pool))
		mg.ef.Routes = append(mg.ef.Routes, rt.Route)
	}
}

func (mg *merger) teams(bs *Base) {
	for _, lc := range bs.teams {
		tm := lc.value.Team
		mg.teamAt.add(mg.collector, tm.Name, lc.at, "team "+quote(tm.Name))
		for _, rt := range lc.value.routes {
			mg.routeAt.check(mg.collector, rt.value, rt.at, "route "+quote(rt.value))
			tm.Routes = append(tm.Routes, rt.value)
		}
		mg.ef.Teams = append(mg.ef.Teams, tm)
	}
}

func (mg *merger) overlays(ovs []*Overlay) {
	for _, ov := range ovs {
		if first, ok := mg.siteAt[ov.site]; ok {
			mg.addf(ov.siteAt, "site %q has two overlays; the first is at %s", ov.site, first)
			continue
		}
		mg.siteAt[ov.site] = ov.siteAt
		mg.domainAt.check(mg.collector, ov.domain, ov.domainAt, "failure domain "+quote(ov.domain))
		st := Site{Name: ov.site, FailureDomain: ov.domain}
		for _, lc := range ov.targets {
			st.Targets = append(st.Targets, mg.target(lc, ov.drained))
		}
		mg.ef.Sites = append(mg.ef.Sites, st)
	}
}

// overlayNames checks that the first overlay of a site is in the file that is named after the site, so that a copied
// file with an unchanged site is found.
func (mg *merger) overlayNames(ovs []*Overlay) {
	for _, ov := range ovs {
		want := string(ov.site) + overlaysSuffix
		if got := path.Base(filepath.ToSlash(ov.file)); got != want && mg.siteAt[ov.site] == ov.siteAt {
			mg.addf(ov.siteAt, "the overlay of site %q is in a file named %q, expected %q", ov.site, got, want)
		}
	}
}

func (mg *merger) target(lc located[targetItem], drained bool) Target {
	tg := lc.value.Target
	mg.targetAt.add(mg.collector, tg.Name, lc.at, "target "+quote(tg.Name))
	mg.poolAt.check(mg.collector, tg.Pool, lc.value.poolAt, "pool "+quote(tg.Pool))
	if ap, err := netip.ParseAddrPort(tg.Address); err == nil {
		mg.addressAt.add(mg.collector, ap, lc.value.addressAt, "address "+quote(tg.Address))
	}
	pool := mg.pools[tg.Pool]
	if tg.Slots == 0 {
		tg.Slots = pool.slots
	}
	if tg.MaxConnections == 0 {
		tg.MaxConnections = pool.connections
	}
	tg.Drained = tg.Drained || drained
	return tg
}

// blocks takes the client blocks. distinct tells that the prefixes are known to be distinct.
func (mg *merger) blocks(blocks []ClientBlock, distinct bool, place func(int) position) {
	if !distinct {
		mg.distinctBlocks(blocks, place)
	}
	for nr, cb := range blocks {
		if _, ok := mg.siteAt[cb.Site]; !ok {
			mg.addf(place(nr), "site %q is not declared", cb.Site)
		}
	}
	mg.ef.Blocks = blocks
}

// distinctBlocks finds repeated prefixes by sorting instead of with a map of places, because a daemon merges 210,000
// blocks within a small memory.
func (mg *merger) distinctBlocks(blocks []ClientBlock, place func(int) position) {
	order := make([]int32, len(blocks))
	for nr := range blocks {
		order[nr] = int32(nr)
	}
	slices.SortFunc(order, func(na, nb int32) int {
		return cmp.Or(blocks[na].Prefix.Compare(blocks[nb].Prefix), cmp.Compare(na, nb))
	})
	for nr := 1; nr < len(order); nr++ {
		prev, this := int(order[nr-1]), int(order[nr])
		if blocks[prev].Prefix == blocks[this].Prefix {
			mg.addf(place(this), "client block %s is declared twice; an earlier declaration is at %s", blocks[this].Prefix, place(prev))
		}
	}
}

// keys accepts a revoked key of a team that is gone, so that a team can be removed.
func (mg *merger) keys(keys []Key, place func(int) position) {
	for nr, ky := range keys {
		mg.keyAt.add(mg.collector, ky.Digest, place(nr), "key "+ky.Digest.String()[:shownDigits])
		if !ky.Revoked {
			mg.teamAt.check(mg.collector, ky.Team, place(nr), "team "+quote(ky.Team)+" of the active key "+ky.Digest.String()[:shownDigits])
		}
		mg.ef.Keys = append(mg.ef.Keys, ky)
	}
}

// shownDigits is the number of digits of a key digest in messages.
const shownDigits = 12

func quote[T ~string](name T) string { return "\"" + string(name) + "\"" }
