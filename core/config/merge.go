package config

import (
	"cmp"
	"net/netip"
	"path"
	"path/filepath"
	"slices"

	"damasklatch/core/id"
)

// Merge builds and validates the configuration of a generation. The returned error is of type Errors. Errors in blocks
// and keys give the index in the list, counted from 1, as the line. Build and Sources.Merge give the line in the file
// instead.
func Merge(gen id.Generation, bs *Base, ovs []*Overlay, blocks []ClientBlock, keys []Key) (*Effective, error) {
	mg := newMerger(gen, bs)
	mg.addOverlays(ovs)
	mg.addBlocks(blocks, false, func(nr int) position { return position{file: "blocks", line: nr + 1, column: 1} })
	mg.addKeys(keys, func(nr int) position { return position{file: "keys", line: nr + 1, column: 1} })
	return mg.finish()
}

// merger builds an Effective and collects the errors in its references. The fields with the suffix At hold the positions
// of declarations.
type merger struct {
	*errorCollector
	ef        *Effective
	regionAt  declarations[id.Region]
	domainAt  declarations[id.FailureDomain]
	linkAt    declarations[[2]id.Region]
	poolAt    declarations[id.Pool]
	teamAt    declarations[id.Team]
	routeAt   declarations[id.Route]
	pathAt    declarations[string]
	siteAt    declarations[id.Site]
	targetAt  declarations[id.Target]
	addressAt declarations[netip.AddrPort]
	keyAt     declarations[KeyDigest]
	pools     map[id.Pool]poolDecl
}

// declarations maps a name to the position of its declaration.
type declarations[K comparable] map[K]position

// add records the declaration of a name and returns true. If the name is already declared, it adds an error, which gives
// the position of the first declaration, and returns false. what describes the declared element in the error.
func (dc declarations[K]) add(cl *errorCollector, name K, at position, what string) bool {
	if first, ok := dc[name]; ok {
		cl.addf(at, "%s is declared twice; the first declaration is at %s", what, first)
		return false
	}
	dc[name] = at
	return true
}

// check reports whether the name is declared. If it is not, check adds an error. what describes the element in the error.
func (dc declarations[K]) check(cl *errorCollector, name K, at position, what string) bool {
	if _, ok := dc[name]; ok {
		return true
	}
	cl.addf(at, "%s is not declared", what)
	return false
}

// newMerger returns a merger to which all elements of the base file have been added.
func newMerger(gen id.Generation, bs *Base) *merger {
	mg := &merger{
		errorCollector: new(errorCollector),
		ef:             &Effective{Generation: gen, Deployment: bs.deployment, Settings: bs.settings},
		regionAt:       declarations[id.Region]{},
		domainAt:       declarations[id.FailureDomain]{},
		linkAt:         declarations[[2]id.Region]{},
		poolAt:         declarations[id.Pool]{},
		teamAt:         declarations[id.Team]{},
		routeAt:        declarations[id.Route]{},
		pathAt:         declarations[string]{},
		siteAt:         declarations[id.Site]{},
		targetAt:       declarations[id.Target]{},
		addressAt:      declarations[netip.AddrPort]{},
		keyAt:          declarations[KeyDigest]{},
		pools:          map[id.Pool]poolDecl{},
	}
	mg.addRegionsAndDomains(bs)
	mg.addLinks(bs)
	mg.addPoolsAndRoutes(bs)
	mg.addTeams(bs)
	return mg
}

// finish returns the configuration, or the collected errors.
func (mg *merger) finish() (*Effective, error) {
	if err := mg.err(); err != nil {
		return nil, err
	}
	mg.ef.index = newIndex(mg.ef)
	return mg.ef, nil
}

func (mg *merger) addRegionsAndDomains(bs *Base) {
	for _, lc := range bs.regions {
		mg.regionAt.add(mg.errorCollector, lc.value.Name, lc.at, "region "+quote(lc.value.Name))
		mg.ef.Regions = append(mg.ef.Regions, lc.value)
	}
	for _, lc := range bs.domains {
		mg.domainAt.add(mg.errorCollector, lc.value.Name, lc.at, "failure domain "+quote(lc.value.Name))
		mg.regionAt.check(mg.errorCollector, lc.value.Region, lc.value.regionAt, "region "+quote(lc.value.Region))
		mg.ef.FailureDomains = append(mg.ef.FailureDomains, lc.value.FailureDomain)
	}
}

func (mg *merger) addLinks(bs *Base) {
	for _, lc := range bs.links {
		lk := lc.value
		mg.regionAt.check(mg.errorCollector, lk.From, lk.fromAt, "region "+quote(lk.From))
		mg.regionAt.check(mg.errorCollector, lk.To, lk.toAt, "region "+quote(lk.To))
		mg.addLink(lk.Link, lc.at)
		if lk.bothWays {
			mg.addLink(Link{From: lk.To, To: lk.From, OneWayDelay: lk.OneWayDelay, Capacity: lk.Capacity}, lc.at)
		}
	}
}

func (mg *merger) addLink(lk Link, at position) {
	if mg.linkAt.add(mg.errorCollector, [2]id.Region{lk.From, lk.To}, at, "the link from "+quote(lk.From)+" to "+quote(lk.To)) {
		mg.ef.Links = append(mg.ef.Links, lk)
	}
}

