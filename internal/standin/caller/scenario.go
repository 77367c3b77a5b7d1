package caller

import (
	"bytes"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"damasklatch/core/id"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Scenario defines the load of a run: the teams, their requests and rates, and the duration.
type Scenario struct {
	Seed        uint64        `yaml:"seed"`
	Duration    time.Duration `yaml:"duration"`      // no operation starts later
	Entries     []string      `yaml:"entries"`       // addresses of the entry VMs that are asked for look-ups
	DialTimeout time.Duration `yaml:"dial_timeout"`  // for a connection to an entry VM
	Timeout     time.Duration `yaml:"timeout"`       // of an attempt; Work.Timeout overrides it
	MaxTries    int           `yaml:"max_tries"`     // attempts of an operation
	MaxInFlight int           `yaml:"max_in_flight"` // concurrent operations of a team with a rate; the rest is not run
	Teams       []Team        `yaml:"teams"`
}

// Team is a team of callers. Either Rate or Callers is set. With Rate the team starts operations at random times in an
// open loop. With Callers it runs that many closed loops, each with one operation at a time.
type Team struct {
	Team    id.Team       `yaml:"team"`
	Key     string        `yaml:"key"`     // API key; usually read from a file, see ReadKeys
	NoKey   bool          `yaml:"no_key"`  // the callers send no key and use routes that allow anonymous requests
	Rate    float64       `yaml:"rate"`    // operations per second
	Callers int           `yaml:"callers"` // number of closed loops
	Pause   time.Duration `yaml:"pause"`   // between two operations of a closed loop
	// Clients is the IP address or prefix of the clients for which the team sends requests.
	Clients     string `yaml:"clients"`
	ClientCount int    `yaml:"client_count"` // number of addresses used from the prefix; 4 if not set
	Surge       Surge  `yaml:"surge"`
	Mix         []Work `yaml:"mix"`

	prefix netip.Prefix // parsed Clients
	weight float64      // sum of the weights in Mix
}

// Surge multiplies the rate of a team by Factor for the time For, beginning After the start of the run. A Factor of zero
// means no surge.
type Surge struct {
	After  time.Duration `yaml:"after"`
	For    time.Duration `yaml:"for"`
	Factor float64       `yaml:"factor"`
}

// Work is a kind of request. Weight is its share in the mix of a team, relative to the other weights.
type Work struct {
	Route          id.Route      `yaml:"route"`
	Path           string        `yaml:"path"`
	Method         string        `yaml:"method"` // GET if empty
	Idempotent     bool          `yaml:"idempotent"`
	Weight         float64       `yaml:"weight"`
	UploadBytes    int64         `yaml:"upload_bytes"`
	DownloadBytes  int64         `yaml:"download_bytes"`
	BytesPerSecond int64         `yaml:"bytes_per_second"` // upload rate; zero means no limit
	ServiceMs      float64       `yaml:"service_ms"`       // median service time; zero means the default of the target
	Timeout        time.Duration `yaml:"timeout"`          // of an attempt; Scenario.Timeout if not set
	Duplicate      float64       `yaml:"duplicate"`        // fraction of operations that send the ticket twice concurrently; ignored if Idempotent
	Late           float64       `yaml:"late"`             // fraction of operations that send the ticket again after the response; ignored if Idempotent
	LateAfter      time.Duration `yaml:"late_after"`       // time between the response and the late duplicate
	LeakKey        bool          `yaml:"leak_key"`         // also sends the key in other headers, the query and a trailer of an upload
}

// minTransferBytes is the minimum size of a long transfer.
const minTransferBytes = 256 << 10

// isLongTransfer reports whether the upload or download is a long transfer.
func (wk Work) isLongTransfer() bool {
	return max(wk.UploadBytes, wk.DownloadBytes) >= minTransferBytes
}

// ParseScenario decodes a scenario in YAML, fills in defaults and validates it. An unknown field is an error. The name file
// appears in errors only.
func ParseScenario(file string, src []byte) (*Scenario, error) {
	sc := &Scenario{
		Seed: 1, Duration: 20 * time.Second, DialTimeout: 500 * time.Millisecond, Timeout: 10 * time.Second,
		MaxTries: 6, MaxInFlight: 512,
	}
	if err := yaml.NewDecoder(bytes.NewReader(src), yaml.DisallowUnknownField()).Decode(sc); err != nil {
		return nil, errors.Wrap(err, file)
	}
	for i := range sc.Teams {
		if err := sc.Teams[i].check(sc); err != nil {
			return nil, errors.Wrapf(err, "%s: team %q", file, sc.Teams[i].Team)
		}
	}
	if len(sc.Teams) == 0 {
		return nil, errors.Errorf("%s: the scenario contains no teams", file)
	}
	return sc, nil
}

// check fills in the defaults of a team and validates it.
func (tm *Team) check(sc *Scenario) error {
	if (tm.Rate > 0) == (tm.Callers > 0) {
		return errors.New("set exactly one of rate and callers to a value above zero")
	}
	if len(tm.Mix) == 0 {
		return errors.New("the field mix contains no work")
	}
	var err error
	if tm.prefix, err = parsePrefix(tm.Clients); err != nil {
		return err
	}
	if tm.ClientCount <= 0 {
		tm.ClientCount = 4
	}
	for i := range tm.Mix {
		wk := &tm.Mix[i]
		if wk.Route == "" || !strings.HasPrefix(wk.Path, "/") || wk.Weight <= 0 {
			return errors.Errorf("work %d needs a route, an absolute path and a weight above zero", i+1)
		}
		if wk.Method == "" {
			wk.Method = http.MethodGet
		}
		if wk.Timeout <= 0 {
			wk.Timeout = sc.Timeout
		}
		tm.weight += wk.Weight
	}
	return nil
}

// parsePrefix parses a prefix or a single IP address.
func parsePrefix(s string) (netip.Prefix, error) {
	if ad, err := netip.ParseAddr(s); err == nil {
		return netip.PrefixFrom(ad, ad.BitLen()), nil
	}
	pf, err := netip.ParsePrefix(s)
	return pf, errors.Wrap(err, "field clients")
}

// ReadKeys reads the keys of teams without a key from the files <dir>/<team>.key. It skips teams with NoKey.
func (sc *Scenario) ReadKeys(dir string) error {
	for i := range sc.Teams {
		tm := &sc.Teams[i]
		if tm.Key != "" || tm.NoKey {
			continue
		}
		src, err := os.ReadFile(filepath.Join(dir, string(tm.Team)+".key"))
		if err != nil {
			return errors.Wrapf(err, "read key of team %q", tm.Team)
		}
		tm.Key = strings.TrimSpace(string(src))
	}
	return nil
}
