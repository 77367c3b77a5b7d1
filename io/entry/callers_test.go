package entry_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/io/entry"
)

// Guards against callers that stop sending in the middle of a body and keep their slots for ever.
func TestStalledCaller(t *testing.T) {
	rg := newRigWith(t, func(op *entry.Options) { op.ProgressWindow = 50 * time.Millisecond }, echo)
	for _, path := range []string{"/book/1", "/open/1"} {
		rd, wr := io.Pipe()
		replies := make(chan reply, 1)
		go func() { replies <- rg.call(http.MethodPost, path, rd, withTicket(rg.ticket())) }()
		io.WriteString(wr, "begin")
		rp := <-replies
		wr.Close()
		if rp.err == nil && (rp.outcome == "done" || rp.reason != "canceled") {
			t.Errorf("%s: got %v", path, rp)
		}
	}
	if err := rg.sv.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against a caller address that takes all connections of the VM.
func TestConnectionsPerCaller(t *testing.T) {
	const most = 2
	rg := newRigWith(t, func(op *entry.Options) { op.MaxConnectionsPerCaller = most }, echo)
	address := strings.TrimPrefix(rg.url, "http://")
	var first net.Conn
	for nr := range most + 1 {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /v1/lookup?route=book HTTP/1.1\r\nHost: x\r\n\r\n")
		num, err := nc.Read(make([]byte, 1))
		if served := num == 1; served != (nr < most) {
			t.Errorf("connection %d: served is %v, %v", nr, served, err)
		}
		if nr == 0 {
			first = nc
		}
	}
	first.Close()
	for served := false; !served; { // until the server has noticed the close
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(nc, "GET /v1/lookup?route=book HTTP/1.1\r\nHost: x\r\n\r\n")
		num, _ := nc.Read(make([]byte, 1))
		served = num == 1
		nc.Close()
	}
}

// Guards against a full table that lets work run without taking note of its ticket.
func TestFullTable(t *testing.T) {
	rg := newRigWith(t, func(op *entry.Options) { op.Table = dedup.NewTable(self, 1) }, echo)
	tk := rg.ticket()
	rg.want("first", rg.post("/book/1", withTicket(tk)), 200, "done", "")
	rg.want("second", rg.post("/book/1", withTicket(rg.ticket())), 503, "unknown", "table_full")
	rg.want("duplicate of the first", rg.post("/book/1", withTicket(tk)), 200, "done", "")
	if rg.ran() != 1 {
		t.Errorf("%d requests reached a target", rg.ran())
	}
}
