//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"damasklatch/platform/platformtest"
)

// Names and figures of the deployment. Bounds are those of the site file sangden-latch.
const (
	host      = "desk.example"
	key       = "k-salon"
	tenant    = "salon"
	service   = "desk"
	zone      = "hn-a"
	region    = "north"
	memoryMB  = 284
	readyTime = 15 * time.Second
)

// environment is a small deployment: a store, workers and gateways. Its record tells what was sent, answered and run.
type environment struct {
	trouble bool
	dir     string
	store   *platformtest.Store

	mu       sync.Mutex
	record   *os.File
	began    time.Time
	gateways []*gatewayProcess
	closers  []func()
	version  int
	lastIP   int
}

func newEnvironment(recordPath string, trouble bool) (*environment, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	st, err := platformtest.StartStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	en := &environment{trouble: trouble, dir: dir, store: st, record: record, began: time.Now(), version: 1}
	en.note("disruption: %v", trouble)
	return en, nil
}

// note writes a line to the record, with the time since the start in seconds.
func (en *environment) note(format string, args ...any) {
	en.mu.Lock()
	defer en.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(en.began).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = en.record.WriteString(line)
	fmt.Print(line)
}

// onClose calls a function at the end of the case.
func (en *environment) onClose(end func()) { en.closers = append(en.closers, end) }

func (en *environment) close() {
	for _, gw := range en.gateways {
		gw.kill()
	}
	for _, end := range en.closers {
		end()
	}
	en.store.Close()
	_ = en.record.Close()
	_ = os.RemoveAll(en.dir)
}

// abandon ends all processes and the case itself, which could not run to its end.
func (en *environment) abandon(why string) {
	en.note("%s", why)
	en.close()
	os.Exit(exitNotRun)
}

// abandonOn abandons the case when a signal arrives.
func (en *environment) abandonOn(stop <-chan os.Signal) {
	<-stop
	en.abandon("the case was stopped")
}

// firstPort is the first port of a gateway. Each gateway has a loopback address of its own, so that nothing else uses its ports.
const firstPort = 20_001

// newIP returns a loopback address that only this process uses.
func (en *environment) newIP() string {
	en.lastIP++
	pid := os.Getpid()
	return net.IPv4(127, byte(100+en.lastIP), byte(pid>>8), byte(pid)).String()
}

// configure writes the next version of the configuration. The function may change it before.
func (en *environment) configure(change func(cfg map[string]any)) {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutS": 3, "TargetLatencyS": 0.4,
			"Priority": 1, "Service": service, "MaxAttempts": 2,
		}
	}
	cfg := map[string]any{
		"Version":  en.version,
		"Routes":   []any{route("read", "/read/", "safe"), route("book", "/book/", "unsafe"), route("upload", "/upload/", "upload")},
		"Services": []any{map[string]any{"Name": service, "MaxConns": 390, "WarmupS": 3, "WarmupPerS": 7}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 64 << 20, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Tenants":  []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}, "RatePerS": 0, "Burst": 0}},
	}
	if change != nil {
		change(cfg)
	}
	en.store.Put("config", "main", cfg)
	en.version += 3
}

// register writes the registration of a worker.
func (en *environment) register(id, address string, slots int) {
	en.store.Put("servers", id, map[string]any{
		"Service": service, "Address": address, "Zone": zone, "Version": "1", "MaxConcurrency": slots, "State": "ready",
		"WarmupLeftS": 0, "Sequence": 1, "born": en.began.UnixMilli(),
	})
}

// gatewayProcess is a process of the gateway.
type gatewayProcess struct {
	en       *environment
	name     string
	settings map[string]string
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
}

// newGateway returns a gateway with settings as the template of the deploy file makes them.
func (en *environment) newGateway(name string) *gatewayProcess {
	gw := &gatewayProcess{en: en, name: name, settings: map[string]string{
		"vm": name, "failure_domain": zone, "region": region,
		"failure_domains": "[{ failure_domain: " + zone + ", region: " + region + " }, { failure_domain: dn-a, region: central }]",
		"store_address":   en.store.Address(), "memory_limit": fmt.Sprint(memoryMB, "MB"),
		"revoke_within": "5s", "drain_within": "2.5s", "grace": "6s", "retry_ratio": "0.2", "retry_window": "10s", "retry_slack": "62",
		"limit_slack": "20", "link_mbits": "1000",
	}}
	ip := en.newIP()
	for nr, field := range []string{"caller", "ready", "lookup", "status", "metrics", "relay"} {
		gw.settings[field+"_address"] = net.JoinHostPort(ip, strconv.Itoa(firstPort+nr))
	}
	en.gateways = append(en.gateways, gw)
	return gw
}

// startGateway starts a gateway with the settings of newGateway.
func (en *environment) startGateway(name string) (*gatewayProcess, error) {
	gw := en.newGateway(name)
	return gw, gw.start()
}

// start starts the process and waits until it is ready.
func (gw *gatewayProcess) start() error {
	var text strings.Builder
	for name, val := range gw.settings {
		fmt.Fprintf(&text, "%s: %s\n", name, val)
	}
	text.WriteString("seeds: []\n")
	path := filepath.Join(gw.en.dir, gw.name+".yaml")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(gw.en.dir, gw.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	gw.cmd = exec.Command("target/damasklatch", "gateway", "--settings", path)
	gw.cmd.Stdout, gw.cmd.Stderr = log, log
	if err := gw.cmd.Start(); err != nil {
		return err
	}
	gw.ended = make(chan struct{})
	go gw.wait()
	return gw.awaitReady()
}

func (gw *gatewayProcess) wait() {
	_ = gw.cmd.Wait()
	close(gw.ended)
}

// hasEnded reports whether the process has ended.
func (gw *gatewayProcess) hasEnded() bool {
	select {
	case <-gw.ended:
		return true
	default:
		return false
	}
}

func (gw *gatewayProcess) awaitReady() error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if gw.hasEnded() {
			return errors.New("gateway has ended")
		}
		if gw.isReady() {
			gw.en.note("%s is ready, process %d", gw.name, gw.cmd.Process.Pid)
			return nil
		}
	}
	return errors.New("gateway is not ready")
}

func (gw *gatewayProcess) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gw.settings["ready_address"]+"/v1/ready", nil)
	if err != nil {
		return false
	}
	r.Close = true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (gw *gatewayProcess) signal(sig syscall.Signal) { _ = gw.cmd.Process.Signal(sig) }

func (gw *gatewayProcess) kill() {
	if gw.cmd == nil || gw.ended == nil {
		return
	}
	gw.signal(syscall.SIGKILL)
	<-gw.ended
}

// residentKB returns the resident memory of the process, or zero if it has ended.
func (gw *gatewayProcess) residentKB() int {
	src, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", gw.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(src)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb
		}
	}
	return 0
}
