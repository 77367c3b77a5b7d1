package entry_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/core/id"
	"damasklatch/core/lookup"
	"damasklatch/io/entry"
)

func benchServer() *entry.Server {
	cfg := testConfig()
	cfg.Sites[0].Targets = append(cfg.Sites[0].Targets, testTarget())
	sv := entry.New(entry.Options{
		Self: self, FailureDomain: "north-a", Signer: dedup.NewSigner([]byte("fleet")), Table: dedup.NewTable(self, 1),
	})
	var vms []lookup.VM
	for _, vm := range []id.VM{"north-a-1", "north-a-2", "south-a-1", "south-a-2"} {
		fd := id.FailureDomain(vm[:7])
		vms = append(vms, lookup.VM{
			ID: id.VMIncarnation{VM: vm, Incarnation: id.Incarnation(time.Now().UnixNano())}, FailureDomain: fd,
			CallerAddress: "127.0.0.1:7101", FreeSlots: map[id.Pool]int{"desk": 3},
		})
	}
	sv.SetState(&entry.State{Config: cfg, Lookup: lookup.New(cfg), View: lookup.NewView(vms), Ready: true})
	return sv
}

// BenchmarkLookupHTTP measures lookups over HTTP on open connections. It includes the cost of the callers. The
// requirement is 20,000 lookups per second and core, which is at most 50 µs per lookup with -cpu 1.
func BenchmarkLookupHTTP(b *testing.B) {
	ts := httptest.NewServer(benchServer().Handler())
	defer ts.Close()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		cl := &http.Client{Transport: &http.Transport{}}
		defer cl.CloseIdleConnections()
		for pb.Next() {
			resp, err := cl.Get(ts.URL + "/v1/lookup?route=book&client=127.0.0.9")
			if err != nil {
				b.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatal(resp.Status)
			}
		}
	})
}

// BenchmarkLookup measures the handler without a network.
func BenchmarkLookup(b *testing.B) {
	hd := benchServer().Handler()
	r := httptest.NewRequest(http.MethodGet, "/v1/lookup?route=book&client=127.0.0.9", nil)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		hd.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code)
		}
	}
}

// BenchmarkRequest measures an idempotent request to a target, both through the server and directly.
func BenchmarkRequest(b *testing.B) {
	rg := newRig(b, echo)
	for name, url := range map[string]string{"entry": rg.url, "direct": "http://" + rg.cfg.Sites[0].Targets[0].Address} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest(http.MethodGet, url+"/read/1", nil)
				withKey(key)(req)
				resp, err := rg.client.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					b.Fatal(resp.Status)
				}
			}
		})
	}
}
