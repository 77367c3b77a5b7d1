package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"
)

// Addresses, ports and time limits of a fleet.
const (
	platformAddress = "127.90.0.1:16000"
	controlAddress  = "127.90.0.1:16100"
	callerPort      = 17_001
	peerPort        = 17_101
	// maxDaemons is the maximum number of daemon processes that a measurement starts.
	maxDaemons   = 50
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fleet is a deployment whose daemons are real processes. The platform stand-in runs in this process.
type fleet struct {
	sz       configSize
	dir      string
	program  string
	platform *platform.Server
	manifest *config.Manifest // last accepted manifest
	stored   map[string]bool  // digests of the configuration parts in the store
	key      string           // API key of the team
	daemons  []*daemon
	client   *http.Client
}

// daemon is a daemon process.
type daemon struct {
	caller, peer string
	cmd          *exec.Cmd
	log          *os.File
	done         chan struct{} // closed when the process has exited
}

// wait waits until the process has exited and closes done.
func (dn *daemon) wait() {
	defer close(dn.done)
	_ = dn.cmd.Wait()
}

// startFleet starts the platform stand-in with a configuration of the size, and the daemons. The caller must call stop.
func startFleet(ctx context.Context, program string, sz configSize) (*fleet, error) {
	if sz.domains*sz.perDomain > maxDaemons {
		return nil, errors.Errorf("the fleet has %d daemons, at most %d are allowed", sz.domains*sz.perDomain, maxDaemons)
	}
	dir, err := os.MkdirTemp("", "damasklatch-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "create directory of the fleet")
	}
	fl := &fleet{
		sz: sz, dir: dir, program: program, stored: map[string]bool{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}},
	}
	if err := fl.start(ctx); err != nil {
		fl.stop()
		return nil, err
	}
	return fl, nil
}

// start starts the platform stand-in and the daemons and waits until the configuration is in force in every daemon. After
// an error, the caller must call stop.
func (fl *fleet) start(ctx context.Context) error {
	var err error
	fl.platform, err = platform.Start(platform.Options{Address: platformAddress, ControlAddress: controlAddress})
	if err != nil {
		return err
	}
	if _, err := fl.accept(ctx, fl.sz.sources(0)); err != nil {
		return err
	}
	for dm := range fl.sz.domains {
		for nr := range fl.sz.perDomain {
			if err := fl.startDaemon(dm, nr); err != nil {
				return err
			}
		}
	}
	for _, dn := range fl.daemons {
		if err := fl.awaitGeneration(ctx, dn, fl.manifest.Generation); err != nil {
			return err
		}
	}
	return nil
}

// accept stores the configuration parts and the next manifest, as the operator command does. It returns the time
// immediately before it sent the manifest.
func (fl *fleet) accept(ctx context.Context, src *config.Sources) (sent time.Time, err error) {
	parts, err := src.Parts()
	if err != nil {
		return sent, err
	}
	if fl.key == "" {
		if fl.key, err = keyring.Generate(strings.NewReader(strings.Repeat("bench key ", 8))); err != nil {
			return sent, err
		}
	}
	digest := keyring.Digest(fl.key)
	parts[config.KeyPartName(digest)] = config.EncodeKeys([]config.Key{{Digest: digest, Team: team}})
	refs := config.NewPartRefs(parts)
	client := fl.platform.Store().NewClient()
	for _, pr := range refs {
		if fl.stored[pr.SHA256] {
			continue
		}
		if _, err := client.Put(ctx, config.PartKey(pr.SHA256), parts[pr.Name], 0); err != nil {
			return sent, err
		}
		fl.stored[pr.SHA256] = true
	}
	var generation id.Generation
	var version store.Version
	if fl.manifest != nil {
		generation = fl.manifest.Generation
		obj, err := client.Get(ctx, config.ManifestKey)
		if err != nil {
			return sent, err
		}
		version = obj.Version
	}
	fl.manifest = fl.manifest.Next(config.Change{
		OperationID: id.Operation(fmt.Sprintf("%032x", generation+1)), Author: "bench", Time: time.Now(),
	}, refs)
	sent = time.Now()
	_, err = client.Put(ctx, config.ManifestKey, fl.manifest.Encode(), version)
	return sent, err
}

