//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["4"] = playStopTwice }

const (
	stopClients = 24
	stopWork    = 600 * time.Millisecond
	// stopAgain is the time between the two SIGTERM.
	stopAgain = 400 * time.Millisecond
	stopGrace = 6 * time.Second
)

// playStopTwice stops one daemon while clients send bookings. With the disruption, SIGTERM comes a second time while the daemon
// still finishes its requests.
func playStopTwice(rg *rig) []string {
	rg.configure(0, route("book", "/book/", "unsafe", "desk"))
	smallDeployment(rg, 12, stopWork)
	var mu sync.Mutex
	var all []attempt
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for nr := range stopClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			bookElsewhere(rg, nr, stop, func(at attempt) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, at)
			})
		}()
	}
	time.Sleep(5 * time.Second)
	leaving := rg.vms[0]
	leaving.signal(syscall.SIGTERM)
	stopped := time.Now()
	if rg.trouble {
		time.Sleep(stopAgain)
		if leaving.running() {
			leaving.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(time.Until(stopped.Add(stopGrace + time.Second)))
	close(stop)
	wg.Wait()
	return checkLost(rg, all, leaving, stopped)
}

// bookElsewhere sends bookings on kept connections, and goes to the next daemon when one closes the connection or can't be reached.
func bookElsewhere(rg *rig, nr int, stop <-chan struct{}, done func(attempt)) {
	var cc *connection
	for {
		select {
		case <-stop:
			return
		default:
		}
		if cc == nil {
			var err error
			if cc, err = dial(rg.vms[nr%len(rg.vms)]); err != nil {
				nr++
				continue
			}
		}
		at, open := cc.send(rg, "POST", "/book/visit", 1200, bookDeadline)
		done(at)
		if !open {
			cc.close()
			cc = nil
			nr++
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkLost returns the bookings sent to a daemon around its stop that it passed on to a worker and whose connection ended without
// a complete answer, long before the deadline.
func checkLost(rg *rig, all []attempt, leaving *vm, stopped time.Time) []string {
	runs := map[string]execution{}
	for _, ex := range rg.executions() {
		runs[ex.id] = ex
	}
	var broken []string
	for _, at := range all {
		ex, ran := runs[at.id]
		took := at.ended.Sub(at.sent)
		if at.vm != leaving || at.status != 0 || !ran || took > bookDeadline*9/10 || at.ended.After(stopped.Add(stopGrace+time.Second)) {
			continue
		}
		text := fmt.Sprintf("LOST: %s was passed on to worker %s %.0f ms after it was sent, and its connection ended without an answer after %.0f ms (%v), %.0f ms after SIGTERM",
			at.id, ex.worker, float64(ex.began.Sub(at.sent).Milliseconds()), float64(took.Milliseconds()), at.err, float64(at.ended.Sub(stopped).Milliseconds()))
		rg.note("BROKEN %s", text)
		broken = append(broken, text)
	}
	return broken
}
