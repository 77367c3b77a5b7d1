package config

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"

	"github.com/goccy/go-yaml/ast"
)

// Defaults of the settings and of the fields of routes.
const (
	DefaultLookupTTL    = 3 * time.Second
	DefaultKeyFreshness = 5 * time.Second
	DefaultLoanDuration = 3 * time.Second
	DefaultDeadline     = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
)

// Base is the parsed base file. Merge validates its references.
type Base struct {
	file       string
	deployment string
	settings   Settings
	regions    []located[Region]
	domains    []located[domainItem]
	links      []located[linkItem]
	pools      []located[poolItem]
	teams      []located[teamItem]
	routes     []located[routeItem]
}

type domainItem struct {
	FailureDomain
	regionAt position
}

type linkItem struct {
	Link
	bothWays     bool
	fromAt, toAt position
}

// poolItem gives the limits of the targets of a pool that do not set their own.
type poolItem struct {
	name               id.Pool
	slots, connections int
}

type teamItem struct {
	Team
	routes []located[id.Route]
}

type routeItem struct {
	Route
	pathAt, poolAt position
}

// ParseBase reads the base file. The error is of type Errors.
func ParseBase(file string, src []byte) (*Base, error) {
	rd := newReader(file)
	bs := rd.base(src)
	if err := rd.err(); err != nil {
		return nil, err
	}
	return bs, nil
}

// base returns what can be read of the base file.
func (rd *reader) base(src []byte) *Base {
	bs := &Base{file: rd.file}
	if fs := rd.document(src); fs != nil {
		bs.read(fs)
		fs.done()
	}
	return bs
}

func (bs *Base) read(fs *fields) {
	dep, _ := nameField[string](fs, "deployment")
	bs.deployment = dep
	bs.settings = readSettings(fs)
	bs.regions = items(fs, "regions", readRegion)
	bs.domains = items(fs, "failure_domains", readDomain)
	bs.links = items(fs, "links", readLink)
	bs.pools = items(fs, "pools", readPool)
	bs.teams = items(fs, "teams", readTeam)
	bs.routes = items(fs, "routes", readRoute)
	for _, field := range []string{"regions", "failure_domains"} {
		if _, ok := fs.values[field]; !ok {
			fs.addf(fs.at, "field %q is missing", field)
		}
	}
}

func readSettings(fs *fields) Settings {
	st := Settings{LookupTTL: DefaultLookupTTL, KeyFreshness: DefaultKeyFreshness, LoanDuration: DefaultLoanDuration}
	node := fs.get("settings")
	if node == nil {
		return st
	}
	fe := fs.mapping(node)
	if fe == nil {
		return st
	}
	st.LookupTTL = fe.duration("lookup_ttl", 100*time.Millisecond, time.Minute, DefaultLookupTTL)
	st.KeyFreshness = fe.duration("key_freshness", 0, time.Hour, DefaultKeyFreshness)
	st.LoanDuration = fe.duration("loan_duration", 500*time.Millisecond, time.Minute, DefaultLoanDuration)
	fe.done()
	return st
}

func readRegion(fs *fields) Region {
	name, _ := nameField[id.Region](fs, "name")
	return Region{
		Name:     name,
		Capacity: fs.count("capacity", false, 0, 0),
		ShiftCap: fs.rate("shift_cap", false),
		Drained:  fs.boolean("drained"),
	}
}

func readDomain(fs *fields) domainItem {
	name, _ := nameField[id.FailureDomain](fs, "name")
	region, at := nameField[id.Region](fs, "region")
	return domainItem{
		FailureDomain: FailureDomain{
			Name: name, Region: region, EntryVMs: fs.count("entry_vms", true, 1, 1), Drained: fs.boolean("drained"),
		},
		regionAt: at,
	}
}

