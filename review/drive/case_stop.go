//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// callerWait is the deadline of certify, and the timeout of its route.
	callerWait = 10 * time.Second
	// pause is what the workers ask for in Retry-After.
	pause     = 8 * time.Second
	stopAfter = 500 * time.Millisecond // from the first of the waiting requests
	waiting   = 5
	lossSlack = 200 * time.Millisecond
)

// playStopWhilePaused stops a gateway while requests wait in it, because all workers have asked it for a pause. Each of them must get
// an answer.
func playStopWhilePaused(en *environment) (bool, error) {
	en.configure(func(cfg map[string]any) {
		for _, rt := range cfg["Routes"].([]any) {
			rt.(map[string]any)["TimeoutS"] = callerWait.Seconds()
		}
	})
	pw := &pausingWorkers{until: time.Now().Add(time.Hour)}
	for nr := range 2 {
		if _, err := en.startWorker(fmt.Sprint("i-", nr+1), 9, pw.serve); err != nil {
			return false, err
		}
	}
	gw, err := en.startGateway("front-delta-tanta-1")
	if err != nil {
		return false, err
	}
	pw.until = time.Now().Add(pause)
	gw.certify() // learns of the pause
	var lost atomic.Int64
	var wg sync.WaitGroup
	for range waiting {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if re := gw.certify(); re.status == 0 && re.after > lossSlack && re.after < callerWait {
				lost.Add(1)
			}
		}()
	}
	time.Sleep(stopAfter)
	if en.trouble {
		en.note("SIGTERM to %s", gw.name)
		gw.signal(syscall.SIGTERM)
	}
	wg.Wait()
	en.note("%d of %d requests that were read got no answer", lost.Load(), waiting)
	return lost.Load() > 0, nil
}

// certify sends an unsafe request and notes the answer.
func (gw *gatewayProcess) certify() reply {
	id := newID()
	gw.en.note("client sends %s", id)
	re := gw.call(requestHead(http.MethodPost, "/book/x", id, callerWait)+"Content-Length: 2\r\n\r\nhi", callerWait+time.Second)
	gw.en.note("client %s: %v", id, re)
	return re
}

// pausingWorkers want nothing until a time.
type pausingWorkers struct{ until time.Time }

func (pw *pausingWorkers) serve(ss *workerSession, r *http.Request) bool {
	if _, err := io.ReadAll(r.Body); err != nil {
		return false
	}
	id := r.Header.Get("X-Attempt-Id")
	left := time.Until(pw.until)
	if left <= 0 {
		ss.wk.en.note("worker %s runs %s", ss.wk.id, id)
		return ss.answer(r, "done")
	}
	ss.wk.en.note("worker %s refuses %s, and wants nothing for %.3f s", ss.wk.id, id, left.Seconds())
	_, err := fmt.Fprintf(ss.cn, "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nRetry-After: %.3f\r\n"+
		"X-Server-Load: 9,9,9\r\nContent-Length: 0\r\n\r\n", id, left.Seconds())
	return err == nil
}
