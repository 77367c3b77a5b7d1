package config

import (
	"log/slog"
	"math"
	"strconv"
	"time"

	"damasklatch/core/id"
)

// GatewaySettings holds the settings of one gateway daemon. The targets of a gateway register themselves, and an external
// system manages its configuration. Addresses are IP addresses with a port.
type GatewaySettings struct {
	VM             id.VM
	FailureDomain  id.FailureDomain
	Region         id.Region
	Regions        map[id.FailureDomain]id.Region // regions of all known failure domains, its own included
	CallerAddress  string
	ReadyAddress   string
	LookupAddress  string
	StatusAddress  string
	MetricsAddress string
	StoreAddress   string
	// RelayAddress is the address at which other VMs can read this VM's copy of the store. Seeds are the relay addresses of
	// other VMs. When the VM starts, it asks them before it asks the store.
	RelayAddress string
	Seeds        []string
	LogLevel     slog.Level
	MemoryLimit  int64 // bytes; zero means no limit
	// LinkRate is the rate of the VM's network link in Mbit/s; zero means unknown. VMs with fast links relay the
	// store to other VMs.
	LinkRate float64
	// RevokeWithin is the time after the revocation of a key from which on all requests with it must be refused.
	RevokeWithin time.Duration
	// DrainWithin is the time after the start of the drain of a target from which on it must not receive requests.
	DrainWithin time.Duration
	// Grace is the time from the request to stop to the end of the process.
	Grace time.Duration
	// AcceptAfterStop is the time after the request to stop during which new requests are still accepted. Callers cache the
	// results of lookups, so they still send requests to a VM that is stopping.
	AcceptAfterStop time.Duration
	// RetryRatio and RetrySlack limit the retries of requests to a pool over all VMs. In each RetryWindow, the number of
	// retries may be at most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LimitSlack is the number of requests by which all VMs together may exceed the burst of a team.
	LimitSlack float64
}

const (
	// maxSettingTime is the maximum of each duration in the settings of a gateway.
	maxSettingTime = time.Hour
	// maxSlack is the maximum of RetrySlack and LimitSlack, in requests.
	maxSlack = 1e9
	// maxLinkMbits is the maximum of LinkRate, in Mbit/s.
	maxLinkMbits = 1e6
)

// ParseGatewaySettings parses the content src of a settings file of a gateway. Errors name the file as file. The returned
// error is of type Errors.
func ParseGatewaySettings(file string, src []byte) (*GatewaySettings, error) {
	rd := newReader(file)
	gs := new(GatewaySettings)
	if fs := rd.readDocument(src); fs != nil {
		gs.read(fs)
		fs.reportUnknownFields()
	}
	if err := rd.err(); err != nil {
		return nil, err
	}
	return gs, nil
}

func (gs *GatewaySettings) read(fs *fields) {
	gs.VM = nonEmptyName[id.VM](fs, "vm")
	gs.FailureDomain = nonEmptyName[id.FailureDomain](fs, "failure_domain")
	gs.Region = nonEmptyName[id.Region](fs, "region")
	gs.CallerAddress, _ = fs.address("caller_address")
	gs.ReadyAddress, _ = fs.address("ready_address")
	gs.LookupAddress, _ = fs.address("lookup_address")
	gs.StatusAddress, _ = fs.address("status_address")
	gs.MetricsAddress, _ = fs.address("metrics_address")
	gs.StoreAddress, _ = fs.address("store_address")
	gs.RelayAddress = gs.MetricsAddress
	if fs.get("relay_address") != nil {
		gs.RelayAddress, _ = fs.address("relay_address")
	}
	for _, it := range readMappings(fs, "seeds", readSeed) {
		gs.Seeds = append(gs.Seeds, it.value)
	}
	gs.LogLevel = fs.logLevel("log_level")
	gs.MemoryLimit = fs.bytes("memory_limit", 0)
	gs.LinkRate = fs.number("link_mbits", maxLinkMbits, 0)
	gs.RevokeWithin = fs.duration("revoke_within", time.Second, maxSettingTime, 5*time.Second)
	gs.DrainWithin = fs.duration("drain_within", 100*time.Millisecond, maxSettingTime, 2*time.Second)
	gs.Grace = fs.duration("grace", 100*time.Millisecond, maxSettingTime, 10*time.Second)
	gs.AcceptAfterStop = fs.duration("accept_after_stop", 0, maxSettingTime, DefaultAcceptAfterStop)
	gs.RetryRatio = fs.number("retry_ratio", 1, DefaultRetryRatio)
	gs.RetryWindow = fs.duration("retry_window", time.Second, maxSettingTime, 10*time.Second)
	gs.RetrySlack = fs.number("retry_slack", maxSlack, 0)
	gs.LimitSlack = fs.number("limit_slack", maxSlack, 0)
	gs.Regions = map[id.FailureDomain]id.Region{gs.FailureDomain: gs.Region}
	for _, it := range readMappings(fs, "failure_domains", readDomainRegion) {
		gs.Regions[it.value.name] = it.value.region
	}
}

// DefaultAcceptAfterStop is the default of GatewaySettings.AcceptAfterStop. It gives callers time for a new lookup.
const DefaultAcceptAfterStop = 2500 * time.Millisecond

// DefaultRetryRatio is the default of GatewaySettings.RetryRatio.
const DefaultRetryRatio = 0.1

func readSeed(fs *fields) string {
	address, _ := fs.address("address")
	return address
}

// domainRegion is a failure domain and its region.
type domainRegion struct {
	name   id.FailureDomain
	region id.Region
}

func readDomainRegion(fs *fields) domainRegion {
	return domainRegion{
		name: nonEmptyName[id.FailureDomain](fs, "failure_domain"), region: nonEmptyName[id.Region](fs, "region"),
	}
}

// nonEmptyName reads a required field that holds a name. It accepts names that id.ValidName refuses, because the platform
// of the deployment assigns them.
func nonEmptyName[T ~string](fs *fields, name string) T {
	text, at, ok := fs.text(name, true)
	if ok && text == "" {
		fs.addf(at, "field %q is empty", name)
	}
	return T(text)
}

// number reads an optional field that holds a number from 0 to maximum.
func (fs *fields) number(name string, maximum, fallback float64) float64 {
	text, at, ok := fs.text(name, false)
	if !ok {
		return fallback
	}
	val, err := strconv.ParseFloat(text, 64)
	if err != nil || val < 0 || val > maximum || math.IsNaN(val) {
		fs.addf(at, "field %q: %q is not a number from 0 to %g", name, text, maximum)
		return fallback
	}
	return val
}
