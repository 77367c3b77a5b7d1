package entry

import (
	"net/netip"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
)

// view is a State with indexes for the data that each request looks up.
type view struct {
	*State
	region         id.Region
	shiftResource  id.Resource
	regionResource id.Resource
	poolResources  map[id.Pool]id.Resource
	teams          map[id.Team]teamView
	routes         map[id.Route]bool
	limitedLinks   map[id.Resource]bool // links with a configured capacity
	siteRegions    map[id.Site]id.Region
	lookupTTL      time.Duration
	ticketLifetime time.Duration
	maxDeadline    time.Duration // longest deadline of all routes
}

// teamView holds the rate limit of a team and the routes that it may use.
type teamView struct {
	resource id.Resource
	routes   map[id.Route]bool
}

func newView(st *State, fd id.FailureDomain) *view {
	vw := &view{
		State: st, poolResources: map[id.Pool]id.Resource{}, teams: map[id.Team]teamView{}, routes: map[id.Route]bool{},
		limitedLinks: map[id.Resource]bool{}, siteRegions: map[id.Site]id.Region{}, lookupTTL: config.DefaultLookupTTL,
	}
	if cfg := st.Config; cfg != nil {
		vw.fill(cfg, fd)
	}
	vw.ticketLifetime = ticketLifetimeFactor * vw.lookupTTL
	return vw
}

// fill builds the indexes from the configuration for a VM in the failure domain.
func (vw *view) fill(cfg *config.Effective, fd id.FailureDomain) {
	if cfg.Settings.LookupTTL > 0 {
		vw.lookupTTL = cfg.Settings.LookupTTL
	}
	regions := map[id.FailureDomain]id.Region{}
	for _, dm := range cfg.FailureDomains {
		regions[dm.Name] = dm.Region
	}
	vw.region = regions[fd]
	vw.shiftResource, vw.regionResource = limit.ShiftResource(vw.region), limit.RegionResource(vw.region)
	for _, site := range cfg.Sites {
		vw.siteRegions[site.Name] = regions[site.FailureDomain]
	}
	for _, rt := range cfg.Routes {
		vw.routes[rt.Name] = true
		vw.poolResources[rt.Pool] = limit.PoolResource(fd, rt.Pool)
		vw.maxDeadline = max(vw.maxDeadline, rt.Deadline)
	}
	for _, lk := range cfg.Links {
		vw.limitedLinks[limit.LinkResource(lk.From, lk.To)] = true
	}
	for _, tm := range cfg.Teams {
		tv := teamView{resource: limit.TeamResource(tm.Name), routes: map[id.Route]bool{}}
		for _, rt := range tm.Routes {
			tv.routes[rt] = true
		}
		vw.teams[tm.Name] = tv
	}
}

// homeRegion returns the home region of a caller. It is the region of the site in the ticket, or of the site that the
// address belongs to if home is empty.
func (vw *view) homeRegion(home id.Site, addr netip.Addr) (id.Region, bool) {
	if home == "" && vw.Lookup != nil {
		home, _ = vw.Lookup.HomeSite(addr)
	}
	rg, ok := vw.siteRegions[home]
	return rg, ok
}

// route returns the route that matches the path.
func (vw *view) route(path string) (*config.Route, bool) {
	if vw.Config == nil {
		return nil, false
	}
	return vw.Config.RouteFor(path)
}
