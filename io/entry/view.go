package entry

import (
	"net/netip"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
)

// view is a state with what is looked up for each request.
type view struct {
	*State
	region     id.Region
	shift      id.Resource
	regionRes  id.Resource
	pools      map[id.Pool]id.Resource
	teams      map[id.Team]teamView
	routes     map[id.Route]bool
	links      map[id.Resource]bool // links with a capacity
	homes      map[id.Site]id.Region
	ttl        time.Duration
	ticketLife time.Duration
	longest    time.Duration // longest deadline of a route
}

type teamView struct {
	resource id.Resource
	routes   map[id.Route]bool
}

func newView(st *State, fd id.FailureDomain) *view {
	vw := &view{
		State: st, pools: map[id.Pool]id.Resource{}, teams: map[id.Team]teamView{}, routes: map[id.Route]bool{},
		links: map[id.Resource]bool{}, homes: map[id.Site]id.Region{}, ttl: config.DefaultLookupTTL,
	}
	if cfg := st.Config; cfg != nil {
		vw.fill(cfg, fd)
	}
	vw.ticketLife = ticketLifeFactor * vw.ttl
	return vw
}

func (vw *view) fill(cfg *config.Effective, fd id.FailureDomain) {
	if cfg.Settings.LookupTTL > 0 {
		vw.ttl = cfg.Settings.LookupTTL
	}
	regions := map[id.FailureDomain]id.Region{}
	for _, dm := range cfg.FailureDomains {
		regions[dm.Name] = dm.Region
	}
	vw.region = regions[fd]
	vw.shift, vw.regionRes = limit.ShiftResource(vw.region), limit.RegionResource(vw.region)
	for _, site := range cfg.Sites {
		vw.homes[site.Name] = regions[site.FailureDomain]
	}
	for _, rt := range cfg.Routes {
		vw.routes[rt.Name] = true
		vw.pools[rt.Pool] = limit.PoolResource(fd, rt.Pool)
		vw.longest = max(vw.longest, rt.Deadline)
	}
	for _, lk := range cfg.Links {
		vw.links[limit.LinkResource(lk.From, lk.To)] = true
	}
	for _, tm := range cfg.Teams {
		tv := teamView{resource: limit.TeamResource(tm.Name), routes: map[id.Route]bool{}}
		for _, rt := range tm.Routes {
			tv.routes[rt] = true
		}
		vw.teams[tm.Name] = tv
	}
}

// homeRegion returns the home region of a caller: that of the site in its ticket, or of its address.
func (vw *view) homeRegion(home id.Site, addr netip.Addr) (id.Region, bool) {
	if home == "" && vw.Steer != nil {
		home, _ = vw.Steer.HomeSite(addr)
	}
	rg, ok := vw.homes[home]
	return rg, ok
}

// route returns the route of a path.
func (vw *view) route(path string) (*config.Route, bool) {
	if vw.Config == nil {
		return nil, false
	}
	return vw.Config.RouteFor(path)
}
