//go:build review

package main

import (
	"net/http"
	"time"
)

// plainPaths are sent with and without the disruption. emptySegmentPaths begin with an empty segment, which is a path like any other
// (RFC 9110, section 4.1: absolute-path = 1*( "/" segment ), and a segment may be empty).
var (
	plainPaths        = []string{"/order/7/confirm", "/order//7?part=1"}
	emptySegmentPaths = []string{"//order/7/confirm", "//lots/9?part=1", "//order"}
)

// playEmptySegment sends bookings to a route with the prefix "/". The path that the worker runs must be the one that was sent.
func playEmptySegment(en *environment) (bool, error) {
	en.configure(func(cfg map[string]any) {
		cfg["Routes"] = append(cfg["Routes"].([]any), map[string]any{
			"Name": "all", "Host": host, "PathPrefix": "/", "Kind": "unsafe", "TimeoutS": 3, "TargetLatencyS": 0.4,
			"Priority": 1, "Service": service, "MaxAttempts": 2,
		})
	})
	wk, err := en.startWorker("i-1", 4, serveAtOnce)
	if err != nil {
		return false, err
	}
	gw, err := en.startGateway("front-hn-a-1")
	if err != nil {
		return false, err
	}
	paths := plainPaths
	if en.trouble {
		paths = append(paths, emptySegmentPaths...)
	}
	sent := map[string]string{}
	for _, path := range paths {
		id := newID()
		sent[id] = path
		en.note("client sends POST %s as %s", path, id)
		re := gw.call(requestHead(http.MethodPost, path, id, 3*time.Second)+"Content-Length: 2\r\n\r\nhi", 3*time.Second)
		en.note("client %s: %v", id, re)
	}
	broken := false
	for _, rn := range wk.all() {
		changed := rn.target != sent[rn.id]
		en.note("worker ran %s %s of %s, changed: %v", rn.method, rn.target, rn.id, changed)
		broken = broken || changed
	}
	return broken, nil
}
