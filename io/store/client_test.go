package store_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	// longTimeout is for calls that should succeed. shortTimeout is for calls that get no response, which would
	// slow the tests down with a longer timeout.
	longTimeout  = 20 * time.Second
	shortTimeout = 200 * time.Millisecond
)

// kindOf returns the kind of a store error, or "" for any other error and for nil.
func kindOf(err error) store.Kind {
	var er *store.Error
	if errors.As(err, &er) {
		return er.Kind
	}
	return ""
}

func start(t *testing.T) *platform.Server {
	t.Helper()
	sv, err := platform.Start(platform.Options{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(sv.Close)
	return sv
}

func newClient(t *testing.T, address string, timeout time.Duration) *store.Client {
	t.Helper()
	cl := store.NewClient(store.Options{
		Address: netip.MustParseAddrPort(address), LocalAddress: netip.MustParseAddr("127.0.0.1"), Timeout: timeout,
	})
	t.Cleanup(cl.Close)
	return cl
}

// Guards against a client and a server that implement the protocol of section 12 of docs/design.md differently.
func TestCalls(t *testing.T) {
	ctx := t.Context()
	sv := start(t)
	cl := newClient(t, sv.Address(), longTimeout)
	Convey("Given an object", t, func() {
		_, err := cl.Get(ctx, "a/b")
		So(kindOf(err), ShouldEqual, store.NotFound)
		first, err := cl.Put(ctx, "a/b", nil, 0)
		So(err, ShouldBeNil)
		second, err := cl.Put(ctx, "a/b", []byte("2"), first)
		So(err, ShouldBeNil)

		obj, err := cl.Get(ctx, "a/b")
		So(err, ShouldBeNil)
		So(obj, ShouldResemble, store.Object{Key: "a/b", Version: second, Value: []byte("2")})
		_, err = cl.Put(ctx, "a/b", nil, 0)
		So(err, ShouldResemble, &store.Error{Kind: store.Conflict, Op: "put", Key: "a/b", Version: second})
		infos, revision, err := cl.List(ctx, "a/")
		So(err, ShouldBeNil)
		So(infos, ShouldResemble, []store.Info{{Key: "a/b", Version: second, Size: 1}})
		So(revision, ShouldEqual, second)
		changes, revision, err := cl.Watch(ctx, "a/", first, longTimeout)
		So(err, ShouldBeNil)
		So(changes, ShouldResemble, []store.Change{{Key: "a/b", Version: second}})
		So(revision, ShouldEqual, second)
		changes, _, err = cl.Watch(ctx, "a/", second, time.Millisecond)
		So(err, ShouldBeNil)
		So(changes, ShouldBeEmpty)
		So(kindOf(cl.Delete(ctx, "a/b", first)), ShouldEqual, store.Conflict)
		So(cl.Delete(ctx, "a/b", second), ShouldBeNil)
		So(kindOf(cl.Delete(ctx, "a/b", second)), ShouldEqual, store.NotFound)

		largest := make([]byte, store.MaxObjectBytes)
		_, err = cl.Put(ctx, "large", largest, 0)
		So(err, ShouldBeNil)
		obj, err = cl.Get(ctx, "large")
		So(err, ShouldBeNil)
		So(obj.Value, ShouldHaveLength, len(largest))
		_, err = cl.Put(ctx, "larger", append(largest, 0), 0)
		So(kindOf(err), ShouldEqual, store.TooLarge)
		_, err = cl.Get(ctx, "a/../b")
		So(kindOf(err), ShouldEqual, store.Invalid)

		rec := store.VMRecord{
			VM: "v", FailureDomain: "f", PeerAddress: "127.0.0.1:1", CallerAddress: "[::1]:2", State: store.VMLive,
		}
		sv.Store().VMList().Set(rec)
		recs, err := cl.VMs(ctx)
		So(err, ShouldBeNil)
		So(recs, ShouldResemble, []store.VMRecord{rec})
	})
}

// Guards against errors of the wrong kind: a write that may have taken effect must never be reported as one without
// effect, and only a response or a refused connection proves that the store was reached.
func TestFaults(t *testing.T) {
	const hour = 3_600_000
	cases := []struct {
		name   string
		fault  platform.FaultRequest
		read   store.Kind
		write  store.Kind
		effect bool
	}{
		{"refused", platform.FaultRequest{Refuse: true}, store.Unavailable, store.Unavailable, false},
		{"down", platform.FaultRequest{Down: true}, store.Unavailable, store.Unavailable, false},
		{"silent", platform.FaultRequest{Silent: true}, store.Timeout, store.Unknown, false},
		{"connections closed", platform.FaultRequest{Silent: true, Reset: true}, store.Timeout, store.Unknown, false},
		{"slow", platform.FaultRequest{DelayAfterMS: hour}, store.Timeout, store.Unknown, true},
		{"request lost", platform.FaultRequest{LoseRequests: 1, Reset: true}, "", store.Unknown, false},
		{"response lost", platform.FaultRequest{LoseAnswers: 1}, "", store.Unknown, true},
		{"response lost, connection closed", platform.FaultRequest{LoseAnswers: 1, Reset: true}, "", store.Unknown, true},
		{"one client cut off", platform.FaultRequest{Clients: []string{"127.0.0.1"}, Silent: true},
			store.Timeout, store.Unknown, false},
	}
	for _, tc := range cases {
		Convey(tc.name, t, func() {
			ctx := t.Context()
			sv := start(t)
			timeout := shortTimeout
			if tc.read == "" {
				timeout = longTimeout
			}
			steady := newClient(t, sv.Address(), longTimeout)
			first, err := steady.Put(ctx, "a", []byte("1"), 0)
			So(err, ShouldBeNil)
			So(sv.SetFault(tc.fault), ShouldBeNil)

			_, err = newClient(t, sv.Address(), timeout).Get(ctx, "a")
			So(kindOf(err), ShouldEqual, tc.read)
			_, _, err = newClient(t, sv.Address(), timeout).List(ctx, "a")
			So(kindOf(err), ShouldEqual, tc.read)
			_, err = newClient(t, sv.Address(), shortTimeout).Put(ctx, "a", []byte("2"), first)
			So(kindOf(err), ShouldEqual, tc.write)

			end := platform.FaultRequest{Clients: tc.fault.Clients}
			So(sv.SetFault(end), ShouldBeNil)
			obj, err := steady.Get(ctx, "a")
			So(err, ShouldBeNil)
			So(string(obj.Value) == "2", ShouldEqual, tc.effect)
		})
	}
	Convey("too many calls", t, func() {
		sv := start(t)
		sv.Store().SetLimits(platform.Limits{ReadsPerSecond: 1, WritesPerSecond: 1})
		cl := newClient(t, sv.Address(), longTimeout)
		var err error
		for range 100 {
			if _, err = cl.VMs(t.Context()); err != nil {
				break
			}
		}
		So(kindOf(err), ShouldEqual, store.RateLimited)
	})
	Convey("stale reads and a watch that skips changes", t, func() {
		sv := start(t)
		cl := newClient(t, sv.Address(), longTimeout)
		first, err := cl.Put(t.Context(), "a", []byte("1"), 0)
		So(err, ShouldBeNil)
		So(sv.SetFault(platform.FaultRequest{StaleByMS: 60_000, Watch: platform.WatchEmpty}), ShouldBeNil)
		_, err = cl.Get(t.Context(), "a")
		So(kindOf(err), ShouldEqual, store.NotFound)
		_, err = cl.Put(t.Context(), "a", []byte("2"), first)
		So(err, ShouldBeNil)
		changes, _, err := cl.Watch(t.Context(), "a", first, time.Millisecond)
		So(err, ShouldBeNil)
		So(changes, ShouldBeEmpty)
	})
}

// Guards against a client that keeps using dead connections: pending calls must end, and the next call must use a new
// connection although several idle connections are open.
func TestSilentConnections(t *testing.T) {
	Convey("Given a client with a waiting watch and idle connections", t, func() {
		ctx := t.Context()
		sv := start(t)
		cl := newClient(t, sv.Address(), time.Second)
		wa := &pendingWatch{wait: 3 * time.Second, done: make(chan struct{})}
		go wa.run(ctx, cl)
		openConnections(ctx, sv, cl, 4)
		So(sv.SetFault(platform.FaultRequest{FreezeConnections: true}), ShouldBeNil)

		Convey("one call fails, the next one succeeds, and the watch ends", func() {
			_, err := cl.VMs(ctx)
			So(kindOf(err), ShouldEqual, store.Timeout)
			_, err = cl.VMs(ctx)
			So(err, ShouldBeNil)
			<-wa.done
			So(kindOf(wa.err), ShouldEqual, store.Timeout)
		})
	})
}

// pendingWatch is a watch that runs in the background.
type pendingWatch struct {
	wait time.Duration
	err  error
	done chan struct{}
}

func (wa *pendingWatch) run(ctx context.Context, st store.Store) {
	defer close(wa.done)
	_, _, wa.err = st.Watch(ctx, "a", 0, wa.wait)
}

// openConnections makes concurrent calls, which leave idle connections open.
func openConnections(ctx context.Context, sv *platform.Server, cl *store.Client, count int) {
	watchers := make([]*pendingWatch, count)
	for nr := range watchers {
		watchers[nr] = &pendingWatch{wait: shortTimeout, done: make(chan struct{})}
		go watchers[nr].run(ctx, cl)
	}
	for sv.Store().Calls().Watch < int64(count+1) {
		time.Sleep(time.Millisecond)
	}
	for _, wa := range watchers {
		<-wa.done
	}
}

// Guards against responses that use unbounded memory and incomplete responses that are taken as complete.
func TestMalformedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
	cases := []struct {
		name, response string
		read, write    store.Kind
	}{
		{"truncated", head + "Content-Length: 10\r\n\r\nabc", store.Timeout, store.Unknown},
		{"too long", head + "Content-Length: 9999999\r\n\r\n" + string(make([]byte, 9999999)), store.Invalid, store.Unknown},
		{"no version", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", store.Invalid, store.Unknown},
		{"weak version", "HTTP/1.1 200 OK\r\nETag: W/\"7\"\r\nContent-Length: 0\r\n\r\n", store.Invalid, store.Unknown},
		{"redirect", "HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", store.Invalid, store.Unknown},
		{"gateway error", "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n", store.Invalid, store.Unknown},
		{"not HTTP", "hello\r\n\r\n", store.Timeout, store.Unknown},
	}
	for _, tc := range cases {
		Convey(tc.name, t, func() {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			So(err, ShouldBeNil)
			sv := &fixedServer{ln: ln, response: tc.response, done: make(chan struct{})}
			go sv.run()
			cl := newClient(t, ln.Addr().String(), longTimeout)
			_, err = cl.Get(t.Context(), "a")
			So(kindOf(err), ShouldEqual, tc.read)
			_, err = cl.Put(t.Context(), "a", nil, 3)
			So(kindOf(err), ShouldEqual, tc.write)
			ln.Close()
			<-sv.done
			_, err = cl.Get(t.Context(), "a")
			So(kindOf(err), ShouldEqual, store.Unavailable)
		})
	}
}

// fixedServer sends the same response on every connection.
type fixedServer struct {
	ln       net.Listener
	response string
	done     chan struct{}
}

func (sv *fixedServer) run() {
	defer close(sv.done)
	for {
		cn, err := sv.ln.Accept()
		if err != nil {
			return
		}
		_, _ = cn.Read(make([]byte, 4096))
		_, _ = cn.Write([]byte(sv.response))
		cn.Close()
	}
}
