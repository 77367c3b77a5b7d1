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

const (
	platformAddress = "127.90.0.1:16000"
	controlAddress  = "127.90.0.1:16100"
	callerPort      = 17_001
	peerPort        = 17_101
	// mostDaemons bounds the processes that a measurement starts.
	mostDaemons  = 50
	readyTimeout = 30 * time.Second
	stopTimeout  = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// fleet is a deployment of daemons as real processes. The platform is in this process.
type fleet struct {
	sz       size
	dir      string
	program  string
	platform *platform.Server
	manifest *config.Manifest
	stored   map[string]bool // digests of the parts in the store
	key      string
	daemons  []*daemon
	client   *http.Client
}

// daemon is a started daemon.
type daemon struct {
	caller, peer string
	cmd          *exec.Cmd
	log          *os.File
	done         chan struct{}
}

// run waits for the end of the process.
func (dn *daemon) run() {
	defer close(dn.done)
	_ = dn.cmd.Wait()
}

// startFleet starts the platform with a configuration, and then the daemons.
func startFleet(ctx context.Context, program string, sz size) (*fleet, error) {
	if sz.domains*sz.perDomain > mostDaemons {
		return nil, errors.Errorf("%d daemons, at most %d are allowed", sz.domains*sz.perDomain, mostDaemons)
	}
	dir, err := os.MkdirTemp("", "damasklatch-bench-")
	if err != nil {
		return nil, errors.Wrap(err, "directory of the fleet")
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

// start starts everything and waits until every daemon has the configuration. The caller stops what was started.
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

// accept stores the parts and the next manifest, as the operator command does. It returns the time at which it sent
// the manifest.
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
		return errors.Wrap(err, "settings")
	}
	var err error
	if dn.log, err = os.Create(filepath.Join(fl.dir, string(vm)+".log")); err != nil {
		return errors.Wrap(err, "log")
	}
	dn.cmd = exec.Command(fl.program, "entry", "--settings", settings) //nolint:forbidigo // test equipment, not a process of the system
	dn.cmd.Stdout, dn.cmd.Stderr = dn.log, dn.log
	if err := dn.cmd.Start(); err != nil {
		return errors.Wrap(err, "start daemon")
	}
	fl.daemons = append(fl.daemons, dn)
	go dn.run()
	return nil
}

// awaitGeneration waits until a daemon answers look-ups with the generation.
func (fl *fleet) awaitGeneration(ctx context.Context, dn *daemon, want id.Generation) error {
	end := time.Now().Add(readyTimeout)
	for {
		have, err := fl.generation(dn)
		if err == nil && have >= want {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "%s answers with generation %d, not %d, after %s", dn.caller, have, want, readyTimeout)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-dn.done:
			return errors.Errorf("the daemon at %s has ended: %s", dn.caller, fl.lastLog(dn))
		case <-time.After(pollInterval):
		}
	}
}

func (fl *fleet) lastLog(dn *daemon) string {
	src, _ := os.ReadFile(dn.log.Name())
	return string(src[max(0, len(src)-500):])
}

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

// stop ends every process of the fleet by its pid, and kills those that do not end in time.
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
