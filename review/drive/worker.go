//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// run is a request that a worker ran.
type workerRun struct {
	id, method, target, host, deadline string
	body                               []byte
	bodyErr                            error
}

// worker is a stand-in for a worker. It runs each request and responds as serve says.
type worker struct {
	en    *environment
	id    string
	ln    net.Listener
	serve func(ss *workerSession, r *http.Request) (keep bool)

	mu   sync.Mutex
	runs []workerRun
}

// workerSession is a connection to a worker.
type workerSession struct {
	wk *worker
	cn net.Conn
	rd *bufio.Reader
}

// startWorker starts a worker with an ID, and registers it.
func (en *environment) startWorker(id string, slots int, serve func(ss *workerSession, r *http.Request) bool) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	wk := &worker{en: en, id: id, ln: ln, serve: serve}
	go wk.acceptLoop()
	en.onClose(func() { _ = ln.Close() })
	en.register(id, ln.Addr().String(), slots)
	return wk, nil
}

func (wk *worker) acceptLoop() {
	for {
		cn, err := wk.ln.Accept()
		if err != nil {
			return
		}
		go (&workerSession{wk, cn, bufio.NewReader(cn)}).loop()
	}
}

func (ss *workerSession) loop() {
	defer ss.cn.Close()
	for {
		r, err := http.ReadRequest(ss.rd)
		if err != nil || !ss.wk.serve(ss, r) {
			return
		}
	}
}

// refuseOther answers 421 to a request that is meant for another worker. It reports whether it did.
func (ss *workerSession) refuseOther(r *http.Request) bool {
	if want := r.Header.Get("X-Expect-Instance"); want == "" || want == ss.wk.id {
		return false
	}
	fmt.Fprintf(ss.cn, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"))
	return true
}

// answer writes a successful response with a seal.
func (ss *workerSession) answer(r *http.Request, body string) bool {
	_, err := fmt.Fprintf(ss.cn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s.%s\r\nContent-Length: %d\r\n\r\n%s",
		r.Header.Get("X-Attempt-Id"), r.Header.Get("X-Attempt-Id"), len(body), body)
	return err == nil
}

// add records a run.
func (wk *worker) add(rn workerRun) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.runs = append(wk.runs, rn)
}

// all returns the runs so far.
func (wk *worker) all() []workerRun {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	return append([]workerRun(nil), wk.runs...)
}

func newRun(r *http.Request) workerRun {
	return workerRun{id: r.Header.Get("X-Attempt-Id"), method: r.Method, target: r.RequestURI, host: r.Host, deadline: r.Header.Get("X-Deadline-Ms")}
}

// serveAtOnce reads the whole request and responds.
func serveAtOnce(ss *workerSession, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if ss.refuseOther(r) {
		return err == nil
	}
	rn := newRun(r)
	rn.body, rn.bodyErr = body, err
	ss.wk.add(rn)
	return err == nil && ss.answer(r, "done "+rn.id+"\n")
}
