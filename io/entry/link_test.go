package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
	"damasklatch/io/entry"
	"damasklatch/io/inbound"
	"damasklatch/io/target"
)

// linkRate is the capacity of each link in bytes per second. linkBurst is the capacity of 100 ms in bytes.
const (
	linkRate  = 100_000
	linkBurst = linkRate / 10
)

// meter is a token bucket that checks the bytes on a link against linkRate and linkBurst.
type meter struct {
	mu     sync.Mutex
	last   time.Time
	budget float64
	total  int
	over   bool
}

func (mt *meter) count(num int) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	now := time.Now()
	mt.budget = min(linkBurst, mt.budget+linkRate*now.Sub(mt.last).Seconds())
	mt.last = now
	mt.budget -= float64(num)
	mt.total += num
	mt.over = mt.over || mt.budget < -1e-3
}

// linkRig calls the handler of a server without a network, so that it can run in a synctest bubble with a fake clock.
type linkRig struct {
	*rig
	up, down       meter
	responseSuffix string
}

// addLinks adds links between the two regions with the rate in bytes per second.
func addLinks(cfg *config.Effective, rate unit.BitsPerSecond) {
	for _, ends := range [][2]id.Region{{"north", "south"}, {"south", "north"}} {
		cfg.Links = append(cfg.Links, config.Link{From: ends[0], To: ends[1], Capacity: rate * 8})
	}
	cfg.Regions[0].ShiftCap = max(cfg.Regions[0].ShiftCap, 1000*unit.MilliPerSecond(unit.One))
}

// linkLedger returns the ledger of a VM that owns all limits, with full buckets. It owns the fraction ppm of the links.
func linkLedger(cfg *config.Effective, ppm unit.PPM) *limit.Ledger {
	lg := limit.New(self, limit.Settings{})
	past := time.Now().Add(-time.Hour)
	lg.SetSpecs(past, limit.Specs(cfg, "north-a"))
	lg.SetOwned(past, limit.OwnedFractions{
		PPM: unit.Whole, FailureDomainPPM: unit.Whole, RegionPPM: unit.Whole, Regions: map[id.Region]unit.PPM{"north": ppm},
	})
	return lg
}

// newLinkRig returns a linkRig whose server is in the region north and owns the fraction ppm of the links.
func newLinkRig(t *testing.T, ppm unit.PPM) *linkRig {
	return newLinkRigWith(t, ppm, func(*entry.Options) {})
}

// newLinkRigWith is like newLinkRig, but change modifies the options of the server.
func newLinkRigWith(t *testing.T, ppm unit.PPM, change func(*entry.Options)) *linkRig {
	lr := &linkRig{rig: &rig{t: t, signer: dedup.NewSigner([]byte("fleet")), cfg: testConfig()}}
	addLinks(lr.cfg, linkRate)
	lr.cfg.Sites[0].Targets = []config.Target{testTarget()}
	start := time.Now()
	lg := linkLedger(lr.cfg, ppm)
	lr.up.budget, lr.down.budget, lr.up.last, lr.down.last = linkBurst, linkBurst, time.Now(), time.Now()
	op := entry.Options{
		Self: self, FailureDomain: "north-a", Signer: lr.signer, Table: dedup.NewTable(self, 100), Limits: lg, Targets: lr,
	}
	change(&op)
	lr.sv = entry.New(op)
	lr.state = entry.State{Config: lr.cfg, Ring: keyring.New(lr.cfg.Keys), Ready: true, KeysFreshUntil: start.Add(time.Hour)}
	lr.set(func(*entry.State) {})
	return lr
}

// Do implements entry.Targets. It responds with the request body followed by responseSuffix.
func (lr *linkRig) Do(_ context.Context, rq *target.Request) (*target.Response, error) {
	var got bytes.Buffer
	if rq.Body != nil {
		buf := make([]byte, 50_000)
		for {
			num, err := rq.Body.Read(buf)
			got.Write(buf[:num])
			if rq.Header.Get("At-Home") == "" && rq.Rewind == nil {
				lr.up.count(num)
			}
			if err == io.EOF {
				break
			}
			if err != nil {
				return nil, &target.Error{Kind: target.Canceled, MayHaveRun: true, Cause: err}
			}
		}
	}
	got.WriteString(lr.responseSuffix)
	return &target.Response{Status: http.StatusOK, ContentLength: int64(got.Len()), Body: io.NopCloser(&got)}, nil
}

// linkWriter is the response writer of a caller. It counts the bytes on the link, if mt is not nil.
type linkWriter struct {
	*httptest.ResponseRecorder
	mt *meter
}

