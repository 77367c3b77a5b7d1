//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["5"] = playLeavers }

const (
	leaveClients = 24
	leaveWork    = 1440 * time.Millisecond
	leaveRunTime = 40 * time.Second
	leaveAfter   = 300 * time.Millisecond
	secondAfter  = 100 * time.Millisecond // between the two requests of a pair
	leaveShare   = 0.3
	leaveSlack   = 500 * time.Millisecond // how long after the close a worker may still be at work
	readDeadline = 8 * time.Second
)

// leaver records when the client of a request closed its connection.
type leaver struct {
	mu     sync.Mutex
	closed map[string]time.Time
	sent   map[string]bool
}

// playLeavers sends pairs of idempotent requests on one connection, the second before the first is answered. With the disruption,
// a share of the clients leaves early.
func playLeavers(rg *rig) []string {
	rg.configure(0, route("read", "/read/", "safe", "desk"))
	smallDeployment(rg, 24, leaveWork)
	lv := &leaver{closed: map[string]time.Time{}, sent: map[string]bool{}}
	var wg sync.WaitGroup
	end := time.Now().Add(leaveRunTime)
	for nr := range leaveClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; time.Now().Before(end); nr++ {
				lv.pair(rg, rg.vms[nr%len(rg.vms)])
			}
		}()
	}
	wg.Wait()
	time.Sleep(4 * time.Second)
	return lv.check(rg)
}

// pair sends two requests and waits for their answers, or leaves early.
func (lv *leaver) pair(rg *rig, mc *vm) {
	cc, err := dial(mc)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer cc.close()
	one, two := newID(), newID()
	rg.note("client: sends %s and %s to %s", one, two, mc.name)
	for _, id := range []string{one, two} {
		if _, err := cc.cn.Write([]byte(head("GET", "/read/"+id, id, readDeadline) + "\r\n")); err != nil {
			return
		}
		time.Sleep(secondAfter)
	}
	if rg.trouble && rand.Float64() < leaveShare {
		time.Sleep(leaveAfter)
		cc.close()
		now := time.Now()
		rg.note("client: leaves %s and %s", one, two)
		lv.mu.Lock()
		defer lv.mu.Unlock()
		lv.closed[one], lv.closed[two] = now, now
		return
	}
	_ = cc.cn.SetDeadline(time.Now().Add(readDeadline))
	for _, id := range []string{one, two} {
		at := attempt{id: id}
		if !cc.receive(&at) {
			rg.note("client: %s ends with status %d, error %v", id, at.status, at.err)
			return
		}
		rg.note("client: %s ends with status %d", id, at.status)
	}
}

// check returns the requests that reached a worker, or on which a worker still worked, too long after their client had left.
func (lv *leaver) check(rg *rig) []string {
	var late, working, lasting int
	var broken []string
	for _, ex := range rg.executions() {
		closed, left := lv.closed[ex.id]
		if !left {
			continue
		}
		limit := closed.Add(leaveSlack)
		if ex.began.After(limit) {
			late++
			text := fmt.Sprintf("GONE: %s reached worker %s %.0f ms after its client had closed the connection", ex.id, ex.worker, float64(ex.began.Sub(closed).Milliseconds()))
			rg.note("BROKEN %s", text)
			broken = append(broken, text)
			continue
		}
		if ex.began.Add(leaveWork * 85 / 100).After(limit) {
			lasting++
			if ex.ended.After(limit) {
				working++
			}
		}
	}
	rg.note("left %d requests; %d reached a worker late; workers were still at work on %d of %d that would have lasted so long",
		len(lv.closed), late, working, lasting)
	fmt.Printf("left %d requests; %d reached a worker late; workers were still at work on %d of %d\n", len(lv.closed), late, working, lasting)
	if late <= 3 {
		broken = nil // a few may reach a worker late
	}
	if working*4 > lasting {
		broken = append(broken, fmt.Sprintf("GONE: workers were still at work on %d of %d requests half a second after their clients had left", working, lasting))
	}
	return broken
}
