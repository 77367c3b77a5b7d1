package entry_test

import (
	"bufio"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"damasklatch/core/id"
)

// Guards against forwarding or logging the caller's key, in whatever part of the request it occurs.
func TestKeyIsNotForwarded(t *testing.T) {
	var mu sync.Mutex
	var seen strings.Builder
	rg := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		src, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&seen, "%s %s %v %s %v\n", r.Method, r.RequestURI, r.Header, src, r.Trailer)
	})
	escaped := "%64%6ck" + key[3:]
	rp := rg.call(http.MethodPost, "/book/1?a=1&token="+key+"&t="+escaped+"&"+key+"=x&bad=%zz"+escaped+"&b=2", strings.NewReader("text"),
		withTicket(rg.ticket()), func(r *http.Request) {
			hd := r.Header
			hd.Set("X-Api-Key", key)
			hd.Set("Cookie", "a=b; session="+key)
			hd.Set("Referer", "http://x/?k="+escaped)
			hd.Set("Proxy-Authorization", "Bearer "+key)
			hd["X-Many"] = []string{"kept", key, strings.ToUpper(key[:4]) + key[4:]}
			hd.Set("Connection", "X-Hop")
			hd.Set("X-Hop", "1")
			hd.Set("Team", "garage")
			hd.Set("Request-Id", "forged")
			hd.Set("Te", "trailers")
			r.ContentLength = -1
			r.Trailer = http.Header{"X-Signed-With": {key}, "X-Sum": {"42"}, "Authorization": {"Bearer " + key}}
		})
	rg.want("request", rp, 200, "done", "")
	rg.want("key in the path", rg.call(http.MethodGet, "/open/"+key, nil), 400, "not_run", "bad_request")
	rg.want("key on an open route", rg.call(http.MethodGet, "/open/1", nil, withKey("custom-secret"), func(r *http.Request) {
		r.Header.Set("X-Copy", "custom-secret")
	}), 200, "done", "")
	rg.want("other credentials", rg.call(http.MethodGet, "/open/1", nil, func(r *http.Request) {
		r.Header.Set("Authorization", "Basic c2VjcmV0")
	}), 200, "done", "")
	all := seen.String() + rg.logs.String() + fmt.Sprint(rg.recorder.Events(nil))
	for _, text := range []string{key[4:], "custom-secret", "c2VjcmV0", "X-Hop", "forged", "garage", "Te:"} {
		if strings.Contains(all, text) {
			t.Errorf("%q was forwarded or logged:\n%s", text, all)
		}
	}
	for _, text := range []string{"a=1&b=2", "X-Many:[kept]", "X-Sum:[42]", "Team:[salon]", "text", "Via:[1.1 damasklatch]"} {
		if !strings.Contains(all, text) {
			t.Errorf("%q is missing:\n%s", text, all)
		}
	}
}

// Guards against buffering bodies instead of streaming them. The caller sends each part of the upload only after the
// target has read the previous part, and the target sends each part of the response only after the caller has read the
// previous part.
func TestUploadIsStreamed(t *testing.T) {
	const parts, partSize = 50, 1 << 20
	taken, received := make(chan struct{}), make(chan struct{})
	sum := make(chan string, 1)
	rg := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).EnableFullDuplex()
		hs := sha256.New()
		for range parts {
			if _, err := io.CopyN(hs, r.Body, partSize); err != nil {
				t.Errorf("upload: %v", err)
				return
			}
			taken <- struct{}{}
		}
		io.Copy(io.Discard, r.Body)
		sum <- base64.StdEncoding.EncodeToString(hs.Sum(nil))
		for range 3 {
			fmt.Fprintln(w, "part")
			http.NewResponseController(w).Flush()
			<-received
		}
	})
	rd, wr := io.Pipe()
	want := sha256.New()
	go func() {
		buf := make([]byte, partSize)
		for range parts {
			rand.Read(buf)
			want.Write(buf)
			wr.Write(buf)
			<-taken
		}
		wr.Close()
	}()
	req, err := http.NewRequest(http.MethodPost, rg.url+"/book/upload", rd)
	if err != nil {
		t.Fatal(err)
	}
	withKey(key)(req)
	withTicket(rg.ticket())(req)
	resp, err := rg.client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	br := bufio.NewReader(resp.Body)
	for range 3 {
		if line, err := br.ReadString('\n'); line != "part\n" {
			t.Fatalf("got %q, %v", line, err)
		}
		received <- struct{}{}
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("end of the response: %v", err)
	}
	if got := <-sum; got != base64.StdEncoding.EncodeToString(want.Sum(nil)) {
		t.Error("the target received a different body")
	}
}

// Guards against accepting a body larger than the limit of the route, with or without a declared size.
func TestBodyLimit(t *testing.T) {
	rg := newRig(t, echo)
	tk := rg.ticket()
	rp := rg.call(http.MethodPost, "/hasty/1", io.MultiReader(body(200)), withTicket(tk))
	rg.want("undeclared", rp, 413, "unknown", "body_too_large")
	rg.want("duplicate", rg.call(http.MethodPost, "/hasty/1", nil, withTicket(tk)), 413, "unknown", "body_too_large")
	rg.want("declared, idempotent", rg.call(http.MethodPost, "/open/1", body(2<<20), func(r *http.Request) { r.ContentLength = 2 << 20 }),
		413, "not_run", "body_too_large")
}

