package config

import (
	"log/slog"
	"math"
	"strconv"
	"time"

	"damasklatch/core/id"
)

// GatewaySettings are the settings of a daemon whose targets register themselves and whose configuration an outside system
// keeps.
type GatewaySettings struct {
	VM             id.VM
	FailureDomain  id.FailureDomain
	Region         id.Region
	Regions        map[id.FailureDomain]id.Region
	CallerAddress  string
	ReadyAddress   string
	LookupAddress  string
	StatusAddress  string
	MetricsAddress string
	StoreAddress   string
	// RelayAddress is where other VMs follow what this one knows of the store, and Seeds are those of some VMs, which a VM asks
	// before the store when it starts.
	RelayAddress string
	Seeds        []string
	LogLevel     slog.Level
	MemoryLimit  int64 // bytes; zero means none
	// LinkRate is the rate of the VM's network link in Mbit/s; zero means unknown. VMs with fast links serve others.
	LinkRate float64
	// RevokeWithin is the time after which a withdrawn key must not be served any more.
	RevokeWithin time.Duration
	// DrainWithin is the time after which a leaving target must not get work any more.
	DrainWithin time.Duration
	// Grace is the time between the request to stop and the end of the process.
	Grace time.Duration
	// AcceptAfterStop is the time after the request to stop for which new requests are still taken, because callers keep
	// the answers to look-ups.
	AcceptAfterStop time.Duration
	// RetryRatio is the part of the requests to a pool that may be sent again, RetrySlack the number of those that are
	// allowed besides, both in RetryWindow and over all VMs.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// LimitSlack is the number of requests by which the VMs together may exceed the burst of a team.
	LimitSlack float64
}

const (
	// longestBound bounds the times in the settings of a gateway.
	longestBound = time.Hour
	// mostSlack bounds a number of requests.
	mostSlack = 1e9
	// fastestLink bounds the rate of a link in Mbit/s.
	fastestLink = 1e6
)

// ParseGatewaySettings reads the settings file of a gateway. The error is of type Errors.
func ParseGatewaySettings(file string, src []byte) (*GatewaySettings, error) {
	rd := newReader(file)
	gs := new(GatewaySettings)
	if fs := rd.document(src); fs != nil {
		gs.read(fs)
		fs.done()
	}
	if err := rd.err(); err != nil {
		return nil, err
	}
	return gs, nil
}

func (gs *GatewaySettings) read(fs *fields) {
	gs.VM = givenName[id.VM](fs, "vm")
	gs.FailureDomain = givenName[id.FailureDomain](fs, "failure_domain")
	gs.Region = givenName[id.Region](fs, "region")
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
	for _, it := range items(fs, "seeds", readSeed) {
		gs.Seeds = append(gs.Seeds, it.value)
	}
	gs.LogLevel = fs.logLevel("log_level")
	gs.MemoryLimit = fs.bytes("memory_limit", 0)
	gs.LinkRate = fs.number("link_mbits", fastestLink, 0)
	gs.RevokeWithin = fs.duration("revoke_within", time.Second, longestBound, 5*time.Second)
	gs.DrainWithin = fs.duration("drain_within", 100*time.Millisecond, longestBound, 2*time.Second)
	gs.Grace = fs.duration("grace", 100*time.Millisecond, longestBound, 10*time.Second)
	gs.AcceptAfterStop = fs.duration("accept_after_stop", 0, longestBound, DefaultAcceptAfterStop)
	gs.RetryRatio = fs.number("retry_ratio", 1, DefaultRetryRatio)
	gs.RetryWindow = fs.duration("retry_window", time.Second, longestBound, 10*time.Second)
	gs.RetrySlack = fs.number("retry_slack", mostSlack, 0)
	gs.LimitSlack = fs.number("limit_slack", mostSlack, 0)
	gs.Regions = map[id.FailureDomain]id.Region{gs.FailureDomain: gs.Region}
	for _, it := range items(fs, "failure_domains", readDomainRegion) {
		gs.Regions[it.value.name] = it.value.region
	}
}

// DefaultAcceptAfterStop leaves time for callers to look up again.
const DefaultAcceptAfterStop = 2500 * time.Millisecond

// DefaultRetryRatio is the part of the requests that may be sent again.
const DefaultRetryRatio = 0.1

func readSeed(fs *fields) string {
	address, _ := fs.address("address")
	return address
}

type domainRegion struct {
	name   id.FailureDomain
	region id.Region
}

func readDomainRegion(fs *fields) domainRegion {
	return domainRegion{
		name: givenName[id.FailureDomain](fs, "failure_domain"), region: givenName[id.Region](fs, "region"),
	}
}

// givenName reads a required name that the deployment gives, in any form.
func givenName[T ~string](fs *fields, name string) T {
	text, at, ok := fs.text(name, true)
	if ok && text == "" {
		fs.addf(at, "field %q is empty", name)
	}
	return T(text)
}

// number reads a number from 0 to most.
func (fs *fields) number(name string, most, fallback float64) float64 {
	text, at, ok := fs.text(name, false)
	if !ok {
		return fallback
	}
	val, err := strconv.ParseFloat(text, 64)
	if err != nil || val < 0 || val > most || math.IsNaN(val) {
		fs.addf(at, "field %q: %q is not a number from 0 to %g", name, text, most)
		return fallback
	}
	return val
}