// startDaemon adds a VM to the platform's VM list and starts its daemon.
func (fl *fleet) startDaemon(dm, nr int) error {
	dn := &daemon{
		caller: fmt.Sprintf("%s:%d", host(dm, nr), callerPort), peer: fmt.Sprintf("%s:%d", host(dm, nr), peerPort),
		done: make(chan struct{}),
	}
	vm := vmName(dm, nr)
	fl.platform.Store().VMList().Set(store.VMRecord{
		VM: vm, FailureDomain: domainName(dm), PeerAddress: dn.peer, CallerAddress: dn.caller, State: store.VMLive,
	})
	settings := filepath.Join(fl.dir, string(vm)+".yaml")
	text := fmt.Sprintf("vm: %s\nfailure_domain: %s\ncaller_address: %s\npeer_address: %s\nstore_address: %s\n"+
		"fleet_secret: bench-fleet-secret-for-loopback-only\noperator_secret: bench-operator-secret-for-loopback-only\n",
		vm, domainName(dm), dn.caller, dn.peer, platformAddress)
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write daemon settings")
	}
	var err error
	if dn.log, err = os.Create(filepath.Join(fl.dir, string(vm)+".log")); err != nil {
		return errors.Wrap(err, "create daemon log")
	}
	dn.cmd = exec.Command(fl.program, "entry", "--settings", settings) //nolint:forbidigo // test equipment, not a process of the system
	dn.cmd.Stdout, dn.cmd.Stderr = dn.log, dn.log
	if err := dn.cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	fl.daemons = append(fl.daemons, dn)
	go dn.wait()
	return nil
}

// awaitGeneration waits until a daemon responds to look-ups with generation want or a later one.
func (fl *fleet) awaitGeneration(ctx context.Context, dn *daemon, want id.Generation) error {
	end := time.Now().Add(readyTimeout)
	for {
		have, err := fl.generation(dn)
		if err == nil && have >= want {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "daemon at %s responds with generation %d, not %d, after %s", dn.caller, have, want, readyTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-dn.done:
			return errors.Errorf("daemon at %s exited; end of its log: %s", dn.caller, fl.lastLog(dn))
		case <-time.After(pollInterval):
		}
	}
}

// lastLog returns the last 500 bytes of a daemon's log.
func (fl *fleet) lastLog(dn *daemon) string {
	src, _ := os.ReadFile(dn.log.Name())
	return string(src[max(0, len(src)-500):])
}

// generation returns the configuration generation in a daemon's response to a look-up.
func (fl *fleet) generation(dn *daemon) (id.Generation, error) {
	rp, err := fl.client.Get("http://" + dn.caller + "/v1/lookup?client=10.0.0.1&route=" + string(route))
	if err != nil {
		return 0, err
	}
	defer rp.Body.Close()
	var answer struct {
		Generation id.Generation `json:"generation"`
	}
	if err := json.NewDecoder(rp.Body).Decode(&answer); err != nil {
		return 0, err
	}
	if rp.StatusCode != http.StatusOK {
		return 0, errors.New(rp.Status)
	}
	return answer.Generation, nil
}

// stop terminates every daemon process, kills those that do not exit within stopTimeout, and removes the fleet's
// directory.
func (fl *fleet) stop() {
	fl.client.CloseIdleConnections()
	for _, dn := range fl.daemons {
		_ = dn.cmd.Process.Signal(syscall.SIGTERM)
	}
	end := time.After(stopTimeout)
	for _, dn := range fl.daemons {
		select {
		case <-dn.done:
		case <-end:
			_ = dn.cmd.Process.Kill()
			<-dn.done
		}
		_ = dn.log.Close()
	}
	if fl.platform != nil {
		fl.platform.Close()
	}
	_ = os.RemoveAll(fl.dir)
}