func (mg *merger) addPoolsAndRoutes(bs *Base) {
	for _, lc := range bs.pools {
		if mg.poolAt.add(mg.errorCollector, lc.value.name, lc.at, "pool "+quote(lc.value.name)) {
			mg.pools[lc.value.name] = lc.value
		}
	}
	for _, lc := range bs.routes {
		rt := lc.value
		mg.routeAt.add(mg.errorCollector, rt.Name, lc.at, "route "+quote(rt.Name))
		mg.pathAt.add(mg.errorCollector, rt.PathPrefix, rt.pathAt, "path "+quote(rt.PathPrefix))
		mg.poolAt.check(mg.errorCollector, rt.Pool, rt.poolAt, "pool "+quote(rt.Pool))
		mg.ef.Routes = append(mg.ef.Routes, rt.Route)
	}
}

func (mg *merger) addTeams(bs *Base) {
	for _, lc := range bs.teams {
		tm := lc.value.Team
		mg.teamAt.add(mg.errorCollector, tm.Name, lc.at, "team "+quote(tm.Name))
		for _, rt := range lc.value.routes {
			mg.routeAt.check(mg.errorCollector, rt.value, rt.at, "route "+quote(rt.value))
			tm.Routes = append(tm.Routes, rt.value)
		}
		mg.ef.Teams = append(mg.ef.Teams, tm)
	}
}

// addOverlays adds a site for each overlay. It reports a second overlay of a site as an error and skips it.
func (mg *merger) addOverlays(ovs []*Overlay) {
	for _, ov := range ovs {
		if first, ok := mg.siteAt[ov.site]; ok {
			mg.addf(ov.siteAt, "site %q has two overlays; the first is at %s", ov.site, first)
			continue
		}
		mg.siteAt[ov.site] = ov.siteAt
		mg.domainAt.check(mg.errorCollector, ov.domain, ov.domainAt, "failure domain "+quote(ov.domain))
		st := Site{Name: ov.site, FailureDomain: ov.domain}
		for _, lc := range ov.targets {
			st.Targets = append(st.Targets, mg.resolveTarget(lc, ov.drained))
		}
		mg.ef.Sites = append(mg.ef.Sites, st)
	}
}

// checkOverlayNames checks that the overlay of a site is in the file that is named after the site. A mismatch usually
// means that the file was copied and its field "site" not changed. Only the first overlay of each site is checked,
// because addOverlays reports the others.
func (mg *merger) checkOverlayNames(ovs []*Overlay) {
	for _, ov := range ovs {
		want := string(ov.site) + overlaysSuffix
		if got := path.Base(filepath.ToSlash(ov.file)); got != want && mg.siteAt[ov.site] == ov.siteAt {
			mg.addf(ov.siteAt, "the overlay of site %q is in a file named %q, expected %q", ov.site, got, want)
		}
	}
}

// resolveTarget validates a target and fills in the limits of its pool. drained drains it even if its own field does not.
func (mg *merger) resolveTarget(lc located[targetDecl], drained bool) Target {
	tg := lc.value.Target
	mg.targetAt.add(mg.errorCollector, tg.Name, lc.at, "target "+quote(tg.Name))
	mg.poolAt.check(mg.errorCollector, tg.Pool, lc.value.poolAt, "pool "+quote(tg.Pool))
	if ap, err := netip.ParseAddrPort(tg.Address); err == nil {
		mg.addressAt.add(mg.errorCollector, ap, lc.value.addressAt, "address "+quote(tg.Address))
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

// addBlocks adds the client blocks and checks that their sites exist. If distinct is set, the prefixes are known to be
// distinct and are not checked. positionOf returns the position of the block with the given index.
func (mg *merger) addBlocks(blocks []ClientBlock, distinct bool, positionOf func(int) position) {
	if !distinct {
		mg.checkDistinctBlocks(blocks, positionOf)
	}
	for nr, cb := range blocks {
		if _, ok := mg.siteAt[cb.Site]; !ok {
			mg.addf(positionOf(nr), "site %q is not declared", cb.Site)
		}
	}
	mg.ef.Blocks = blocks
}

// checkDistinctBlocks adds an error for each repeated prefix. It sorts indexes instead of building a map of positions, to
// save memory: a daemon merges up to 210,000 blocks on a VM with little memory.
func (mg *merger) checkDistinctBlocks(blocks []ClientBlock, positionOf func(int) position) {
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
			mg.addf(positionOf(this), "client block %s is declared twice; an earlier declaration is at %s", blocks[this].Prefix, positionOf(prev))
		}
	}
}

// addKeys adds the keys. The team of an active key must exist. The team of a revoked key need not, so that a team can be
// removed.
func (mg *merger) addKeys(keys []Key, positionOf func(int) position) {
	for nr, ky := range keys {
		mg.keyAt.add(mg.errorCollector, ky.Digest, positionOf(nr), "key "+ky.Digest.String()[:shownDigestDigits])
		if !ky.Revoked {
			mg.teamAt.check(mg.errorCollector, ky.Team, positionOf(nr), "team "+quote(ky.Team)+" of the active key "+ky.Digest.String()[:shownDigestDigits])
		}
		mg.ef.Keys = append(mg.ef.Keys, ky)
	}
}

// shownDigestDigits is the number of leading digits of a key digest in error messages and differences.
const shownDigestDigits = 12

func quote[T ~string](name T) string { return "\"" + string(name) + "\"" }
