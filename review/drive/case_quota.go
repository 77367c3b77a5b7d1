//go:build review

package main

import (
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// The limit of the tenant is the one that the wire examples of the site show.
	ratePerS    = 157
	burst       = 157
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// usualX and hotX are how many times its limit the tenant sends, usually and for hotTime.
	usualX      = 0.5
	hotX        = 7.0
	hotTime     = 9 * time.Second
	beforeCut   = time.Second // from the beginning of hotTime to the change of the cuts
	loadClients = 96
	perZone     = 4 // machines of a zone
	calmTime    = 6 * time.Second
	cutTime     = 8 * time.Second
)

// arrivalTimes is when a request was sent and when it reached the worker that ran it.
type arrivalTimes struct{ sent, ran time.Time }

// quotaCounter collects the requests of the tenant that ran.
type quotaCounter struct {
	hot  atomic.Bool
	mu   sync.Mutex
	sent map[string]time.Time
	ran  []arrivalTimes
}

// playTwoCoordinators cuts one machine of each zone off for a while, and then another one.
func playTwoCoordinators(en *environment) (bool, error) {
	en.configure(func(cfg map[string]any) {
		cfg["Tenants"] = []any{map[string]any{"Name": tenant, "ApiKeys": []string{key}, "RatePerS": ratePerS, "Burst": burst}}
	})
	qc := &quotaCounter{sent: map[string]time.Time{}}
	for nr := range 8 {
		if _, err := en.startWorker(fmt.Sprint("i-", nr+1), 64, qc.serve); err != nil {
			return false, err
		}
	}
	first, second, nw, err := en.startTwoZones()
	if err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for nr := range loadClients {
		gw := nw.nodes[nr%len(nw.nodes)].gw
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(qc.interval() * time.Duration(nr) / loadClients)
			qc.load(gw, stop)
		}()
	}
	en.note("the tenant sends %.1f times its limit of %d a second to all machines", usualX, ratePerS)
	time.Sleep(calmTime)
	if en.trouble {
		nw.setCut(true, first...)
		en.note("%s are cut off", names(first))
	}
	time.Sleep(cutTime - beforeCut)
	qc.hot.Store(true)
	en.note("the tenant sends %.1f times its limit", hotX)
	time.Sleep(beforeCut)
	if en.trouble {
		nw.setCut(true, second...)
		nw.setCut(false, first...)
		en.note("%s are back, %s are cut off", names(first), names(second))
	}
	time.Sleep(hotTime - beforeCut)
	qc.hot.Store(false)
	nw.setCut(false, second...)
	en.note("no machine is cut off, the tenant sends as usual")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	return qc.judge(en), nil
}

// startTwoZones starts the machines of two zones. Of each zone it returns the machines that come first and second in the order by which
// the machines choose who counts the requests of the tenant.
func (en *environment) startTwoZones() (first, second []*node, nw *network, err error) {
	var all []*gatewayProcess
	for _, zn := range []struct{ zone, region string }{{"hn-a", "north"}, {"dn-a", "central"}} {
		for nr := range perZone {
			gw := en.newGateway(fmt.Sprintf("front-%s-%d", zn.zone, nr+1))
			gw.settings["failure_domain"], gw.settings["region"] = zn.zone, zn.region
			all = append(all, gw)
		}
	}
	if nw, err = en.join(all...); err != nil {
		return nil, nil, nil, err
	}
	errs := make(chan error, len(all))
	for _, gw := range all {
		go func() { errs <- gw.start() }()
	}
	for range all { // waits for all, so that each process that was started is known at the end
		if failed := <-errs; failed != nil {
			err = failed
		}
	}
	if err != nil {
		return nil, nil, nil, err
	}
	weight := func(nd *node) uint64 { return rendezvous.Weight(rendezvous.Hash(tenant), id.VM(nd.gw.name)) }
	for nr := 0; nr < len(nw.nodes); nr += perZone {
		order := slices.Clone(nw.nodes[nr : nr+perZone])
		slices.SortFunc(order, func(aa, bb *node) int { return cmp.Compare(weight(bb), weight(aa)) })
		first, second = append(first, order[0]), append(second, order[1])
	}
	return first, second, nw, nil
}

func names(nodes []*node) []string {
	var list []string
	for _, nd := range nodes {
		list = append(list, nd.gw.name)
	}
	return list
}

func (qc *quotaCounter) serve(ss *workerSession, r *http.Request) bool {
	if ss.refuseOther(r) {
		return true
	}
	qc.mu.Lock()
	qc.ran = append(qc.ran, arrivalTimes{qc.sent[r.Header.Get("X-Attempt-Id")], time.Now()})
	qc.mu.Unlock()
	return ss.answer(r, "done")
}

// interval returns the time between two requests of a client.
func (qc *quotaCounter) interval() time.Duration {
	times := usualX
	if qc.hot.Load() {
		times = hotX
	}
	return time.Duration(float64(time.Second) * loadClients / (times * ratePerS))
}

// load sends requests over one connection after another, at the client's part of the load.
func (qc *quotaCounter) load(gw *gatewayProcess, stop <-chan struct{}) {
	cl := &http.Client{Timeout: 2500 * time.Millisecond, Transport: &http.Transport{DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}}
	for {
		select {
		case <-stop:
			return
		case <-time.After(qc.interval()):
		}
		rid := newID()
		r, err := http.NewRequest(http.MethodGet, "http://"+gw.settings["caller_address"]+"/read/x", nil)
		if err != nil {
			return
		}
		r.Host = host
		r.Header.Set("X-Attempt-Id", rid)
		r.Header.Set("X-Deadline-Ms", "2500")
		r.Header.Set("Authorization", "Bearer "+key)
		qc.mu.Lock()
		qc.sent[rid] = time.Now()
		qc.mu.Unlock()
		resp, err := cl.Do(r)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}

// judge notes how many requests ran in each second and the most in any window, and reports whether that is more than the rule allows.
func (qc *quotaCounter) judge(en *environment) bool {
	qc.mu.Lock()
	defer qc.mu.Unlock()
	slices.SortFunc(qc.ran, func(aa, bb arrivalTimes) int { return aa.ran.Compare(bb.ran) })
	bySecond := map[int]int{}
	for _, at := range qc.ran {
		bySecond[int(at.ran.Sub(en.began).Seconds())]++
	}
	for sec := range int(time.Since(en.began).Seconds()) + 1 {
		en.note("second %d: %d requests ran", sec, bySecond[sec])
	}
	most, when := 0, time.Time{}
	for last := range qc.ran {
		from := qc.ran[last].ran.Add(-quotaWindow)
		num := 0
		for nr := last; nr >= 0 && !qc.ran[nr].ran.Before(from); nr-- {
			if !qc.ran[nr].sent.Before(from) {
				num++
			}
		}
		if num > most {
			most, when = num, from
		}
	}
	allowed := (ratePerS*quotaWindow.Seconds()+burst)*(1+quotaOver) + quotaSlack
	en.note("at most %d requests ran in %v, from %.3f s on; %.1f are allowed", most, quotaWindow, when.Sub(en.began).Seconds(), allowed)
	return float64(most) > allowed
}
