package scenario

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/configdir"
)

// Waits for a process. They are far longer than needed, so that a busy machine does not change a verdict.
const (
	readyTimeout = 60 * time.Second
	exitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Fleet is a running deployment.
type Fleet struct {
	dir      string // working directory of the scenario
	config   string // copy of the deployment's files with other addresses
	host     *reservation
	settings map[id.VM]*config.DaemonSettings
	files    map[id.VM]string
	cfg      *config.Effective

	mu        sync.Mutex
	processes map[string]*process
}

// reservation keeps a second byte of loopback addresses for one fleet. Without it, scenarios of two test runs on one
// machine met in the same platform store.
type reservation struct {
	number int
	lock   net.Listener
}

// Numbers of reservations, away from the addresses that the demonstration uses.
const (
	firstHost = 40
	lastHost  = 89
	lockPort  = 15999
)

// reserve takes the first number that nobody on this machine holds.
func reserve() (*reservation, error) {
	for nr := firstHost; nr <= lastHost; nr++ {
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", nr, lockPort)); err == nil {
			return &reservation{number: nr, lock: lock}, nil
		}
	}
	return nil, errors.New("the addresses of all fleets are taken")
}

// process is a started process with its log.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// run waits for the end of the process.
func (pr *process) run() {
	defer close(pr.done)
	pr.err = pr.cmd.Wait()
	_ = pr.log.Close()
}

const (
	platformPort = 16000
	controlPort  = 16100
)

// domainHost returns the address of a failure domain, counted from 1, or of the platform, which is number 0.
func (fl *Fleet) domainHost(nr int) string { return fmt.Sprintf("127.%d.%d.1", fl.host.number, nr) }

// newFleet copies a deployment's files and gives each failure domain an address of its own.
func newFleet(dir, example string, host *reservation) (*Fleet, error) {
	fl := &Fleet{
		dir: dir, config: filepath.Join(dir, "config"), host: host,
		settings:  make(map[id.VM]*config.DaemonSettings),
		files:     make(map[id.VM]string),
		processes: make(map[string]*process),
	}
	if err := os.CopyFS(fl.config, os.DirFS(example)); err != nil {
		return nil, err
	}
	cfg, _, err := configdir.Load(fl.config)
	if err != nil {
		return nil, err
	}
	fl.cfg = cfg
	if err := fl.rewriteAddresses(); err != nil {
		return nil, err
	}
	return fl, fl.readSettings()
}

var failureDomainField = regexp.MustCompile(`(?m)^failure_domain: *(\S+)`)

func (fl *Fleet) rewriteAddresses() error {
	storeField := regexp.MustCompile(`(?m)^store_address: .*$`)
	for _, pattern := range []string{"overlays/*.yaml", "settings/*.yaml"} {
		names, err := filepath.Glob(filepath.Join(fl.config, pattern))
		if err != nil {
			return err
		}
		for _, name := range names {
			src, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			found := failureDomainField.FindSubmatch(src)
			if found == nil {
				return errors.Errorf("%s names no failure domain", name)
			}
			text := strings.ReplaceAll(string(src), "127.0.0.1", fl.domainHost(fl.domainNumber(id.FailureDomain(found[1]))))
			text = storeField.ReplaceAllString(text, fmt.Sprintf("store_address: %s:%d", fl.domainHost(0), platformPort))
			if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
				return err
			}
		}
	}
	return nil
}

func (fl *Fleet) domainNumber(name id.FailureDomain) int {
	return 1 + slices.IndexFunc(fl.cfg.FailureDomains, func(fd config.FailureDomain) bool { return fd.Name == name })
}

func (fl *Fleet) readSettings() error {
	names, err := filepath.Glob(filepath.Join(fl.config, "settings/*.yaml"))
	if err != nil {
		return err
	}
	for _, name := range names {
		src, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		ds, err := config.ParseDaemonSettings(name, src, os.ReadFile)
		if err != nil {
			return err
		}
		fl.settings[ds.VM], fl.files[ds.VM] = ds, name
	}
	return nil
}

// keep drops all but the first few entry VMs of each failure domain.
func (fl *Fleet) keep(perDomain int) {
	count := make(map[id.FailureDomain]int)
	for _, vm := range fl.vms() {
		ds := fl.settings[vm]
		if count[ds.FailureDomain]++; count[ds.FailureDomain] > perDomain {
			delete(fl.settings, vm)
		}
	}
}