func (lw *linkWriter) Write(src []byte) (int, error) {
	if lw.mt != nil {
		lw.mt.count(len(src))
	}
	return lw.ResponseRecorder.Write(src)
}
func (lw *linkWriter) SetReadDeadline(time.Time) error  { return nil }
func (lw *linkWriter) SetWriteDeadline(time.Time) error { return nil }
func (lw *linkWriter) EnableFullDuplex() error          { return nil }

// do sends a request of a caller whose home site is the given one. The number nr identifies the ticket.
func (lr *linkRig) do(path, body string, home id.Site, nr int) *linkWriter {
	// Like the body of a request that net/http has received, the body returns io.EOF together with the last bytes.
	r := httptest.NewRequest(http.MethodPost, path, iotest.DataErrReader(strings.NewReader(body)))
	r.ContentLength = int64(len(body))
	withKey(key)(r)
	lw := &linkWriter{ResponseRecorder: httptest.NewRecorder()}
	if home == "south-a" {
		lw.mt = &lr.down
	} else {
		r.Header.Set("At-Home", "yes")
	}
	withTicket(lr.ticket(func(tk *dedup.Ticket) { tk.HomeSite, tk.Request = home, id.Request(fmt.Sprintf("%032x", nr)) }))(r)
	lr.sv.Handler().ServeHTTP(lw, r)
	return lw
}

// Guards against exceeding the capacity of a link, against transfers that fail or lose bytes on a busy link, and against
// transfers that get less than an equal share of the link.
func TestTransfersShareLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLinkRig(t, unit.Whole)
		lr.responseSuffix = strings.Repeat("r", 50_000)
		start := time.Now()
		const uploads, size = 4, 150_000
		var wg sync.WaitGroup
		var mu sync.Mutex
		var ends []time.Duration
		for nr := range uploads {
			wg.Go(func() {
				body := strings.Repeat(string(rune('a'+nr)), size)
				lw := lr.do("/book/1", body, "south-a", nr)
				if lw.Code != 200 || lw.Body.String() != body+lr.responseSuffix {
					t.Errorf("upload %d: status %d with %d bytes", nr, lw.Code, lw.Body.Len())
				}
				mu.Lock()
				defer mu.Unlock()
				ends = append(ends, time.Since(start))
			})
		}
		wg.Wait()
		if lr.up.over || lr.down.over {
			t.Error("in some time t, more than rate*t + burst bytes crossed the link")
		}
		if lr.up.total != uploads*size || lr.down.total != uploads*(size+len(lr.responseSuffix)) {
			t.Errorf("%d bytes up and %d down", lr.up.total, lr.down.total)
		}
		// 600 kB up and 800 kB down at 100 kB/s take 14 s. Transfers of equal size that take turns end at about the same
		// time.
		if first, last := ends[0], ends[uploads-1]; last > 15*time.Second || first < last/2 {
			t.Errorf("the uploads took %v", ends)
		}
	})
}

// Guards against a VM that owns no fraction of a link but serves callers of another region, or that refuses callers of
// its own region.
func TestLinkFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLinkRig(t, 0)
		for nr, path := range []string{"/book/1", "/read/1"} {
			start := time.Now()
			lw := lr.do(path, "order", "south-a", nr)
			if lw.Code != 503 || lw.Header().Get("Damasklatch-Reason") != "link_full" || lw.Header().Get("Damasklatch-Outcome") != "not_run" {
				t.Errorf("%s: status %d, %v", path, lw.Code, lw.Header())
			}
			if waited := time.Since(start); waited > 100*time.Millisecond {
				t.Errorf("%s: refused after %v", path, waited)
			}
			if lw = lr.do(path, "order", "north-a", 10+nr); lw.Code != 200 {
				t.Errorf("%s, caller of the same region: status %d", path, lw.Code)
			}
		}
	})
}

// Guards against a link wait for callers of the same region, and against a duplicate that runs the request again,
// exceeds the link capacity or gets no response.
func TestLinkUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLinkRig(t, unit.Whole)
		start := time.Now()
		if lw := lr.do("/book/1", strings.Repeat("x", 900_000), "north-a", 1); lw.Code != 200 || time.Since(start) != 0 {
			t.Errorf("caller of the same region: status %d after %v", lw.Code, time.Since(start))
		}
		lr.responseSuffix = strings.Repeat("r", 50_000)
		for nr := range 3 {
			lw := lr.do("/book/2", "order", "south-a", 2)
			if lw.Code != 200 || lw.Body.String() != "order"+lr.responseSuffix {
				t.Errorf("request %d: status %d with %d bytes", nr, lw.Code, lw.Body.Len())
			}
		}
		if lr.up.total != len("order") || lr.down.total != 3*(50_000+len("order")) || lr.down.over {
			t.Errorf("%d bytes up, %d down, over the limit: %v", lr.up.total, lr.down.total, lr.down.over)
		}
	})
}