func readLink(fs *fields) linkItem {
	from, fromAt := nameField[id.Region](fs, "from")
	to, toAt := nameField[id.Region](fs, "to")
	if from == to && from != "" {
		fs.addf(toAt, "the link leads from %q to itself", from)
	}
	return linkItem{
		Link: Link{
			From: from, To: to, Capacity: fs.bits("capacity"),
			OneWayDelay: quantity(fs, "one_way", bounds[time.Duration]{required: true, most: time.Minute, format: formatDuration}, parseDuration),
		},
		bothWays: fs.boolean("both_ways"), fromAt: fromAt, toAt: toAt,
	}
}

func readPool(fs *fields) poolItem {
	name, _ := nameField[id.Pool](fs, "name")
	return poolItem{name: name, slots: fs.count("slots", true, 1, 1), connections: fs.count("connections", true, 1, 1)}
}

func readTeam(fs *fields) teamItem {
	name, _ := nameField[id.Team](fs, "name")
	tm := teamItem{Team: Team{Name: name, Rate: fs.rate("rate", true), Burst: fs.burst("burst")}}
	tm.routes = names[id.Route](fs, "routes")
	// A bucket that holds less than one token never admits a request.
	if tm.Rate > 0 && tm.Burst < unit.One && fs.values["burst"] != nil {
		fs.addf(fs.reader.at(fs.values["burst"].Value), "field \"burst\": a team with a rate needs a burst of at least 1")
	}
	return tm
}

func readRoute(fs *fields) routeItem {
	name, _ := nameField[id.Route](fs, "name")
	pool, poolAt := nameField[id.Pool](fs, "pool")
	rt := routeItem{Route: Route{Name: name, Pool: pool, Idempotent: fs.boolean("idempotent")}, poolAt: poolAt}
	rt.PathPrefix, rt.pathAt = readPath(fs)
	rt.Methods = readMethods(fs)
	rt.Access = readAccess(fs)
	rt.Deadline = fs.duration("deadline", time.Millisecond, 24*time.Hour, DefaultDeadline)
	rt.MaxBodyBytes = fs.bytes("max_body", DefaultMaxBodyBytes)
	return rt
}

// systemPath is the path prefix of the daemon's own handlers.
const systemPath = "/v1/"

func readPath(fs *fields) (string, position) {
	path, at, ok := fs.text("path", true)
	switch {
	case !ok:
	case !strings.HasPrefix(path, "/"):
		fs.addf(at, "field \"path\": %q does not begin with a slash", path)
	case strings.Contains(path, "//") || strings.ContainsAny(path, "?#% \t\\") || slices.ContainsFunc(strings.Split(path, "/"), isDots):
		fs.addf(at, "field \"path\": %q is not a plain path prefix", path)
	case strings.HasPrefix(path+"/", systemPath):
		fs.addf(at, "field \"path\": paths under %q belong to the system", systemPath)
	}
	return path, at
}

func isDots(element string) bool { return element == "." || element == ".." }

var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func readMethods(fs *fields) []string {
	node := fs.get("methods")
	if node == nil {
		fs.addf(fs.at, "field \"methods\" is missing")
		return nil
	}
	var methods []string
	fs.list(node, func(el ast.Node) {
		text, ok := fs.scalar(el)
		switch {
		case !ok:
		case !slices.Contains(knownMethods, text):
			fs.addf(fs.reader.at(el), "unknown method %q; known methods: %s", text, strings.Join(knownMethods, ", "))
		case slices.Contains(methods, text):
			fs.addf(fs.reader.at(el), "%q is listed twice", text)
		default:
			methods = append(methods, text)
		}
	})
	if len(methods) == 0 {
		fs.addf(fs.reader.at(node), "field \"methods\" is empty")
	}
	return methods
}

func readAccess(fs *fields) Access {
	text, at, ok := fs.text("access", false)
	if !ok {
		return AccessTeams
	}
	switch ac := Access(text); ac {
	case AccessTeams, AccessOpen:
		return ac
	default:
		fs.addf(at, "field \"access\": %q is neither %q nor %q", text, AccessTeams, AccessOpen)
		return AccessTeams
	}
}
