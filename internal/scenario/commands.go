package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"damasklatch/core/id"
)

// stateKey is the key of the scriptState in the values of a testscript.Env.
type stateKey struct{}

// scriptState is the state that the commands of one script share.
type scriptState struct {
	fleet  *Fleet         // nil before deploy
	report map[string]any // last report, by field
}

// Setup prepares the environment of a script and stops its processes at the end. It is for testscript.Params.Setup.
func Setup(ev *testscript.Env) error {
	ss := new(scriptState)
	ev.Values[stateKey{}] = ss
	ev.Defer(func() {
		if ss.fleet != nil {
			ss.fleet.stopAll()
		}
	})
	return nil
}

// Commands returns the commands of the package documentation, for testscript.Params.Cmds. Argument examples is the
// directory of the example deployments.
func Commands(examples string) map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"deploy": command(1, 2, func(ts *testscript.TestScript, ss *scriptState, args []string) error {
			return deploy(ts, ss, examples, args)
		}),
		"vm":         command(2, 2, controlVM),
		"unlist":     command(1, 1, unlist),
		"fault":      command(1, 1, setFaults),
		"target":     command(2, 2, setTargetBehavior),
		"request":    command(4, 9, printOutput(request)),
		"lookup":     command(3, 3, printOutput(lookup)),
		"callers":    command(1, 1, startCallers),
		"wait_for":   command(1, 1, func(_ *testscript.TestScript, ss *scriptState, args []string) error { return ss.fleet.wait(args[0]) }),
		"report":     command(0, 0, makeReport),
		"check":      command(3, 3, check),
		"eventually": eventually,
		"sleep":      command(1, 1, sleep),
		"withdraw":   command(1, 1, withdraw),
		"accept": command(0, 0, func(ts *testscript.TestScript, ss *scriptState, _ []string) error {
			return ss.fleet.accept(ts, "--wait")
		}),
		"operator": command(1, 20, operator),
	}
}

// printOutput wraps a command that returns its output and prints the output.
func printOutput(fn func(*testscript.TestScript, *scriptState, []string) (string, error)) func(*testscript.TestScript, *scriptState, []string) error {
	return func(ts *testscript.TestScript, ss *scriptState, args []string) error {
		output, err := fn(ts, ss, args)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(ts.Stdout(), output)
		return err
	}
}

// operatorOutput runs the operator command and returns its standard output.
func operatorOutput(ts *testscript.TestScript, ss *scriptState, args []string) (string, error) {
	err := operator(ts, ss, args)
	return ts.ReadFile("stdout"), err
}

// command wraps a command with a check of the number of arguments. A command that is negated with "!" must fail.
func command(minArgs, maxArgs int, fn func(*testscript.TestScript, *scriptState, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if len(args) < minArgs || len(args) > maxArgs {
			ts.Fatalf("got %d arguments, want %d to %d", len(args), minArgs, maxArgs)
		}
		ss, _ := ts.Value(stateKey{}).(*scriptState)
		err := fn(ts, ss, args)
		switch {
		case err == nil && neg:
			ts.Fatalf("the command succeeded, but a failure is expected")
		case err != nil && !neg:
			ts.Fatalf("%v", err)
		}
	}
}

// deploy starts a deployment and waits until every entry VM is ready and every team has a key.
func deploy(ts *testscript.TestScript, ss *scriptState, examples string, args []string) error {
	host, err := reserveAddresses()
	if err != nil {
		return err
	}
	fl, err := newFleet(ts.MkAbs("."), filepath.Join(examples, args[0]), host)
	if err != nil {
		_ = host.lock.Close()
		return err
	}
	ss.fleet = fl
	if len(args) > 1 {
		perDomain, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		fl.limitVMs(perDomain)
	}
	if err := fl.startAll(); err != nil {
		return err
	}
	if err := fl.accept(ts); err != nil {
		return err
	}
	if err := fl.awaitReady(); err != nil {
		return err
	}
	return issueKeys(ts, fl)
}

