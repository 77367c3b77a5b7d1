package config

import (
	"strings"

	"damasklatch/core/id"
)

// index maps the names of elements of a configuration to their indexes in the lists of Effective. byPath does so for the
// path prefixes of routes.
type index struct {
	teams   map[id.Team]int
	routes  map[id.Route]int
	sites   map[id.Site]int
	regions map[id.Region]int
	domains map[id.FailureDomain]int
	byPath  map[string]int
}

func newIndex(ef *Effective) *index {
	return &index{
		teams:   indexByKey(ef.Teams, func(tm *Team) id.Team { return tm.Name }),
		routes:  indexByKey(ef.Routes, func(rt *Route) id.Route { return rt.Name }),
		sites:   indexByKey(ef.Sites, func(st *Site) id.Site { return st.Name }),
		regions: indexByKey(ef.Regions, func(rg *Region) id.Region { return rg.Name }),
		domains: indexByKey(ef.FailureDomains, func(fd *FailureDomain) id.FailureDomain { return fd.Name }),
		byPath:  indexByKey(ef.Routes, func(rt *Route) string { return rt.PathPrefix }),
	}
}

// indexByKey maps the key of each element of list to the index of the element.
func indexByKey[K comparable, V any](list []V, key func(*V) K) map[K]int {
	indexes := make(map[K]int, len(list))
	for nr := range list {
		indexes[key(&list[nr])] = nr
	}
	return indexes
}

// indexed returns the index of the configuration. It builds a temporary one if Merge did not build the configuration.
func (ef *Effective) indexed() *index {
	if ef.index != nil {
		return ef.index
	}
	return newIndex(ef)
}

// find returns a pointer to the element of list whose index is stored under the key.
func find[K comparable, V any](indexes map[K]int, list []V, key K) (*V, bool) {
	nr, ok := indexes[key]
	if !ok {
		return nil, false
	}
	return &list[nr], true
}

// RouteFor returns the route with the longest path prefix that matches the path. A prefix matches whole path elements:
// "/a" matches "/a" and "/a/b", but not "/ab"; "/a/" matches "/a/b", but not "/a".
func (ef *Effective) RouteFor(path string) (*Route, bool) {
	ix := ef.indexed()
	for rest := path; rest != ""; {
		if rt, ok := find(ix.byPath, ef.Routes, rest); ok {
			return rt, true
		}
		if strings.HasSuffix(rest, "/") {
			rest = rest[:len(rest)-1]
			continue
		}
		rest = rest[:strings.LastIndexByte(rest, '/')+1]
	}
	return nil, false
}

// Team returns the team with the name, and whether it exists.
func (ef *Effective) Team(name id.Team) (*Team, bool) {
	return find(ef.indexed().teams, ef.Teams, name)
}

// Route returns the route with the name, and whether it exists.
func (ef *Effective) Route(name id.Route) (*Route, bool) {
	return find(ef.indexed().routes, ef.Routes, name)
}

// Site returns the site with the name, and whether it exists.
func (ef *Effective) Site(name id.Site) (*Site, bool) {
	return find(ef.indexed().sites, ef.Sites, name)
}

// Region returns the region with the name, and whether it exists.
func (ef *Effective) Region(name id.Region) (*Region, bool) {
	return find(ef.indexed().regions, ef.Regions, name)
}

// FailureDomain returns the failure domain with the name, and whether it exists.
func (ef *Effective) FailureDomain(name id.FailureDomain) (*FailureDomain, bool) {
	return find(ef.indexed().domains, ef.FailureDomains, name)
}

// RegionOf returns the region of the failure domain with the name, and whether both exist.
func (ef *Effective) RegionOf(name id.FailureDomain) (*Region, bool) {
	fd, ok := ef.FailureDomain(name)
	if !ok {
		return nil, false
	}
	return ef.Region(fd.Region)
}
