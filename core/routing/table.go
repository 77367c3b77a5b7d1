package routing

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"damasklatch/core/id"
)

// Table finds the routes, pools and teams of a configuration. It is immutable and safe for concurrent use.
type Table struct {
	Config Config

	hosts map[string]map[string]*Route // by lower-case host and path prefix
	pools map[id.Pool]*Pool
	teams map[KeyDigest]*Team
}

// New validates a configuration and returns its table. The error describes the first invalid route or team.
func New(cfg Config) (*Table, error) {
	tb := &Table{
		Config: cfg, hosts: map[string]map[string]*Route{}, pools: map[id.Pool]*Pool{}, teams: map[KeyDigest]*Team{},
	}
	for nr := range cfg.Pools {
		tb.pools[cfg.Pools[nr].Name] = &cfg.Pools[nr]
	}
	for nr := range cfg.Routes {
		if err := tb.addRoute(&cfg.Routes[nr]); err != nil {
			return nil, err
		}
	}
	for nr := range cfg.Teams {
		if err := tb.addTeam(&cfg.Teams[nr]); err != nil {
			return nil, err
		}
	}
	return tb, nil
}

// addRoute validates a route and adds it. The pools must have been added before.
func (tb *Table) addRoute(rt *Route) error {
	switch {
	case !strings.HasPrefix(rt.PathPrefix, "/") || !strings.HasSuffix(rt.PathPrefix, "/"):
		return errors.Errorf("route %q: prefix %q does not begin and end with a slash", rt.Name, rt.PathPrefix)
	case len(rt.Pools) == 0:
		return errors.Errorf("route %q has no pool", rt.Name)
	case rt.MaxAttempts < 1:
		return errors.Errorf("route %q allows %d attempts, at least 1 is needed", rt.Name, rt.MaxAttempts)
	case rt.Timeout <= 0:
		return errors.Errorf("route %q has timeout %s, which is not positive", rt.Name, rt.Timeout)
	}
	for _, wt := range rt.Pools {
		if tb.pools[wt.Pool] == nil {
			return errors.Errorf("route %q names pool %q, which does not exist", rt.Name, wt.Pool)
		}
		if wt.Weight < 0 {
			return errors.Errorf("route %q gives pool %q weight %g, which is negative", rt.Name, wt.Pool, wt.Weight)
		}
	}
	host := strings.ToLower(rt.Host)
	if tb.hosts[host] == nil {
		tb.hosts[host] = map[string]*Route{}
	}
	if ot := tb.hosts[host][rt.PathPrefix]; ot != nil {
		return fmt.Errorf("routes %q and %q have the same host and prefix", ot.Name, rt.Name)
	}
	tb.hosts[host][rt.PathPrefix] = rt
	return nil
}

// addTeam adds the keys of a team. It fails if another team has one of them.
func (tb *Table) addTeam(tm *Team) error {
	for _, dg := range tm.Keys {
		if ot := tb.teams[dg]; ot != nil && ot != tm {
			return errors.Errorf("teams %q and %q have a key in common", ot.Name, tm.Name)
		}
		tb.teams[dg] = tm
	}
	return nil
}

// Match returns the route of the host whose path prefix is the longest that matches the path. The host may have a port, which
// is ignored. Prefixes match whole path segments only.
func (tb *Table) Match(host, path string) (*Route, bool) {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	prefixes := tb.hosts[strings.ToLower(host)]
	for end := len(path); end > 0 && prefixes != nil; {
		at := strings.LastIndexByte(path[:end], '/')
		if at < 0 {
			break
		}
		if rt := prefixes[path[:at+1]]; rt != nil {
			return rt, true
		}
		end = at
	}
	return nil, false
}

// Pool returns a pool by its name.
func (tb *Table) Pool(name id.Pool) (*Pool, bool) {
	pl, ok := tb.pools[name]
	return pl, ok
}

// Team returns the team of an API key.
func (tb *Table) Team(key string) (*Team, bool) {
	tm, ok := tb.teams[Digest(key)]
	return tm, ok
}

// EffectivePriority returns the priority of a team's requests on the route. The team may be nil.
func (rt *Route) EffectivePriority(tm *Team) Priority {
	if tm != nil && tm.Priority != nil {
		return *tm.Priority
	}
	return rt.Priority
}

// RegionAllowed reports whether a team's requests on the route may run in a region. The team may be nil.
func (rt *Route) RegionAllowed(tm *Team, rg id.Region) bool {
	if len(rt.Regions) > 0 && !slices.Contains(rt.Regions, rg) {
		return false
	}
	return tm == nil || len(tm.Regions) == 0 || slices.Contains(tm.Regions, rg)
}