// issueKeys issues a key to every team and writes it to the file that keyFile names.
func issueKeys(ts *testscript.TestScript, fl *Fleet) error {
	dir := ts.MkAbs("keys")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	for _, tm := range fl.cfg.Teams {
		if err := fl.runOperator(ts, "key", "issue", string(tm.Name), "--output", "json"); err != nil {
			return err
		}
		var issued struct {
			Key string `json:"key"`
		}
		if err := json.Unmarshal([]byte(ts.ReadFile("stdout")), &issued); err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(dir, string(tm.Name)+".key"), []byte(issued.Key), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// accept proposes the configuration files of the fleet and accepts the proposal. The flags go to the accept command.
func (fl *Fleet) accept(ts *testscript.TestScript, flags ...string) error {
	if err := fl.runOperator(ts, "config", "propose", "--output", "json", fl.config); err != nil {
		return err
	}
	var proposed struct {
		Operation string `json:"operation_id"`
	}
	if err := json.Unmarshal([]byte(ts.ReadFile("stdout")), &proposed); err != nil {
		return err
	}
	return fl.runOperator(ts, append([]string{"config", "accept", proposed.Operation}, flags...)...)
}

// runOperator runs the operator command with the store address and the operator secret of the fleet.
func (fl *Fleet) runOperator(ts *testscript.TestScript, args ...string) error {
	ts.Setenv("DAMASKLATCH_STORE", fmt.Sprintf("%s:%d", fl.domainHost(0), platformPort))
	ts.Setenv("DAMASKLATCH_OPERATOR_SECRET_FILE", filepath.Join(fl.config, "operator_secret.txt"))
	ts.Setenv("DAMASKLATCH_AUTHOR", "scenario")
	return ts.Exec("damasklatch", args...)
}

func operator(ts *testscript.TestScript, ss *scriptState, args []string) error {
	return ss.fleet.runOperator(ts, args...)
}

// sleep waits for the given number of seconds.
func sleep(_ *testscript.TestScript, _ *scriptState, args []string) error {
	seconds, err := strconv.ParseFloat(args[0], 64)
	if err != nil {
		return err
	}
	time.Sleep(time.Duration(seconds * float64(time.Second)))
	return nil
}

// withdraw withdraws the key of a team.
func withdraw(ts *testscript.TestScript, ss *scriptState, args []string) error {
	return ss.fleet.runOperator(ts, "key", "withdraw", strings.TrimSpace(ts.ReadFile(keyFile(args[0]))))
}

// keyFile returns the name of the file with a team's key, relative to the working directory of the script.
func keyFile(team string) string { return filepath.Join("keys", team+".key") }

// controlVM starts the process of an entry VM, or sends it the signal of the action.
func controlVM(_ *testscript.TestScript, ss *scriptState, args []string) error {
	vm := id.VM(args[1])
	name := "entry-" + args[1]
	if args[0] == "start" {
		if err := ss.fleet.startVM(vm); err != nil {
			return err
		}
		return awaitSuccess("http://" + ss.fleet.settings[vm].PeerAddress + "/readyz")
	}
	pr, err := ss.fleet.process(name)
	if err != nil {
		return err
	}
	switch args[0] {
	case "kill":
		if err := pr.cmd.Process.Kill(); err != nil {
			return err
		}
		<-pr.done
		return nil
	case "freeze":
		return pr.cmd.Process.Signal(syscall.SIGSTOP)
	case "thaw":
		return pr.cmd.Process.Signal(syscall.SIGCONT)
	case "stop":
		if err := pr.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		return ss.fleet.wait(name)
	default:
		return errors.Errorf("unknown action %q, want kill, freeze, thaw, stop or start", args[0])
	}
}

// unlist removes a VM from the VM list of the platform.
func unlist(_ *testscript.TestScript, ss *scriptState, args []string) error {
	return sendRequest(http.MethodDelete, "http://"+ss.fleet.platformControl()+"/vms/"+args[0], "")
}

// setFaults sets the faults that the platform store injects.
func setFaults(_ *testscript.TestScript, ss *scriptState, args []string) error {
	return sendRequest(http.MethodPost, "http://"+ss.fleet.platformControl()+"/fault", args[0])
}

// setTargetBehavior sets the behavior of a target of a failure domain.
func setTargetBehavior(_ *testscript.TestScript, ss *scriptState, args []string) error {
	return sendRequest(http.MethodPost, "http://"+ss.fleet.targetControl(id.FailureDomain(args[0]))+"/control", args[1])
}

// lookup sends a look-up to a VM and returns the names of the VMs in the response, separated by spaces.
func lookup(_ *testscript.TestScript, ss *scriptState, args []string) (string, error) {
	answer, err := ss.fleet.lookup(id.VM(args[0]), args[1], args[2])
	if err != nil {
		return "", err
	}
	names := make([]string, 0, len(answer.Entries))
	for _, en := range answer.Entries {
		names = append(names, en.VM)
	}
	return strings.Join(names, " "), nil
}

// lookupResponse holds the fields of a look-up response that callers use.
type lookupResponse struct {
	Entries []struct {
		VM     string `json:"vm"`
		Ticket string `json:"ticket"`
	} `json:"entries"`
}

// lookup sends a look-up to a VM.
func (fl *Fleet) lookup(vm id.VM, route, client string) (*lookupResponse, error) {
	url := fmt.Sprintf("http://%s/v1/lookup?route=%s&client=%s", fl.settings[vm].CallerAddress, route, client)
	rs, err := (&http.Client{Timeout: httpTimeout}).Get(url)
	if err != nil {
		return nil, err
	}
	defer rs.Body.Close()
	answer := new(lookupResponse)
	if rs.StatusCode != http.StatusOK {
		return nil, errors.Errorf("look-up at VM %s: unexpected status %s", vm, rs.Status)
	}
	return answer, json.NewDecoder(rs.Body).Decode(answer)
}

// request sends one request and returns the status, the outcome and the reason of the response. It returns "no answer"
// if the request fails, so that eventually can repeat it.
func request(ts *testscript.TestScript, ss *scriptState, args []string) (string, error) {
	ds, ok := ss.fleet.settings[id.VM(args[0])]
	if !ok {
		return "", errors.Errorf("the deployment has no VM %q", args[0])
	}
	rq, err := http.NewRequest(args[2], "http://"+ds.CallerAddress+args[3], http.NoBody)
	if err != nil {
		return "", err
	}
	if args[1] != "-" {
		key := strings.TrimSpace(ts.ReadFile(keyFile(args[1])))
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	for _, header := range args[4:] {
		name, value, _ := strings.Cut(header, ": ")
		rq.Header.Set(name, value)
	}
	client := &http.Client{Timeout: httpTimeout, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	defer client.CloseIdleConnections()
	rs, err := client.Do(rq)
	if err != nil {
		return "no answer", nil
	}
	defer rs.Body.Close()
	return fmt.Sprintln(rs.StatusCode, rs.Header.Get("Damasklatch-Outcome"), rs.Header.Get("Damasklatch-Reason")), nil
}

// startCallers starts the callers of a caller scenario file in the background.
func startCallers(ts *testscript.TestScript, ss *scriptState, args []string) error {
	cmd := []string{"callers", "--scenario", ts.MkAbs(args[0]), "--keys", ts.MkAbs("keys"), "--records", ts.MkAbs("callers.jsonl"), "--entries"}
	for _, vm := range ss.fleet.vms() {
		cmd = append(cmd, ss.fleet.settings[vm].CallerAddress)
	}
	return ss.fleet.start("callers", "damasklatch-standin", cmd...)
}

// makeReport runs the report command and stores the last line of its output, which is JSON. It fails if the log of an
// entry VM contains a key.
func makeReport(ts *testscript.TestScript, ss *scriptState, _ []string) error {
	if err := ss.fleet.checkLogsWithout(keyPrefix); err != nil {
		return err
	}
	args := []string{"report", "--config", ss.fleet.config, "--callers", ts.MkAbs("callers.jsonl"), "--targets"}
	for _, fd := range ss.fleet.cfg.FailureDomains {
		args = append(args, ss.fleet.targetRecords(fd.Name))
	}
	if err := ts.Exec("damasklatch-standin", args...); err != nil {
		return err
	}
	lines := strings.Split(strings.TrimSpace(ts.ReadFile("stdout")), "\n")
	return json.Unmarshal([]byte(lines[len(lines)-1]), &ss.report)
}

// keyPrefix is the prefix of every key.
const keyPrefix = "dlk_"

// checkLogsWithout fails if the log of an entry VM contains the text.
func (fl *Fleet) checkLogsWithout(text string) error {
	names, err := filepath.Glob(filepath.Join(fl.dir, "entry-*.log"))
	if err != nil {
		return err
	}
	for _, name := range names {
		src, err := os.ReadFile(name)
		if err != nil {
			return err
		}
		if bytes.Contains(src, []byte(text)) {
			return errors.Errorf("log %s contains %q", filepath.Base(name), text)
		}
	}
	return nil
}

// check compares a field of the last report with a number.
func check(_ *testscript.TestScript, ss *scriptState, args []string) error {
	got, ok := maxValue(ss.report[args[0]])
	if !ok {
		return errors.Errorf("the report has no number in field %q", args[0])
	}
	want, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	holds := map[string]bool{"==": got == want, "!=": got != want, "<=": got <= want, ">=": got >= want}
	if !holds[args[1]] {
		return errors.Errorf("report field %s is %v, want %s %v", args[0], got, args[1], want)
	}
	return nil
}

// maxValue returns the number in a report field, or the largest number of a field with one number per team.
func maxValue(field any) (float64, bool) {
	switch fd := field.(type) {
	case float64:
		return fd, true
	case map[string]any:
		most, found := math.Inf(-1), false
		for _, value := range fd {
			nr, ok := value.(float64)
			if !ok {
				return 0, false
			}
			most, found = max(most, nr), true
		}
		return most, found
	default:
		return 0, false
	}
}

// eventually repeats a command until its output matches a regular expression, and fails after the given time.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 3 {
		ts.Fatalf("usage: eventually SECONDS REGEXP COMMAND...")
	}
	seconds, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	pattern, err := regexp.Compile(args[1])
	ts.Check(err)
	ss, _ := ts.Value(stateKey{}).(*scriptState)
	begin := time.Now()
	run := map[string]func(*testscript.TestScript, *scriptState, []string) (string, error){
		"request": request, "lookup": lookup, "operator": operatorOutput,
	}[args[2]]
	if run == nil {
		ts.Fatalf("eventually can't repeat command %q, only request, lookup and operator", args[2])
	}
	for {
		output, err := run(ts, ss, args[3:])
		if pattern.MatchString(output) {
			ts.Logf("matched after %.1f s", time.Since(begin).Seconds())
			return
		}
		if time.Since(begin).Seconds() > seconds {
			ts.Fatalf("output does not match %s after %v s; last output %q, last error %v", args[1], seconds, output, err)
		}
		time.Sleep(pollInterval)
	}
}
