//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Shape of a worker.
const (
	workerSlots = 4
	workerQueue = 12
)

// execution is a request that a worker began to work on.
type execution struct {
	id, method, path, tenant string
	worker                   string
	began, ended             time.Time
	dropped                  bool // the connection closed before the end, and the worker stopped the work
}

// worker is a server with the protocol of the platform's workers.
type worker struct {
	rg *rig
	id string
	ln net.Listener

	mu       sync.Mutex
	work     time.Duration // mean time that a request takes
	shed     float64       // share of the requests that are rejected although there is room
	extra    float64       // share of the answers that are sent a second time, late
	running  int
	waiting  int
	slots    chan struct{}
	runs     []*execution
	conns    map[net.Conn]bool
	rejected int
	extras   int
}

// addWorker starts a worker and registers it.
func (rg *rig) addWorker(id, zone string, work time.Duration) *worker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	wk := &worker{rg: rg, id: id, ln: ln, work: work, slots: make(chan struct{}, workerSlots), conns: map[net.Conn]bool{}}
	rg.workers = append(rg.workers, wk)
	rg.store.Put("servers", id, map[string]any{
		"Service": "desk", "Address": ln.Addr().String(), "Zone": zone, "Version": "v1", "MaxConcurrency": workerSlots,
		"State": "ready", "WarmupLeftS": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	go wk.accept()
	return wk
}

func (wk *worker) accept() {
	for {
		cn, err := wk.ln.Accept()
		if err != nil {
			return
		}
		wk.mu.Lock()
		wk.conns[cn] = true
		wk.mu.Unlock()
		go (&session{wk: wk, cn: cn}).serve()
	}
}

func (wk *worker) close() {
	_ = wk.ln.Close()
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for cn := range wk.conns {
		_ = cn.Close()
	}
}

func (wk *worker) update(change func()) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	change()
}

// executions returns all requests that the workers began to work on.
func (rg *rig) executions() []execution {
	var all []execution
	for _, wk := range rg.workers {
		wk.mu.Lock()
		for _, ex := range wk.runs {
			all = append(all, *ex)
		}
		wk.mu.Unlock()
	}
	return all
}

// session is a connection of a daemon. It serves one request at a time.
type session struct {
	wk   *worker
	cn   net.Conn
	late []byte // copy of an earlier answer, sent where the next answer is expected
	gone chan struct{}
}

// incoming is a request with its body.
type incoming struct {
	*http.Request
	body []byte
}

func (ss *session) serve() {
	defer ss.end()
	requests := make(chan incoming)
	ss.gone = make(chan struct{})
	stop := make(chan struct{})
	defer close(stop)
	go ss.read(requests, stop)
	for {
		select {
		case in := <-requests:
			if !ss.handle(in) {
				return
			}
		case <-ss.gone:
			return
		}
	}
}

func (ss *session) end() {
	_ = ss.cn.Close()
	ss.wk.mu.Lock()
	defer ss.wk.mu.Unlock()
	delete(ss.wk.conns, ss.cn)
}

// read reads requests until the connection closes.
func (ss *session) read(requests chan<- incoming, stop <-chan struct{}) {
	defer close(ss.gone)
	rd := bufio.NewReader(ss.cn)
	for {
		r, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case requests <- incoming{r, body}:
		case <-stop:
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (ss *session) handle(in incoming) bool {
	wk := ss.wk
	id := in.Header.Get("X-Attempt-Id")
	if ss.late != nil {
		wk.rg.note("worker %s: sends its earlier answer once more as request %s arrives", wk.id, id)
		_, _ = ss.cn.Write(ss.late)
		ss.late = nil
	}
	if in.URL.Path == "/healthz" {
		return ss.answer(id, 200, map[string]string{"X-Instance-Id": wk.id}, nil)
	}
	if want := in.Header.Get("X-Expect-Instance"); want != "" && want != wk.id {
		return ss.answer(id, 421, map[string]string{"X-Instance-Id": wk.id, "X-Not-Executed": "1"}, nil)
	}
	wk.mu.Lock()
	full := wk.waiting >= workerQueue
	shed := rand.Float64() < wk.shed
	if full || shed {
		wk.rejected++
		wk.mu.Unlock()
		wk.rg.note("worker %s: rejects %s (503, not executed)", wk.id, id)
		return ss.answer(id, 503, map[string]string{"X-Not-Executed": "1"}, nil)
	}
	wk.waiting++
	wk.mu.Unlock()
	return ss.execute(in, id)
}

// execute runs a request in a slot until it is done, its deadline has passed or the connection closes.
func (ss *session) execute(in incoming, id string) bool {
	wk := ss.wk
	left := time.Minute
	if ms, err := strconv.Atoi(in.Header.Get("X-Deadline-Ms")); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	select {
	case wk.slots <- struct{}{}:
		wk.update(func() { wk.waiting-- })
	case <-deadline.C:
		wk.update(func() { wk.waiting-- })
		return ss.answer(id, 503, map[string]string{"X-Not-Executed": "1"}, nil)
	case <-ss.gone:
		wk.update(func() { wk.waiting-- })
		return false
	}
	ex := &execution{id: id, method: in.Method, path: in.RequestURI, tenant: in.Header.Get("X-Tenant"), worker: wk.id, began: time.Now()}
	wk.mu.Lock()
	wk.running++
	wk.runs = append(wk.runs, ex)
	took := time.Duration(float64(wk.work) * (0.85 + 0.3*rand.Float64()))
	wk.mu.Unlock()
	wk.rg.note("worker %s: runs %s %s %s (%d bytes)", wk.id, id, in.Method, in.RequestURI, len(in.body))
	done := time.NewTimer(took)
	defer done.Stop()
	status, dropped := 200, false
	select {
	case <-done.C:
	case <-deadline.C:
		status = 504
	case <-ss.gone:
		dropped = true
	}
	wk.mu.Lock()
	wk.running--
	ex.ended, ex.dropped = time.Now(), dropped
	wk.mu.Unlock()
	<-wk.slots
	if dropped {
		wk.rg.note("worker %s: drops %s, as its connection has closed", wk.id, id)
		return false
	}
	body := bytes.Repeat([]byte("r"), 400)
	return ss.answer(id, status, map[string]string{"X-Response-Seal": "seal-" + id}, body)
}

// answer writes an answer. It keeps a copy to send late for the share of answers given by extra.
func (ss *session) answer(id string, status int, header map[string]string, body []byte) bool {
	wk := ss.wk
	wk.mu.Lock()
	header["X-Server-Load"] = fmt.Sprintf("%d,%d,%d", wk.running, wk.waiting, workerSlots)
	again := rand.Float64() < wk.extra
	if again {
		wk.extras++
	}
	wk.mu.Unlock()
	header["X-Attempt-Id"] = id
	header["Keep-Alive"] = "timeout=10"
	var out strings.Builder
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, val := range header {
		fmt.Fprintf(&out, "%s: %s\r\n", name, val)
	}
	fmt.Fprintf(&out, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if again {
		ss.late = []byte(out.String())
	}
	_, err := io.WriteString(ss.cn, out.String())
	return err == nil
}
