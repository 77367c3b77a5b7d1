//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"damasklatch/platform/platformtest"
)

// rig is a small deployment: a store, workers and daemons.
type rig struct {
	began   time.Time
	trouble bool
	dir     string // temporary folder with the settings and logs of the daemons
	store   *platformtest.Store
	workers []*worker
	vms     []*vm
	version int

	mu     sync.Mutex
	file   *os.File
	record *bufio.Writer
}

// failure is the panic value by which a case reports that it couldn't run.
type failure struct{ err error }

func newRig(record string, trouble bool) (*rig, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	rg := &rig{began: time.Now(), trouble: trouble, file: file, record: bufio.NewWriter(file)}
	if rg.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	rg.store, err = platformtest.StartStore("127.0.0.1:0")
	return rg, err
}

// run plays a case and returns its violations, or an error if the case couldn't run.
func (rg *rig) run(play func(*rig) []string) (broken []string, err error) {
	defer func() {
		if fl, ok := recover().(failure); ok {
			err = fl.err
		}
	}()
	return play(rg), nil
}

// must ends the case if there is an error.
func must(err error) {
	if err != nil {
		panic(failure{err})
	}
}

// note writes a line to the record.
func (rg *rig) note(format string, args ...any) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	fmt.Fprintf(rg.record, "%8.3f ", time.Since(rg.began).Seconds())
	fmt.Fprintf(rg.record, format+"\n", args...)
}

func (rg *rig) flush() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	_ = rg.record.Flush()
}

// close ends all processes that the rig started and removes their files.
func (rg *rig) close() {
	for _, mc := range rg.vms {
		mc.kill()
	}
	rg.store.Close()
	for _, wk := range rg.workers {
		wk.close()
	}
	_ = os.RemoveAll(rg.dir)
	rg.flush()
}

// vm is a daemon process and its addresses.
type vm struct {
	rg   *rig
	name string
	addr map[string]string // by the name of the setting

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// addressFields are the settings that hold an address of the daemon itself.
var addressFields = []string{"caller_address", "ready_address", "lookup_address", "relay_address", "metrics_address", "status_address"}

// firstPort is the first port of each daemon. Each daemon has a loopback address of its own, so that no outgoing connection of
// another process takes a port of its between the check and the bind.
const firstPort = 7001

// freeAddress returns the address of a port of a daemon. It fails if the port is in use.
func freeAddress(daemon, port int) string {
	pid := os.Getpid()
	addr := fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>8%200, pid%256, 1+daemon, firstPort+port)
	ln, err := net.Listen("tcp", addr)
	must(err)
	must(ln.Close())
	return addr
}

// addVM adds a daemon without starting it. Domains maps each failure domain to its region.
func (rg *rig) addVM(name, domain string, domains map[string]string) *vm {
	mc := &vm{rg: rg, name: name, addr: map[string]string{}}
	var list []string
	for fd, region := range domains {
		list = append(list, fmt.Sprintf("{ failure_domain: %s, region: %s }", fd, region))
	}
	text := fmt.Sprintf("vm: %s\nfailure_domain: %s\nregion: %s\nfailure_domains: [%s]\n", name, domain, domains[domain], strings.Join(list, ","))
	for port, field := range addressFields {
		mc.addr[field] = freeAddress(len(rg.vms), port)
		text += field + ": " + mc.addr[field] + "\n"
	}
	seed := mc.addr["relay_address"]
	if len(rg.vms) > 0 {
		seed = rg.vms[0].addr["relay_address"]
	}
	text += fmt.Sprintf("store_address: %s\nseeds: [{ address: \"%s\" }]\n", rg.store.Address(), seed)
	text += "memory_limit: 284MB\nrevoke_within: 5s\ndrain_within: 2.5s\ngrace: 6s\nretry_ratio: 0.2\nretry_window: 10s\n" +
		"retry_slack: 62\nlimit_slack: 20\nlink_mbits: 1000.0\n"
	must(os.WriteFile(mc.settings(), []byte(text), 0o600))
	rg.vms = append(rg.vms, mc)
	return mc
}

func (mc *vm) settings() string { return filepath.Join(mc.rg.dir, mc.name+".yaml") }

// start starts the daemon with the command of the deploy file.
func (mc *vm) start() {
	log, err := os.OpenFile(filepath.Join(mc.rg.dir, mc.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/damasklatch", "gateway", "--settings", mc.settings())
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "DAMASKLATCH_NODE_FILE="+mc.settings())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	ended := make(chan struct{})
	mc.mu.Lock()
	mc.cmd, mc.ended = cmd, ended
	mc.mu.Unlock()
	mc.rg.note("%s: process started", mc.name)
	go mc.await(cmd, log, ended)
}

func (mc *vm) await(cmd *exec.Cmd, log *os.File, ended chan struct{}) {
	err := cmd.Wait()
	_ = log.Close()
	mc.rg.note("%s: process ended: %v", mc.name, err)
	close(ended)
}

// signal sends a signal to the process.
func (mc *vm) signal(sg syscall.Signal) {
	mc.mu.Lock()
	defer mc.mu.Unlock()
	mc.rg.note("%s: sending signal %v", mc.name, sg)
	_ = mc.cmd.Process.Signal(sg)
}

// kill ends the process and waits for its end.
func (mc *vm) kill() {
	mc.mu.Lock()
	cmd, ended := mc.cmd, mc.ended
	mc.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-ended
}

// running reports whether the process has not ended yet.
func (mc *vm) running() bool {
	select {
	case <-mc.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the daemon says that it is ready.
func (mc *vm) ready() bool {
	resp, err := http.Get("http://" + mc.addr["ready_address"] + "/v1/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const readyTimeout = 10 * time.Second

// awaitReady waits until all daemons are ready.
func (rg *rig) awaitReady() {
	for _, mc := range rg.vms {
		for end := time.Now().Add(readyTimeout); !mc.ready(); time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				must(errors.New(mc.name + " isn't ready"))
			}
		}
	}
	rg.note("all daemons are ready")
}

const (
	host = "desk.example"
	key  = "k7salon"
	team = "salon"
)

// route returns a route of the configuration for all requests below the prefix.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "PathPrefix": prefix, "Kind": kind, "TimeoutS": 3, "TargetLatencyS": 0.5, "Priority": 1,
		"Service": service, "MaxAttempts": 2, "AllowAnonymous": false, "Sticky": true, "AllowedRegions": []string{},
	}
}

// configure writes the next version of the configuration, with one tenant that has the given rate (0 means no limit).
func (rg *rig) configure(rate float64, routes ...any) {
	rg.version += 2
	rg.store.Put("config", "main", map[string]any{
		"Version": rg.version, "Routes": routes,
		"Services": []any{map[string]any{"Name": "desk", "HealthPath": "/healthz", "MaxConns": 390, "Protocol": "h1", "Tls": false, "WarmupS": 3.0, "WarmupPerS": 7.0}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
		"Tenants":  []any{map[string]any{"Name": team, "ApiKeys": []string{key}, "Priority": 1, "RatePerS": rate, "Burst": rate, "AllowedRegions": []string{}}},
	})
	rg.note("configuration %d written", rg.version)
}
