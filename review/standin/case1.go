//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["1"] = playLateAnswers }

// Figures of the case.
const (
	lateWorkers  = 10
	lateClients  = 24
	lateRounds   = 6
	greyTime     = 8500 * time.Millisecond
	garbleTime   = 5 * time.Second
	roundPause   = 500 * time.Millisecond
	greyShare    = 0.55 // of the requests, at all workers
	extraShare   = 0.03 // of the answers
	extraWorkers = 6    // 0.6 of the workers
	bookDeadline = 3 * time.Second
)

// smallDeployment starts two daemons in each of two failure domains, and workers in both.
func smallDeployment(rg *rig, workers int, work time.Duration) {
	domains := map[string]string{"hn-a": "north", "dn-a": "central"}
	zones := []string{"hn-a", "dn-a"}
	for nr := range workers {
		rg.addWorker(fmt.Sprintf("i-%02d", nr), zones[nr%2], work)
	}
	for nr := range 4 {
		rg.addVM(fmt.Sprintf("front-%s-%d", zones[nr%2], nr/2+1), zones[nr%2], domains)
	}
	for _, mc := range rg.vms {
		mc.start()
	}
	rg.awaitReady()
	time.Sleep(time.Second)
}

// playLateAnswers sends bookings while workers reject requests although they have room, and send some answers a second time.
func playLateAnswers(rg *rig) []string {
	rg.configure(0, route("book", "/book/", "unsafe", "desk"))
	smallDeployment(rg, lateWorkers, 40*time.Millisecond)
	var mu sync.Mutex
	var all []attempt
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for nr := range lateClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			book(rg, rg.vms[nr%len(rg.vms)], stop, func(at attempt) {
				mu.Lock()
				defer mu.Unlock()
				all = append(all, at)
			})
		}()
	}
	for range lateRounds {
		if rg.trouble {
			for nr, wk := range rg.workers {
				wk.update(func() {
					wk.shed = greyShare
					if nr < extraWorkers {
						wk.extra = extraShare
					}
				})
			}
			rg.note("trouble: all workers shed, some send answers again")
		}
		time.Sleep(garbleTime)
		for _, wk := range rg.workers {
			wk.update(func() { wk.extra = 0 })
		}
		time.Sleep(greyTime - garbleTime)
		for _, wk := range rg.workers {
			wk.update(func() { wk.shed = 0 })
		}
		rg.note("trouble ends")
		time.Sleep(roundPause)
	}
	close(stop)
	wg.Wait()
	time.Sleep(time.Second)
	extras, rejected := 0, 0
	for _, wk := range rg.workers {
		extras, rejected = extras+wk.extras, rejected+wk.rejected
	}
	rg.note("attempts %d, rejected by workers %d, answers sent twice %d", len(all), rejected, extras)
	return checkRefused(rg, all)
}

// book sends bookings on a kept connection until stop is closed. After a refusal it tries once more, as a new attempt.
func book(rg *rig, mc *vm, stop <-chan struct{}, done func(attempt)) {
	var cc *connection
	for {
		select {
		case <-stop:
			return
		default:
		}
		for range 2 {
			if cc == nil {
				var err error
				if cc, err = dial(mc); err != nil {
					time.Sleep(100 * time.Millisecond)
					break
				}
			}
			at, open := cc.send(rg, "POST", "/book/visit", 1200, bookDeadline)
			done(at)
			if !open {
				cc.close()
				cc = nil
			}
			if at.status != 503 && at.status != 429 {
				break
			}
			time.Sleep(min(at.retryAfter, bookDeadline/3))
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkRefused returns the bookings that were answered with a status which promises that they have not run, though they have,
// and those that ran more than once.
func checkRefused(rg *rig, all []attempt) []string {
	runs := map[string][]execution{}
	for _, ex := range rg.executions() {
		runs[ex.id] = append(runs[ex.id], ex)
	}
	var broken []string
	add := func(text string) {
		rg.note("BROKEN %s", text)
		broken = append(broken, text)
	}
	for _, at := range all {
		rn := runs[at.id]
		switch at.status {
		case 408, 421, 429, 503:
			if len(rn) > 0 {
				add(fmt.Sprintf("REFUSED: %s was answered %d, and worker %s ran it", at.id, at.status, rn[0].worker))
			}
		}
		if len(rn) > 1 {
			add(fmt.Sprintf("TWICE: %s ran %d times, at workers %s and %s", at.id, len(rn), rn[0].worker, rn[1].worker))
		}
	}
	return broken
}
