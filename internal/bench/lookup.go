package bench

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/dedup"
	"damasklatch/core/id"
	"damasklatch/core/lookup"
	"damasklatch/io/entry"
)

// lookupCommand measures look-ups over HTTP. The callers run in a separate process, so that the CPU time of this process is
// the CPU time of the server.
type lookupCommand struct {
	measureOptions
	Address     string        `arg:"--address" default:"127.90.0.1:17000" help:"address of the server"`
	Connections int           `arg:"--connections" default:"16" help:"connections of the callers"`
	Duration    time.Duration `arg:"--duration" default:"3s" help:"duration of a repeat"`
}

func (cm *lookupCommand) measure(ctx context.Context) (*Result, error) {
	rs := &Result{
		Measurement: "look-ups over HTTP",
		Method: fmt.Sprintf("in-process entry server with GOMAXPROCS=1 at the design size, callers on %d keep-alive connections in another process; "+
			"a core is a second of CPU time (user and system) of the server's process", cm.Connections),
	}
	sz := designSize()
	cfg, err := sz.sources(0).Merge()
	if err != nil {
		return nil, err
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	self := id.VMIncarnation{VM: vmName(0, 0), Incarnation: 1}
	sv := entry.New(entry.Options{
		Self: self, FailureDomain: domainName(0), Signer: dedup.NewSigner([]byte("bench")), Table: dedup.NewTable(self, 1),
	})
	sv.SetState(&entry.State{Config: cfg, Lookup: lookup.New(cfg), View: lookup.NewView(sz.vms()), Ready: true})
	ln, err := net.Listen("tcp", cm.Address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for look-ups")
	}
	hs := &httpServer{srv: sv.HTTPServer(), ln: ln}
	go hs.run()
	defer hs.close()
	for range cm.Repeat {
		runtime.GC()
		cpu, start := cpuTime(), time.Now()
		count, err := cm.runCallers(ctx)
		if err != nil {
			return nil, err
		}
		cpu, took := cpuTime()-cpu, time.Since(start)
		rs.add("look-ups a second of CPU time", "1/s", atLeast(20_000), float64(count)/cpu.Seconds())
		rs.add("look-ups a second of wall time", "1/s", nil, float64(count)/took.Seconds())
		rs.add("cores used by the server", "cores", nil, cpu.Seconds()/took.Seconds())
	}
	return rs, nil
}

// httpServer is an HTTP server and its listener.
type httpServer struct {
	srv *http.Server
	ln  net.Listener
}

// run serves requests until the server is closed.
func (hs *httpServer) run() { _ = hs.srv.Serve(hs.ln) }

func (hs *httpServer) close() { _ = hs.srv.Close() }

// cpuTime returns the CPU time of this process so far, in user and system mode.
func cpuTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

// runCallers runs the callers subcommand in a child process and returns the number of successful look-ups.
func (cm *lookupCommand) runCallers(ctx context.Context) (int, error) {
	program, err := os.Executable()
	if err != nil {
		return 0, errors.Wrap(err, "find path of this program")
	}
	child := exec.CommandContext(ctx, program, "callers", "--address", cm.Address, "--connections", strconv.Itoa(cm.Connections), //nolint:forbidigo // test equipment, not a process of the system
		"--duration", cm.Duration.String())
	child.Stderr = os.Stderr
	out, err := child.Output()
	if err != nil {
		return 0, errors.Wrap(err, "run callers")
	}
	return strconv.Atoi(string(bytes.TrimSpace(out)))
}

// callersCommand sends look-ups on several connections and prints the number of successful responses.
type callersCommand struct {
	Address     string        `arg:"--address,required" help:"address of the server"`
	Connections int           `arg:"--connections" default:"16" help:"connections"`
	Duration    time.Duration `arg:"--duration" default:"3s" help:"duration"`
}

func (cm *callersCommand) run(ctx context.Context, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, cm.Duration)
	defer cancel()
	tr := &http.Transport{MaxIdleConnsPerHost: cm.Connections, DisableCompression: true}
	defer tr.CloseIdleConnections()
	ld := &lookupLoad{url: "http://" + cm.Address + "/v1/lookup?route=" + string(route) + "&client=", client: &http.Client{Transport: tr}}
	var wg sync.WaitGroup
	for nr := range cm.Connections {
		wg.Add(1)
		go ld.run(ctx, &wg, nr)
	}
	wg.Wait()
	if ld.failed.Load() > 0 {
		return errors.Errorf("%d look-ups failed", ld.failed.Load())
	}
	fmt.Fprintln(out, ld.answered.Load())
	return nil
}

// lookupLoad sends look-ups and counts them over all connections.
type lookupLoad struct {
	url      string
	client   *http.Client
	answered atomic.Int64
	failed   atomic.Int64
}

func (ld *lookupLoad) run(ctx context.Context, wg *sync.WaitGroup, nr int) {
	defer wg.Done()
	for seq := nr * 10_007; ctx.Err() == nil; seq++ {
		err := get(ld.client, ld.url+blockAddress(seq*7_919%designBlocks).Next().String(), "")
		if err != nil {
			ld.failed.Add(1)
			return
		}
		ld.answered.Add(1)
	}
}

// get sends a GET request with an optional API key and reads the whole response. It fails unless the status is 200.
func get(cl *http.Client, url, key string) error {
	rq, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	if key != "" {
		rq.Header.Set("Authorization", "Bearer "+key)
	}
	rp, err := cl.Do(rq)
	if err != nil {
		return err
	}
	defer rp.Body.Close()
	body, err := io.ReadAll(rp.Body)
	if err == nil && rp.StatusCode != http.StatusOK {
		err = errors.Errorf("%s: %s %s %.200s", url, rp.Status, rp.Header.Get("Damasklatch-Reason"), body)
	}
	return err
}