func (fl *Fleet) vms() []id.VM {
	vms := make([]id.VM, 0, len(fl.settings))
	for vm := range fl.settings {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// start starts a program that testscript.Main provides, with its output in a log file.
func (fl *Fleet) start(name, program string, args ...string) error {
	log, err := os.OpenFile(filepath.Join(fl.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(program, args...) //nolint:forbidigo // test equipment, not a process of the system
	cmd.Dir, cmd.Stdout, cmd.Stderr = fl.dir, log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "start %s", name)
	}
	pr := &process{cmd: cmd, log: log, done: make(chan struct{})}
	fl.mu.Lock()
	fl.processes[name] = pr
	fl.mu.Unlock()
	go pr.run()
	return nil
}

func (fl *Fleet) process(name string) (*process, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	pr, ok := fl.processes[name]
	if !ok {
		return nil, errors.Errorf("%s was not started", name)
	}
	return pr, nil
}

// wait waits for the end of a process.
func (fl *Fleet) wait(name string) error {
	pr, err := fl.process(name)
	if err != nil {
		return err
	}
	select {
	case <-pr.done:
		return pr.err
	case <-time.After(exitTimeout):
		return errors.Errorf("%s has not ended within %s", name, exitTimeout)
	}
}

// startAll starts everything but the entry VMs' configuration.
func (fl *Fleet) startAll() error {
	store, control := fmt.Sprintf("%s:%d", fl.domainHost(0), platformPort), fl.platformControl()
	if err := fl.start("platform", "damasklatch-standin", "platform", "--address", store, "--control-address", control); err != nil {
		return err
	}
	if err := await("http://" + store + "/v1/vms"); err != nil {
		return err
	}
	for _, fd := range fl.cfg.FailureDomains {
		err := fl.start("targets-"+string(fd.Name), "damasklatch-standin", "targets", "--config", fl.config,
			"--failure-domain", string(fd.Name), "--control-address", fl.targetControl(fd.Name),
			"--records", fl.targetRecords(fd.Name))
		if err != nil {
			return err
		}
	}
	for _, fd := range fl.cfg.FailureDomains {
		if err := await("http://" + fl.targetControl(fd.Name) + "/healthz"); err != nil {
			return err
		}
	}
	for _, vm := range fl.vms() {
		if err := fl.startVM(vm); err != nil {
			return err
		}
	}
	return nil
}

func (fl *Fleet) platformControl() string {
	return fmt.Sprintf("%s:%d", fl.domainHost(0), controlPort)
}

func (fl *Fleet) targetControl(fd id.FailureDomain) string {
	return fmt.Sprintf("%s:%d", fl.domainHost(fl.domainNumber(fd)), controlPort)
}

func (fl *Fleet) targetRecords(fd id.FailureDomain) string {
	return filepath.Join(fl.dir, "targets-"+string(fd)+".jsonl")
}

// startVM puts a VM on the platform's list and starts its daemon.
func (fl *Fleet) startVM(vm id.VM) error {
	ds := fl.settings[vm]
	body := fmt.Sprintf(`{"failure_domain":%q,"peer_address":%q,"caller_address":%q}`,
		ds.FailureDomain, ds.PeerAddress, ds.CallerAddress)
	if err := send(http.MethodPut, "http://"+fl.platformControl()+"/vms/"+string(vm), body); err != nil {
		return err
	}
	return fl.start("entry-"+string(vm), "damasklatch", "entry", "--settings", fl.files[vm])
}

// awaitReady waits until every entry VM has a configuration.
func (fl *Fleet) awaitReady() error {
	for _, vm := range fl.vms() {
		if err := await("http://" + fl.settings[vm].PeerAddress + "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// stopAll ends every process that still runs.
func (fl *Fleet) stopAll() {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, pr := range fl.processes {
		select {
		case <-pr.done:
		default:
			_ = pr.cmd.Process.Kill()
			<-pr.done
		}
	}
	_ = fl.host.lock.Close()
}

// await polls a URL until it answers with success.
func await(url string) error {
	end := time.Now().Add(readyTimeout)
	for {
		err := send(http.MethodGet, url, "")
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "no success within %s", readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

const httpTimeout = 5 * time.Second

// send performs one request to a control endpoint.
func send(method, url, body string) error {
	ctx, cancel := context.WithTimeout(context.Background(), httpTimeout)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	rs, err := http.DefaultClient.Do(rq)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	text, err := io.ReadAll(rs.Body)
	if err != nil {
		return err
	}
	if rs.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("%s %s: %s: %s", method, url, rs.Status, text)
	}
	return nil
}
