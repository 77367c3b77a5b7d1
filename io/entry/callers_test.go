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

// Guards against callers that stop sending in the middle of a body and hold their slots forever.
func TestStalledCaller(t *testing.T) {
	rg := newRigWith(t, func(op *entry.Options) { op.ProgressWindow = 50 * time.Millisecond }, echo)
	for _, path := range []string{"/book/1", "/open/1"} {
		rd, wr := io.Pipe()
		responses := make(chan response, 1)
		go func() { responses <- rg.call(http.MethodPost, path, rd, withTicket(rg.ticket())) }()
		io.WriteString(wr, "begin")
		rp := <-responses
		wr.Close()
		if rp.err == nil && (rp.outcome == "done" || rp.reason != "canceled") {
			t.Errorf("%s: got %v", path, rp)
		}
	}
	if err := rg.sv.Drain(context.Background()); err != nil {
		t.Error(err)
	}
}

// Guards against one caller address that uses all connections of the VM.
func TestConnectionsPerCaller(t *testing.T) {
	const maxConns = 2
	rg := newRigWith(t, func(op *entry.Options) { op.MaxConnectionsPerCaller = maxConns }, echo)
	address := strings.TrimPrefix(rg.url, "http://")
	var first net.Conn
	for nr := range maxConns + 1 {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		io.WriteString(nc, "GET /v1/lookup?route=book HTTP/1.1\r\nHost: x\r\n\r\n")
		num, err := nc.Read(make([]byte, 1))
		if served := num == 1; served != (nr < maxConns) {
			t.Errorf("connection %d: served is %v, %v", nr, served, err)
		}
		if nr == 0 {
			first = nc
		}
	}
	first.Close()
	for served := false; !served; { // until the server has detected the close
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

// Guards against forwarding a request whose ticket cannot be recorded because the table is full.
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
