package platform

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"damasklatch/internal/logfield"

	"github.com/pkg/errors"
)

// readHeaderTimeout is the time limit for a client to send the header of a request.
const readHeaderTimeout = 5 * time.Second

// Options are the settings of the server.
type Options struct {
	Address        string        // address of the store; port 0 selects a free port
	ControlAddress string        // address of the control endpoint; port 0 selects a free port
	Limits         *Limits       // DefaultLimits if nil
	VMLag          time.Duration // delay until the list of VMs shows a removal
	Log            *slog.Logger  // nil disables the log
}

// Server serves a store and its control endpoint over HTTP. Start creates it.
type Server struct {
	st      *Store
	log     *slog.Logger
	ctx     context.Context // canceled by Close, which ends the calls that wait
	cancel  context.CancelFunc
	address string
	data    *http.Server
	control *http.Server
	ctlLn   *listener
	running sync.WaitGroup

	mu      sync.Mutex
	dataLn  *listener // nil while connections are refused
	clients map[string]*Client
}

// Run starts a server and serves until the context ends. It returns an error only if the server can't start.
func Run(ctx context.Context, op Options) error {
	sv, err := Start(op)
	if err != nil {
		return err
	}
	defer sv.Close()
	<-ctx.Done()
	return nil
}

// Start starts a server in the background. The caller must call Close.
func Start(op Options) (*Server, error) {
	if op.Log == nil {
		op.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(context.Background())
	sv := &Server{
		st:      NewStore(StoreOptions{Limits: op.Limits, VMLag: op.VMLag, CallTimeout: -1}),
		log:     op.Log,
		ctx:     ctx,
		cancel:  cancel,
		clients: make(map[string]*Client),
	}
	if err := sv.listen(op); err != nil {
		sv.Close()
		return nil, err
	}
	sv.data = sv.server(sv.dataHandler())
	sv.control = sv.server(sv.controlHandler())
	sv.serve(sv.data, sv.dataLn)
	sv.serve(sv.control, sv.ctlLn)
	sv.log.Info("platform stand-in is listening",
		logfield.Address, sv.Address(), "control_address", sv.ControlAddress())
	return sv, nil
}

// listen opens the listeners of the store and of the control endpoint.
func (sv *Server) listen(op Options) (err error) {
	if sv.dataLn, err = listen(op.Address); err != nil {
		return errors.Wrap(err, "listen on the address of the store")
	}
	sv.address = sv.dataLn.Addr().String()
	if sv.ctlLn, err = listen(op.ControlAddress); err != nil {
		return errors.Wrap(err, "listen on the address of the control endpoint")
	}
	return nil
}

// server returns an HTTP server whose requests end when the Server is closed.
func (sv *Server) server(hd http.Handler) *http.Server {
	return &http.Server{
		Handler:           hd,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return sv.ctx },
		ErrorLog:          slog.NewLogLogger(sv.log.Handler(), slog.LevelWarn),
	}
}

// serve starts a goroutine that accepts the connections of a listener.
func (sv *Server) serve(hs *http.Server, ln *listener) {
	sv.running.Add(1)
	ac := &acceptor{sv: sv, hs: hs, ln: ln}
	go ac.run()
}

// acceptor runs an HTTP server on one listener.
type acceptor struct {
	sv *Server
	hs *http.Server
	ln *listener
}

func (ac *acceptor) run() {
	defer ac.sv.running.Done()
	err := ac.hs.Serve(ac.ln)
	if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		ac.sv.log.Error("listener failed and accepts no more connections",
			logfield.Address, ac.ln.Addr().String(), logfield.Error, err.Error())
	}
}

// Store returns the store behind the server.
func (sv *Server) Store() *Store { return sv.st }

// Address returns the host and port of the store.
func (sv *Server) Address() string { return sv.address }

// ControlAddress returns the host and port of the control endpoint.
func (sv *Server) ControlAddress() string { return sv.ctlLn.Addr().String() }

// Close stops the server, closes all connections, and waits until the listeners have stopped.
func (sv *Server) Close() {
	sv.cancel()
	for _, hs := range []*http.Server{sv.data, sv.control} {
		if hs != nil {
			_ = hs.Close()
		}
	}
	sv.mu.Lock()
	for _, ln := range []*listener{sv.dataLn, sv.ctlLn} {
		if ln != nil {
			ln.closeAll()
		}
	}
	sv.mu.Unlock()
	sv.running.Wait()
}

// client returns the store client for the IP address of a remote address, and creates it for the first request from
// there.
func (sv *Server) client(remote string) *Client {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	cl, ok := sv.clients[host]
	if !ok {
		cl = sv.st.NewClient()
		sv.clients[host] = cl
	}
	return cl
}

// SetFault applies the body of a "POST /fault" request. It returns an error if the request is invalid, or if the
// listener of the store can't be opened again.
func (sv *Server) SetFault(fr FaultRequest) error {
	fa, err := fr.faults()
	if err != nil {
		return err
	}
	for _, address := range fr.Clients {
		if net.ParseIP(address) == nil {
			return errors.Errorf("client %q is not an IP address", address)
		}
	}
	if len(fr.Clients) > 0 {
		if fr.FreezeConnections {
			return errors.New("freeze_connections applies to all clients")
		}
		for _, address := range fr.Clients {
			sv.client(net.JoinHostPort(address, "0")).SetClientFaults(fa)
		}
		return nil
	}
	sv.st.SetFaults(fa)
	return sv.setListener(fr.Refuse, fr.FreezeConnections)
}

// setListener closes the listener of the store if refuse is set, and reopens it otherwise. If freeze is set, it first
// makes the open connections silent.
func (sv *Server) setListener(refuse, freeze bool) error {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if freeze && sv.dataLn != nil {
		sv.dataLn.freeze()
	}
	switch {
	case refuse && sv.dataLn != nil:
		sv.dataLn.closeAll()
		sv.dataLn = nil
	case !refuse && sv.dataLn == nil:
		ln, err := listen(sv.address)
		if err != nil {
			return errors.Wrap(err, "listen on the address of the store again")
		}
		sv.dataLn = ln
		sv.serve(sv.data, ln)
	}
	return nil
}