// Guards against a shutdown that interrupts a long upload, or that gives a duplicate another outcome than the first
// refusal.
func TestDrain(t *testing.T) {
	entered := make(chan struct{})
	rg := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		echo(w, r)
	})
	rd, wr := io.Pipe()
	first := make(chan response, 1)
	go func() { first <- rg.call(http.MethodPost, "/book/1", rd, withTicket(rg.ticket())) }()
	fmt.Fprint(wr, "begin ")
	<-entered
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if err := rg.sv.Drain(ended); err == nil {
		t.Error("Drain does not wait for an upload in progress")
	}
	drained := make(chan error, 1)
	go func() { drained <- rg.sv.Drain(context.Background()) }()
	tk := rg.ticket()
	rg.want("new request", rg.post("/book/2", withTicket(tk)), 503, "not_run", "leaving")
	rg.want("duplicate", rg.post("/book/2", withTicket(tk)), 503, "not_run", "leaving")
	fmt.Fprint(wr, "end")
	wr.Close()
	rp := <-first
	rg.want("upload", rp, 200, "done", "")
	if !strings.HasSuffix(rp.body, " begin end") {
		t.Errorf("got %q", rp.body)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// Guards against sending a response to the wrong caller when targets respond late or not at all.
func TestResponsesAreNotCrossed(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	num := 0
	silent := func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		num++
		late := num%3 == 0
		mu.Unlock()
		if late {
			select {
			case <-r.Context().Done():
			case <-release:
			}
		}
		echo(w, r)
	}
	rg := newRig(t, silent, echo, echo, echo)
	var wg sync.WaitGroup
	for nr := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			path := fmt.Sprint("/read/", nr)
			rp := rg.call(http.MethodGet, path, nil)
			if rp.outcome == "done" && !strings.Contains(rp.body, " "+path+" ") || rp.err != nil || rp.outcome == "" {
				t.Errorf("%s got %v %q", path, rp, rp.body)
			}
		}()
	}
	wg.Wait()
	close(release)
}

// Guards against an idempotent request that is not retried when its target accepts the connection but never responds.
func TestSilentConnection(t *testing.T) {
	ls, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	if err != nil {
		t.Fatal(err)
	}
	defer ls.Close()
	rg := newRig(t, echo, echo)
	rg.cfg.Sites[0].Targets[0].Address = ls.Addr().String()
	rg.pool.SetTargets(time.Now(), rg.cfg.Sites)
	for nr := range 10 {
		rg.want(fmt.Sprint("request ", nr), rg.call(http.MethodGet, "/read/1", nil), 200, "done", "")
	}
}

// Guards against a lookup response whose entries have no ticket, or a ticket that is not for the VM of the entry.
func TestLookup(t *testing.T) {
	rg := newRig(t, echo)
	rp := rg.call(http.MethodGet, "/v1/lookup?route=book&client=127.0.0.9", nil)
	if rp.status != 200 || !strings.HasPrefix(rp.body, `{"generation":3,"ttl_ms":3000,"entries":[{"vm":"north-a-1","address":"127.0.0.1:1","failure_domain":"north-a","ticket":"v1.`) {
		t.Fatalf("got %v %s", rp, rp.body)
	}
	_, tk, _ := strings.Cut(rp.body, `"ticket":"`)
	tk, _, _ = strings.Cut(tk, `"`)
	if got, err := rg.signer.Parse(tk); err != nil || got.Process != self || got.HomeSite != id.Site("north-a") {
		t.Errorf("ticket %v, %v", got, err)
	}
	rg.want("ticket of the lookup", rg.post("/book/1", withTicket(tk)), 200, "done", "")
	for path, status := range map[string]int{
		"/v1/lookup?route=none": 404, "/v1/lookup": 404, "/v1/lookup?route=book&client=x": 400, "/v1/lookup?route=read": 200,
	} {
		if rp := rg.call(http.MethodGet, path, nil); rp.status != status {
			t.Errorf("%s: got %v, want %d", path, rp, status)
		}
	}
}

// Guards against a request that goes on at its target after its caller has sent a further request and left, and against a request
// that is served although it stands behind one whose end is ambiguous.
func TestPipelinedRequests(t *testing.T) {
	canceled := make(chan struct{}, 1)
	rg := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body) // the server notices a closed connection only after the body was read
		if r.URL.Path == "/book/slow" {
			select {
			case <-r.Context().Done():
				canceled <- struct{}{}
			case <-time.After(3 * time.Second):
			}
		}
	})
	dial := func() net.Conn {
		cn, err := net.Dial("tcp", strings.TrimPrefix(rg.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { cn.Close() })
		return cn
	}
	request := func(path, fields string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" }
	t.Run("caller leaves", func(t *testing.T) {
		cn := dial()
		fmt.Fprintf(cn, "POST /book/slow HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nDamasklatch-Ticket: %s\r\n\r\n", key, rg.ticket())
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(cn, request("/open/1", ""))
		time.Sleep(50 * time.Millisecond)
		cn.Close()
		select {
		case <-canceled:
		case <-time.After(2 * time.Second):
			t.Error("the request goes on at the target")
		}
	})
	t.Run("ambiguous request", func(t *testing.T) {
		cn := dial()
		fmt.Fprint(cn, request("/open/1", "")+request("/open/2", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n")+"0\r\n\r\n"+request("/open/3", ""))
		rd := bufio.NewReader(cn)
		for _, want := range []int{200, 400} {
			resp, err := http.ReadResponse(rd, nil)
			if err != nil {
				t.Fatal(err)
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != want {
				t.Errorf("got status %d, want %d", resp.StatusCode, want)
			}
		}
		if _, err := rd.ReadByte(); err == nil {
			t.Error("the connection was not closed")
		}
	})
}
