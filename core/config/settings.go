package config

import (
	"log/slog"
	"path/filepath"
	"strings"
	"time"

	"damasklatch/core/id"
)

// DaemonSettings holds the settings of one daemon, from the file given by the flag --settings. Settings that all daemons
// share are part of the configuration instead.
type DaemonSettings struct {
	VM               id.VM
	FailureDomain    id.FailureDomain
	CallerAddress    string // IP address and port for callers
	PeerAddress      string // IP address and port for other daemons and operators
	StoreAddress     string // IP address and port of the platform store
	FleetSecret      []byte // signs tickets; the same on every VM
	OperatorSecret   []byte // authorizes operator calls; the same on every VM
	LogLevel         slog.Level
	TimelineEvents   int           // number of events that the ring buffer holds
	MaxConnections   int           // maximum number of concurrent connections from callers
	RequestTableSize int           // maximum number of request IDs of non-idempotent requests kept in memory
	StoreTimeout     time.Duration // timeout for a response of the store, not counting the wait of a watch
	HeaderTimeout    time.Duration // timeout for a caller to send the headers of a request
	IdleTimeout      time.Duration // time after which a caller's connection without a request is closed
	DrainTimeout     time.Duration // maximum time that a shutdown waits for running requests; zero means no limit
}

// Default values of the optional settings of a daemon.
const (
	DefaultTimelineEvents   = 4096
	DefaultMaxConnections   = 20_000
	DefaultRequestTableSize = 50_000
	DefaultStoreTimeout     = 2 * time.Second
	DefaultHeaderTimeout    = 10 * time.Second
	DefaultIdleTimeout      = 2 * time.Minute
	DefaultDrainTimeout     = 0
)

// minSecretBytes is the minimum length of a secret. Written as hexadecimal digits, it holds 128 bits.
const minSecretBytes = 32

// ParseDaemonSettings parses the content src of a settings file of a daemon. Errors name the file as file. It calls
// readFile to read the files that hold secrets; relative paths are resolved against the directory of file. The returned
// error is of type Errors.
func ParseDaemonSettings(file string, src []byte, readFile func(path string) ([]byte, error)) (*DaemonSettings, error) {
	rd := newReader(file)
	ds := new(DaemonSettings)
	if fs := rd.readDocument(src); fs != nil {
		ds.read(fs, readFile)
		fs.reportUnknownFields()
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

// secret reads a secret from the field, or from the file named in the field with the suffix "_file". Exactly one of the
// two fields must be set. Error messages never contain the secret.
func (fs *fields) secret(name string, readFile func(path string) ([]byte, error)) []byte {
	direct, path := fs.get(name), fs.get(name+"_file")
	switch {
	case direct == nil && path == nil:
		fs.addf(fs.pos, "field %q or %q is missing", name, name+"_file")
		return nil
	case direct != nil && path != nil:
		fs.addf(fs.reader.pos(path), "only one of the fields %q and %q may be set", name, name+"_file")
		return nil
	case direct != nil:
		text, ok := fs.scalar(direct)
		if !ok {
			return nil
		}
		return fs.checkSecret(fs.reader.pos(direct), name, text)
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
		fs.addf(fs.reader.pos(path), "field %q: %v", name+"_file", err)
		return nil
	}
	return fs.checkSecret(fs.reader.pos(path), name, strings.TrimSpace(string(content)))
}

// checkSecret returns the secret and adds an error if it is too short.
func (fs *fields) checkSecret(at position, name, text string) []byte {
	if len(text) < minSecretBytes {
		fs.addf(at, "the %s has %d characters, at least %d are needed", name, len(text), minSecretBytes)
	}
	return []byte(text)
}

// logLevel reads an optional field that holds a log level. The default is info.
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
