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

// Timeouts for the start and the exit of a process. They are far longer than needed, so that a test does not fail because
// the machine is busy.
const (
	readyTimeout = 60 * time.Second
	exitTimeout  = 60 * time.Second
	pollInterval = 50 * time.Millisecond
)

// Fleet is a deployment of real processes on loopback addresses.
type Fleet struct {
	dir      string // working directory of the script
	config   string // directory of the deployment's files, with the addresses replaced
	host     *addressReservation
	settings map[id.VM]*config.DaemonSettings
	files    map[id.VM]string  // settings file of each entry VM
	cfg      *config.Effective // configuration before the addresses were replaced

	mu        sync.Mutex
	processes map[string]*process // by name, the last one started
}

// addressReservation reserves the loopback addresses 127.number.x.x for one fleet by listening on a port there. Without
// it, two test runs on one machine would use the same platform store.
type addressReservation struct {
	number int
	lock   net.Listener
}

// Range of reserved numbers, which does not overlap the addresses of the demonstration, and the port that reserves one.
const (
	firstHost = 40
	lastHost  = 89
	lockPort  = 15999
)

// reserveAddresses reserves the first number that no other test run on this machine has reserved.
func reserveAddresses() (*addressReservation, error) {
	for nr := firstHost; nr <= lastHost; nr++ {
		if lock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", nr, lockPort)); err == nil {
			return &addressReservation{number: nr, lock: lock}, nil
		}
	}
	return nil, errors.New("no loopback addresses are left for another fleet")
}

// process is a started process with its log.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{} // closed when the process has exited
	err  error         // exit error, valid after done is closed
}

// awaitExit waits until the process has exited and closes its log.
func (pr *process) awaitExit() {
	defer close(pr.done)
	pr.err = pr.cmd.Wait()
	_ = pr.log.Close()
}

// Ports of the platform store and of the control endpoints.
const (
	platformPort = 16000
	controlPort  = 16100
)

// domainHost returns the address of failure domain number nr. Failure domains count from 1; number 0 is the platform.
func (fl *Fleet) domainHost(nr int) string { return fmt.Sprintf("127.%d.%d.1", fl.host.number, nr) }

// newFleet copies the files of an example deployment and gives each failure domain an address of its own. It starts no
// processes.
func newFleet(dir, example string, host *addressReservation) (*Fleet, error) {
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

// rewriteAddresses replaces the addresses in the overlays and the settings by addresses of the fleet.
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
				return errors.Errorf("file %s has no field failure_domain", name)
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

// domainNumber returns the number of a failure domain for domainHost.
func (fl *Fleet) domainNumber(name id.FailureDomain) int {
	return 1 + slices.IndexFunc(fl.cfg.FailureDomains, func(fd config.FailureDomain) bool { return fd.Name == name })
}

// readSettings reads the settings files of all entry VMs.
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

// limitVMs removes all but the first perDomain entry VMs of each failure domain, ordered by name.
func (fl *Fleet) limitVMs(perDomain int) {
	count := make(map[id.FailureDomain]int)
	for _, vm := range fl.vms() {
		ds := fl.settings[vm]
		if count[ds.FailureDomain]++; count[ds.FailureDomain] > perDomain {
			delete(fl.settings, vm)
		}
	}
}

// vms returns the names of the entry VMs in order.
func (fl *Fleet) vms() []id.VM {
	vms := make([]id.VM, 0, len(fl.settings))
	for vm := range fl.settings {
		vms = append(vms, vm)
	}
	slices.Sort(vms)
	return vms
}

// start starts a program that testscript.Main provides and appends its output to a log file.
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
	go pr.awaitExit()
	return nil
}

// process returns the last process that was started under the name.
func (fl *Fleet) process(name string) (*process, error) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	pr, ok := fl.processes[name]
	if !ok {
		return nil, errors.Errorf("process %s was not started", name)
	}
	return pr, nil
}

// wait waits until a process has exited and returns its exit error.
func (fl *Fleet) wait(name string) error {
	pr, err := fl.process(name)
	if err != nil {
		return err
	}
	select {
	case <-pr.done:
		return pr.err
	case <-time.After(exitTimeout):
		return errors.Errorf("process %s did not exit within %s", name, exitTimeout)
	}
}

// startAll starts the platform, the targets and the entry VMs. The entry VMs are not ready before a configuration is
// accepted.
func (fl *Fleet) startAll() error {
	store, control := fmt.Sprintf("%s:%d", fl.domainHost(0), platformPort), fl.platformControl()
	if err := fl.start("platform", "damasklatch-standin", "platform", "--address", store, "--control-address", control); err != nil {
		return err
	}
	if err := awaitSuccess("http://" + store + "/v1/vms"); err != nil {
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
		if err := awaitSuccess("http://" + fl.targetControl(fd.Name) + "/healthz"); err != nil {
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

// platformControl returns the address of the control endpoint of the platform.
func (fl *Fleet) platformControl() string {
	return fmt.Sprintf("%s:%d", fl.domainHost(0), controlPort)
}

// targetControl returns the address of the control endpoint of the targets of a failure domain.
func (fl *Fleet) targetControl(fd id.FailureDomain) string {
	return fmt.Sprintf("%s:%d", fl.domainHost(fl.domainNumber(fd)), controlPort)
}

// targetRecords returns the file in which the targets of a failure domain record their requests.
func (fl *Fleet) targetRecords(fd id.FailureDomain) string {
	return filepath.Join(fl.dir, "targets-"+string(fd)+".jsonl")
}

// startVM adds a VM to the VM list of the platform and starts its daemon.
func (fl *Fleet) startVM(vm id.VM) error {
	ds := fl.settings[vm]
	body := fmt.Sprintf(`{"failure_domain":%q,"peer_address":%q,"caller_address":%q}`,
		ds.FailureDomain, ds.PeerAddress, ds.CallerAddress)
	if err := sendRequest(http.MethodPut, "http://"+fl.platformControl()+"/vms/"+string(vm), body); err != nil {
		return err
	}
	return fl.start("entry-"+string(vm), "damasklatch", "entry", "--settings", fl.files[vm])
}

// awaitReady waits until every entry VM reports that it is ready.
func (fl *Fleet) awaitReady() error {
	for _, vm := range fl.vms() {
		if err := awaitSuccess("http://" + fl.settings[vm].PeerAddress + "/readyz"); err != nil {
			return err
		}
	}
	return nil
}

// stopAll kills every process that is still running and releases the addresses.
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

// awaitSuccess polls a URL until it responds without an error status, for at most readyTimeout.
func awaitSuccess(url string) error {
	end := time.Now().Add(readyTimeout)
	for {
		err := sendRequest(http.MethodGet, url, "")
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return errors.Wrapf(err, "no success within %s", readyTimeout)
		}
		time.Sleep(pollInterval)
	}
}

// httpTimeout is the time limit of one request.
const httpTimeout = 5 * time.Second

// sendRequest sends one request to a control endpoint. It fails on a status of 400 or above.
func sendRequest(method, url, body string) error {
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
