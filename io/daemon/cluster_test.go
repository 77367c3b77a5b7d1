package daemon_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/internal/configdir"
	"damasklatch/internal/standin/platform"
	"damasklatch/internal/standin/target"
	"damasklatch/io/daemon"
	"damasklatch/io/store"
)

// cluster runs the daemons of three failure domains in this process over TCP connections. A test can cut a failure domain
// off from the others and from the store, because each failure domain has its own IP address.
type cluster struct {
	t        *testing.T
	cfg      *config.Effective
	sources  *config.Sources
	platform *platform.Server
	store    store.Store
	running  sync.WaitGroup
	cancel   context.CancelFunc

	mu       sync.Mutex
	isolated map[string]bool // IP addresses of the failure domains that are cut off
}

// clusterNetwork is the second octet of the cluster's addresses, on which the ports are fixed.
var clusterNetwork = sync.OnceValue(reserveNetwork)

// networkLock keeps other runs of this test binary on the machine from using the same network while the process runs.
var networkLock net.Listener

// reserveNetwork returns a second octet that no other run uses.
func reserveNetwork() int {
	const first, last, lockPort = 30, 250, 15999
	for octet := first; octet <= last; octet++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", octet, lockPort))
		if err == nil {
			networkLock = ln
			return octet
		}
	}
	panic("every loopback network of the cluster is in use")
}

func domainAddress(nr int) string { return fmt.Sprintf("127.%d.%d.1", clusterNetwork(), nr) }

// clusterDomains lists the failure domains of the example configuration that are used, one in each region.
var clusterDomains = []id.FailureDomain{"north-a", "central-a", "south-a"}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return newClusterWith(t, strings.NewReplacer())
}

// newClusterWith is like newCluster, but replaces parts of the base file of the configuration.
func newClusterWith(t *testing.T, base *strings.Replacer) *cluster {
	t.Helper()
	cl := &cluster{t: t, isolated: make(map[string]bool)}
	_, sr, err := configdir.Load(filepath.Join("..", "..", "examples", "sang_den"))
	if err != nil {
		t.Fatal(err)
	}
	cl.sources = sr
	sr.Base.Content = []byte(base.Replace(string(sr.Base.Content)))
	for nr := range sr.Overlays {
		for kt, fd := range clusterDomains {
			if strings.Contains(sr.Overlays[nr].Name, string(fd)) {
				sr.Overlays[nr].Content = bytes.ReplaceAll(sr.Overlays[nr].Content, []byte("127.0.0.1"), []byte(domainAddress(kt+1)))
			}
		}
	}
	if cl.cfg, err = sr.Merge(); err != nil {
		t.Fatal(err)
	}
	cl.start()
	t.Cleanup(cl.stop)
	return cl
}

