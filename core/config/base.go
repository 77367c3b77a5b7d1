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

// Default values of optional fields in the base file. DefaultMaxBodyBytes is in bytes.
const (
	DefaultLookupTTL    = 3 * time.Second
	DefaultKeyFreshness = 5 * time.Second
	DefaultLoanDuration = 3 * time.Second
	DefaultDeadline     = 10 * time.Second
	DefaultMaxBodyBytes = 1 << 20
)

// Base is the parsed base file. Names that refer to other elements are not validated until Merge.
type Base struct {
	file       string
	deployment string
	settings   Settings
	regions    []located[Region]
	domains    []located[domainDecl]
	links      []located[linkDecl]
	pools      []located[poolDecl]
	teams      []located[teamDecl]
	routes     []located[routeDecl]
}

// domainDecl is a declared failure domain and the position of its field "region".
type domainDecl struct {
	FailureDomain
	regionAt position
}

// linkDecl is a declared link and the positions of its fields "from" and "to".
type linkDecl struct {
	Link
	bothWays     bool // the link also exists in the opposite direction
	fromAt, toAt position
}

// poolDecl is a declared pool. Its limits are the defaults for targets that set none.
type poolDecl struct {
	name               id.Pool
	slots, connections int
}

// teamDecl is a declared team and the positions of the routes that it lists.
type teamDecl struct {
	Team
	routes []located[id.Route]
}

// routeDecl is a declared route and the positions of its fields "path" and "pool".
type routeDecl struct {
	Route
	pathAt, poolAt position
}

// ParseBase parses the content src of the base file. Errors name the file as file. The returned error is of type Errors.
func ParseBase(file string, src []byte) (*Base, error) {
	rd := newReader(file)
	bs := rd.readBase(src)
	if err := rd.err(); err != nil {
		return nil, err
	}
	return bs, nil
}

// readBase parses as much of the base file as possible and records the errors in the reader.
func (rd *reader) readBase(src []byte) *Base {
	bs := &Base{file: rd.file}
	if fs := rd.readDocument(src); fs != nil {
		bs.read(fs)
		fs.reportUnknownFields()
	}
	return bs
}

func (bs *Base) read(fs *fields) {
	dep, _ := nameField[string](fs, "deployment")
	bs.deployment = dep
	bs.settings = readSettings(fs)
	bs.regions = readMappings(fs, "regions", readRegion)
	bs.domains = readMappings(fs, "failure_domains", readDomain)
	bs.links = readMappings(fs, "links", readLink)
	bs.pools = readMappings(fs, "pools", readPool)
	bs.teams = readMappings(fs, "teams", readTeam)
	bs.routes = readMappings(fs, "routes", readRoute)
	for _, field := range []string{"regions", "failure_domains"} {
		if _, ok := fs.values[field]; !ok {
			fs.addf(fs.pos, "field %q is missing", field)
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
	fe.reportUnknownFields()
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

func readDomain(fs *fields) domainDecl {
	name, _ := nameField[id.FailureDomain](fs, "name")
	region, at := nameField[id.Region](fs, "region")
	return domainDecl{
		FailureDomain: FailureDomain{
			Name: name, Region: region, EntryVMs: fs.count("entry_vms", true, 1, 1), Drained: fs.boolean("drained"),
		},
		regionAt: at,
	}
}

func readLink(fs *fields) linkDecl {
	from, fromAt := nameField[id.Region](fs, "from")
	to, toAt := nameField[id.Region](fs, "to")
	if from == to && from != "" {
		fs.addf(toAt, "the link connects region %q to itself", from)
	}
	return linkDecl{
		Link: Link{
			From: from, To: to, Capacity: fs.bits("capacity"),
			OneWayDelay: quantity(fs, "one_way", bounds[time.Duration]{required: true, maximum: time.Minute, format: formatDuration}, parseDuration),
		},
		bothWays: fs.boolean("both_ways"), fromAt: fromAt, toAt: toAt,
	}
}

func readPool(fs *fields) poolDecl {
	name, _ := nameField[id.Pool](fs, "name")
	return poolDecl{name: name, slots: fs.count("slots", true, 1, 1), connections: fs.count("connections", true, 1, 1)}
}

func readTeam(fs *fields) teamDecl {
	name, _ := nameField[id.Team](fs, "name")
	tm := teamDecl{Team: Team{Name: name, Rate: fs.rate("rate", true), Burst: fs.burst("burst")}}
	tm.routes = readNames[id.Route](fs, "routes")
	// Each request takes one token, so a bucket that holds less than one never admits a request.
	if tm.Rate > 0 && tm.Burst < unit.One && fs.values["burst"] != nil {
		fs.addf(fs.reader.pos(fs.values["burst"].Value), "field \"burst\": a team with a rate needs a burst of at least 1")
	}
	return tm
}

func readRoute(fs *fields) routeDecl {
	name, _ := nameField[id.Route](fs, "name")
	pool, poolAt := nameField[id.Pool](fs, "pool")
	rt := routeDecl{Route: Route{Name: name, Pool: pool, Idempotent: fs.boolean("idempotent")}, poolAt: poolAt}
	rt.PathPrefix, rt.pathAt = readPath(fs)
	rt.Methods = readMethods(fs)
	rt.Access = readAccess(fs)
	rt.Deadline = fs.duration("deadline", time.Millisecond, 24*time.Hour, DefaultDeadline)
	rt.MaxBodyBytes = fs.bytes("max_body", DefaultMaxBodyBytes)
	return rt
}

// reservedPathPrefix is the path prefix of the daemon's own HTTP handlers. No route may use it.
const reservedPathPrefix = "/v1/"

func readPath(fs *fields) (string, position) {
	path, at, ok := fs.text("path", true)
	switch {
	case !ok:
	case !strings.HasPrefix(path, "/"):
		fs.addf(at, "field \"path\": %q does not begin with a slash", path)
	case strings.Contains(path, "//") || strings.ContainsAny(path, "?#% \t\\") || slices.ContainsFunc(strings.Split(path, "/"), isDotElement):
		fs.addf(at, "field \"path\": %q is not a valid path prefix: empty elements, \".\", \"..\", query, fragment, escapes, spaces and backslashes are not allowed", path)
	case strings.HasPrefix(path+"/", reservedPathPrefix):
		fs.addf(at, "field \"path\": paths under %q are reserved", reservedPathPrefix)
	}
	return path, at
}

func isDotElement(element string) bool { return element == "." || element == ".." }

var allowedMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
}

func readMethods(fs *fields) []string {
	node := fs.get("methods")
	if node == nil {
		fs.addf(fs.pos, "field \"methods\" is missing")
		return nil
	}
	var methods []string
	fs.forEachElement(node, func(el ast.Node) {
		text, ok := fs.scalar(el)
		switch {
		case !ok:
		case !slices.Contains(allowedMethods, text):
			fs.addf(fs.reader.pos(el), "unknown method %q; known methods: %s", text, strings.Join(allowedMethods, ", "))
		case slices.Contains(methods, text):
			fs.addf(fs.reader.pos(el), "%q is listed twice", text)
		default:
			methods = append(methods, text)
		}
	})
	if len(methods) == 0 {
		fs.addf(fs.reader.pos(node), "field \"methods\" is empty")
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