// Guards against a region that serves more requests of other regions than its shift cap, and against applying the cap to
// callers of the same region.
func TestShiftCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lr := newLinkRig(t, unit.Whole)
		const shiftCap = 5 // per second; the burst is one request for each VM of the region
		lr.cfg.Regions[0].ShiftCap = shiftCap * unit.MilliPerSecond(unit.One)
		lg := linkLedger(lr.cfg, unit.Whole)
		lr.sv = entry.New(entry.Options{
			Self: self, FailureDomain: "north-a", Signer: lr.signer, Table: dedup.NewTable(self, 1000), Limits: lg, Targets: lr,
		})
		lr.set(func(*entry.State) {})
		start, seen := time.Now(), map[string]int{}
		for nr := 0; time.Since(start) < 2*time.Second; nr++ {
			for _, home := range []id.Site{"south-a", "north-a"} {
				lw := lr.do("/book/1", "order", home, 2*nr+int(home[0]&1))
				seen[fmt.Sprint(home, " ", lw.Code, " ", lw.Header().Get("Damasklatch-Outcome"), " ", lw.Header().Get("Damasklatch-Reason"))]++
			}
			time.Sleep(10 * time.Millisecond)
		}
		served, refused := seen["south-a 200 done "], seen["south-a 503 not_run shift_cap"]
		if served < 2*shiftCap || served > 2*shiftCap+1 || served+refused != 200 || seen["north-a 200 done "] != 200 {
			t.Errorf("got %v", seen)
		}
	})
}

// Guards against treating the wait for a link as a caller that has stopped sending or reading. A caller must send 4 KiB
// within a progress window, but at the rate of this link they take two windows.
func TestLinkWaitIsNotStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := testConfig()
		addLinks(slow, 10_000)
		slow.Sites[0].Targets = []config.Target{testTarget()}
		lr := newLinkRigWith(t, unit.Whole, func(op *entry.Options) {
			op.ProgressWindow, op.Limits = 200*time.Millisecond, linkLedger(slow, unit.Whole)
		})
		lr.servePipes()
		body := strings.Repeat("0123456789", 600)
		for nr, path := range []string{"/book/1", "/read/1"} {
			began := time.Now()
			tk := lr.ticket(func(tk *dedup.Ticket) { tk.HomeSite, tk.Request = "south-a", id.Request(fmt.Sprintf("%032x", nr)) })
			rp := lr.call(http.MethodPost, path, strings.NewReader(body), withTicket(tk))
			lr.want(path, rp, 200, "done", "")
			if rp.body != body {
				t.Errorf("%s: response has %d bytes", path, len(rp.body))
			}
			if took := time.Since(began); took < 800*time.Millisecond {
				t.Errorf("%s: the bodies waited for the link for %s only", path, took)
			}
		}
	})
}

// servePipes serves the server of the rig on connections within the process, whose deadlines use the fake clock.
func (lr *linkRig) servePipes() {
	ln := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	hs := lr.sv.HTTPServer()
	sr := &pipeServer{hs, ln, make(chan struct{})}
	go sr.run()
	tr := &http.Transport{DisableCompression: true, DialContext: ln.dial}
	lr.client, lr.url = &http.Client{Transport: tr}, "http://vm"
	lr.t.Cleanup(func() {
		tr.CloseIdleConnections()
		hs.Close()
		<-sr.ended
	})
}

// pipeServer is a server that runs until it is closed.
type pipeServer struct {
	*http.Server
	ln    net.Listener
	ended chan struct{}
}

func (sr *pipeServer) run() {
	defer close(sr.ended)
	_ = sr.Serve(inbound.NewListener(sr.ln))
}

// pipeListener is a listener for connections within the process.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (pl *pipeListener) dial(context.Context, string, string) (net.Conn, error) {
	caller, server := net.Pipe()
	select {
	case pl.conns <- server:
		return caller, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (pl *pipeListener) Accept() (net.Conn, error) {
	select {
	case cn := <-pl.conns:
		return cn, nil
	case <-pl.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (pl *pipeListener) Close() error {
	pl.once.Do(func() { close(pl.closed) })
	return nil
}

// Addr implements net.Listener.
func (pl *pipeListener) Addr() net.Addr { return new(net.TCPAddr) }