func (cl *cluster) start() {
	cl.t.Helper()
	var ctx context.Context
	ctx, cl.cancel = context.WithCancel(context.Background())
	var err error
	if cl.platform, err = platform.Start(platform.Options{
		Address: domainAddress(0) + ":16000", ControlAddress: domainAddress(0) + ":16001",
	}); err != nil {
		cl.t.Fatal(err)
	}
	cl.store = store.NewClient(store.Options{Address: netip.MustParseAddrPort(domainAddress(0) + ":16000")})
	for kt, fd := range clusterDomains {
		ps, err := target.New(target.Options{FailureDomain: fd, Sites: cl.cfg.Sites, Routes: cl.cfg.Routes, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			cl.t.Fatal(err)
		}
		if err := ps.Start(); err != nil {
			cl.t.Fatal(err)
		}
		cl.t.Cleanup(func() { _ = ps.Close() })
		for nr := 1; nr <= 2; nr++ {
			cl.running.Add(1)
			go cl.run(ctx, kt+1, fd, nr)
		}
	}
}

// run runs one daemon.
func (cl *cluster) run(ctx context.Context, domain int, fd id.FailureDomain, nr int) {
	defer cl.running.Done()
	ds := &config.DaemonSettings{
		VM: id.VM(fmt.Sprintf("%s-%d", fd, nr)), FailureDomain: fd,
		CallerAddress: fmt.Sprintf("%s:%d", domainAddress(domain), 17000+nr),
		PeerAddress:   fmt.Sprintf("%s:%d", domainAddress(domain), 17100+nr),
		StoreAddress:  domainAddress(0) + ":16000",
		FleetSecret:   []byte(strings.Repeat("f", 32)), OperatorSecret: []byte(strings.Repeat("o", 32)),
		TimelineEvents: 1000, RequestTableSize: 1000, StoreTimeout: time.Second, HeaderTimeout: time.Second,
		IdleTimeout: time.Minute, DrainTimeout: time.Millisecond,
	}
	cl.platform.Store().VMList().Set(store.VMRecord{
		VM: ds.VM, FailureDomain: fd, PeerAddress: ds.PeerAddress, CallerAddress: ds.CallerAddress, State: store.VMLive,
	})
	ev := daemon.Environment{DialPeers: func(ctx context.Context, network, addr string) (net.Conn, error) {
		return cl.dial(ctx, domainAddress(domain), network, addr)
	}}
	// RunWithEnvironment returns an error, because the drain timeout is too short for the shutdown.
	_ = daemon.RunWithEnvironment(ctx, ev, ds, slog.New(slog.DiscardHandler))
}

// dial opens a connection between two daemons. If their failure domains are cut off from each other, it blocks until the
// context ends.
func (cl *cluster) dial(ctx context.Context, from, network, addr string) (net.Conn, error) {
	to, _, _ := net.SplitHostPort(addr)
	blocked := func() bool {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		return from != to && (cl.isolated[from] || cl.isolated[to])
	}
	if blocked() {
		<-ctx.Done() // a partition loses packets, so the attempt gets no response
		return nil, ctx.Err()
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &link{Conn: conn, blocked: blocked}, nil
}

// link is a connection whose writes fail while its ends are cut off from each other.
type link struct {
	net.Conn
	blocked func() bool
}

var errCut = errors.New("the failure domains are cut off from each other")

func (lk *link) Write(src []byte) (int, error) {
	if lk.blocked() {
		return 0, errCut
	}
	return lk.Conn.Write(src)
}

// isolate cuts a failure domain off from the others and from the store, or reconnects it if on is false.
func (cl *cluster) isolate(domain int, on bool) {
	cl.t.Helper()
	addr := domainAddress(domain)
	cl.mu.Lock()
	cl.isolated[addr] = on
	cl.mu.Unlock()
	if err := cl.platform.SetFault(platform.FaultRequest{Clients: []string{addr}, Silent: on}); err != nil {
		cl.t.Fatal(err)
	}
}

func (cl *cluster) stop() {
	cl.cancel()
	cl.running.Wait()
	cl.platform.Close()
}

// accept writes the next generation, with the given keys, into the store.
func (cl *cluster) accept(keys ...config.Key) {
	cl.t.Helper()
	ctx := context.Background()
	parts, err := cl.sources.Parts()
	if err != nil {
		cl.t.Fatal(err)
	}
	for _, ky := range keys {
		parts[config.KeyPartName(ky.Digest)] = config.EncodeKeys([]config.Key{ky})
	}
	for name, content := range parts {
		pr := config.NewPartRef(name, content)
		if _, err := cl.store.Put(ctx, config.PartKey(pr.SHA256), content, 0); err != nil && !store.IsKind(err, store.Conflict) {
			cl.t.Fatal(err)
		}
	}
	if _, err := store.Update(ctx, cl.store, config.ManifestKey, func(old []byte) ([]byte, error) {
		var mf *config.Manifest
		if old != nil {
			if mf, err = config.ParseManifest(old); err != nil {
				return nil, err
			}
		}
		op := id.Operation(fmt.Sprintf("%032x", time.Now().UnixNano()))
		return mf.Next(config.Change{OperationID: op, Author: "test", Time: time.Now()}, config.NewPartRefs(parts)).Encode(), nil
	}); err != nil {
		cl.t.Fatal(err)
	}
}

// get sends a request for a lamp history to a VM and returns the status code and the reason of the response.
func (cl *cluster) get(domain, nr int, key string) string {
	rq, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s:%d/lamps/7", domainAddress(domain), 17000+nr), http.NoBody)
	if err != nil {
		cl.t.Fatal(err)
	}
	rq.Header.Set("Authorization", "Bearer "+key)
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return "no response"
	}
	defer rs.Body.Close()
	return strings.TrimSpace(fmt.Sprint(rs.StatusCode, " ", rs.Header.Get("Damasklatch-Reason")))
}

// eventually waits until get returns the wanted result. The limit of a minute is far above the expected time, so that the
// test does not fail on a busy machine.
func (cl *cluster) eventually(domain, nr int, key, want string) {
	cl.t.Helper()
	begin := time.Now()
	got := ""
	for time.Since(begin) < time.Minute {
		if got = cl.get(domain, nr, key); got == want {
			cl.t.Logf("%q at VM %d of failure domain %d after %v", want, nr, domain, time.Since(begin).Round(time.Millisecond))
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	cl.t.Fatalf("VM %d of failure domain %d returns %q, want %q", nr, domain, got, want)
}

// Guards against three failures of a partition: a revoked key stays valid in the failure domain that is cut off, the
// other failure domains stop serving, or the failure domain does not recover when the partition ends.
func TestPartitionAndRevocation(t *testing.T) {
	cl := newCluster(t)
	const key = "dlk_cluster_test"
	issued := config.Key{Digest: keyring.Digest(key), Team: "salon_app"}
	cl.accept(issued)
	for domain := range clusterDomains {
		for nr := 1; nr <= 2; nr++ {
			cl.eventually(domain+1, nr, key, "200")
		}
	}

	cl.isolate(3, true)
	cl.eventually(3, 1, key, "503 stale_keys")
	cl.eventually(3, 2, key, "503 stale_keys")
	if got := cl.get(1, 1, key); got != "200" {
		t.Errorf("failure domain 1 returns %q while failure domain 3 is cut off, want 200", got)
	}
	revoked := issued
	revoked.Revoked = true
	cl.accept(revoked)
	cl.eventually(1, 1, key, "401 unknown_key")
	cl.eventually(2, 2, key, "401 unknown_key")
	if got := cl.get(3, 1, key); got == "200" {
		t.Error("failure domain 3 accepts a revoked key while it is cut off")
	}

	cl.isolate(3, false)
	cl.eventually(3, 1, key, "401 unknown_key")
	cl.eventually(3, 2, key, "401 unknown_key")
}
