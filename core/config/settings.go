package config

import (
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"damasklatch/core/id"
)

// DaemonSettings are the settings of one daemon, from the file that --settings names. Everything that all daemons
// share is in the configuration instead.
type DaemonSettings struct {
	VM               id.VM
	FailureDomain    id.FailureDomain
	CallerAddress    string // IP address and port for callers
	PeerAddress      string // IP address and port for other daemons and operators
	StoreAddress     string // IP address and port of the platform store
	FleetSecret      []byte // signs tickets; the same on every VM
	OperatorSecret   []byte // authorizes operator calls; the same on every VM
	LogLevel         slog.Level
	TimelineEvents   int           // events that the ring buffer keeps
	MaxConnections   int           // most connections of callers at once
	RequestTableSize int           // most request ids of non-idempotent requests in memory
	StoreTimeout     time.Duration // longest wait for a response of the store, without the wait of a watch
	HeaderTimeout    time.Duration // longest time for a caller to send the headers of a request
	IdleTimeout      time.Duration // longest time that a caller's connection stays open without a request
	DrainTimeout     time.Duration // longest time that a shutdown waits for running requests; zero waits until they end
}

// Defaults of the daemon's settings.
const (
	DefaultTimelineEvents   = 4096
	DefaultMaxConnections   = 20_000
	DefaultRequestTableSize = 50_000
	DefaultStoreTimeout     = 2 * time.Second
	DefaultHeaderTimeout    = 10 * time.Second
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultDrainTimeout     = 0
)

// minSecretBytes is the shortest secret: 128 bits, if it is written as hexadecimal digits.
const minSecretBytes = 32

// ParseDaemonSettings reads a settings file. It calls readFile for the files that hold secrets; their paths are relative
// to the directory of the settings file. The error is of type Errors.
func ParseDaemonSettings(file string, src []byte, readFile func(path string) ([]byte, error)) (*DaemonSettings, error) {
	rd := newReader(file)
	ds := new(DaemonSettings)
	if fs := rd.document(src); fs != nil {
		ds.read(fs, readFile)
		fs.done()
	}
	if err := rd.err(); err != nil {
		return nil, err
	}
	return ds, nil
}

func (ds *DaemonSettings) read(fs *fields, readFile func(path string) ([]byte, error)) {
	ds.VM, _ = nameField[id.VM](fs, "vm")
	ds.FailureDomain, _ = nameField[id.FailureDomain](fs, "failure_domain")
	ds.CallerAddress, _ = fs.address("caller_address")
	peer, at := fs.address("peer_address")
	if peer != "" && peer == ds.CallerAddress {
		fs.addf(at, "field \"peer_address\": %q is the caller_address too", peer)
	}
	ds.PeerAddress = peer
	ds.StoreAddress, _ = fs.address("store_address")
	ds.FleetSecret = fs.secret("fleet_secret", readFile)
	ds.OperatorSecret = fs.secret("operator_secret", readFile)
	ds.LogLevel = fs.logLevel("log_level")
	ds.TimelineEvents = fs.count("timeline_events", false, 1, DefaultTimelineEvents)
	ds.MaxConnections = fs.count("max_connections", false, 1, DefaultMaxConnections)
	ds.RequestTableSize = fs.count("request_table_size", false, 1, DefaultRequestTableSize)
	ds.StoreTimeout = fs.duration("store_timeout", 10*time.Millisecond, time.Minute, DefaultStoreTimeout)
	ds.HeaderTimeout = fs.duration("header_timeout", 100*time.Millisecond, time.Hour, DefaultHeaderTimeout)
	ds.IdleTimeout = fs.duration("idle_timeout", 100*time.Millisecond, 24*time.Hour, DefaultIdleTimeout)
	ds.DrainTimeout = fs.duration("drain_timeout", 0, 24*time.Hour, DefaultDrainTimeout)
}

// secret reads a secret from the field, or from the file that the field with the suffix "_file" names. Messages
// never show the secret.
func (fs *fields) secret(name string, readFile func(path string) ([]byte, error)) []byte {
	direct, path := fs.get(name), fs.get(name+"_file")
	switch {
	case direct == nil && path == nil:
		fs.addf(fs.at, "field %q or %q is missing", name, name+"_file")
		return nil
	case direct != nil && path != nil:
		fs.addf(fs.reader.at(path), "fields %q and %q exclude each other", name, name+"_file")
		return nil
	case direct != nil:
		text, ok := fs.scalar(direct)
		if !ok {
			return nil
		}
		return fs.checkSecret(fs.reader.at(direct), name, text)
	}
	text, ok := fs.scalar(path)
	if !ok {
		return nil
	}
	if !filepath.IsAbs(text) {
		text = filepath.Join(filepath.Dir(fs.file), text)
	}
	content, err := readFile(text)
	if err != nil {
		fs.addf(fs.reader.at(path), "field %q: %v", name+"_file", err)
		return nil
	}
	return fs.checkSecret(fs.reader.at(path), name, strings.TrimSpace(string(content)))
}

func (fs *fields) checkSecret(at position, name, text string) []byte {
	if len(text) < minSecretBytes {
		fs.addf(at, "the %s has %d characters, at least %d are needed", name, len(text), minSecretBytes)
	}
	return []byte(text)
}

func (fs *fields) logLevel(name string) slog.Level {
	text, at, ok := fs.text(name, false)
	switch {
	case !ok, text == "info":
		return slog.LevelInfo
	case text == "debug":
		return slog.LevelDebug
	case text == "warn":
		return slog.LevelWarn
	case text == "error":
		return slog.LevelError
	}
	fs.addf(at, "field %q: %q is none of debug, info, warn, error", name, text)
	return slog.LevelInfo
}
