package peer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"damasklatch/io/httpframe"
	"damasklatch/io/peer/peerpb"
)

// Timeouts of calls between daemons. A call that exceeds callTimeout fails and its connection is closed, so connections
// that no longer respond are replaced too. The round trip between regions takes about 110 ms.
const (
	dialTimeout     = 500 * time.Millisecond
	callTimeout     = time.Second
	transferTimeout = 5 * time.Second
	idleTimeout     = 30 * time.Second
)

// Error reports a failed call to a daemon.
type Error struct {
	Address string
	Call    string
	Err     error
}

func (er *Error) Error() string { return fmt.Sprintf("call %s to %s: %v", er.Call, er.Address, er.Err) }

// Unwrap returns the error that caused the failure.
func (er *Error) Unwrap() error { return er.Err }

// Clients calls daemons by their peer addresses. It caches one client for each address and is safe for concurrent use.
type Clients struct {
	sc Secret
	hc *http.Client

	mu    sync.Mutex
	peers map[string]peerpb.Peer
}

// ClientOptions configures Clients.
type ClientOptions struct {
	Secret       Secret
	LocalAddress netip.Addr // local address of connections; the zero value means any
	// Dial opens connections if it is not nil. Tests use it to simulate network partitions.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// NewClients returns clients that present the secret.
func NewClients(op ClientOptions) *Clients {
	if op.Dial == nil {
		dl := &net.Dialer{Timeout: dialTimeout}
		if op.LocalAddress.IsValid() {
			dl.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(op.LocalAddress, 0))
		}
		op.Dial = dl.DialContext
	}
	return &Clients{
		sc: op.Secret,
		hc: &http.Client{Transport: &http.Transport{
			DialContext:         httpframe.Checked(op.Dial),
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleTimeout,
		}},
		peers: make(map[string]peerpb.Peer),
	}
}

// maxClients is the maximum number of cached clients. Without a limit, the clients of replaced VMs would accumulate,
// because their addresses are never used again.
const maxClients = 1024

func (cs *Clients) peer(addr string) peerpb.Peer {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	pr, ok := cs.peers[addr]
	if !ok {
		if len(cs.peers) >= maxClients {
			clear(cs.peers)
		}
		pr = peerpb.NewPeerProtobufClient("http://"+addr, cs.hc)
		cs.peers[addr] = pr
	}
	return pr
}

// call makes one call with the credential and the timeout limit.
func call[Rq, Rp any](ctx context.Context, cs *Clients, addr, name string, limit time.Duration, rq Rq,
	fn func(peerpb.Peer, context.Context, Rq) (Rp, error),
) (Rp, error) {
	var zero Rp
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ctx, err := withSecret(ctx, cs.sc)
	if err != nil {
		return zero, &Error{Address: addr, Call: name, Err: err}
	}
	rp, err := fn(cs.peer(addr), ctx, rq)
	if err != nil {
		return zero, &Error{Address: addr, Call: name, Err: err}
	}
	return rp, nil
}

// Exchange sends a digest to the daemon at the address and returns the digest that it replies with.
func (cs *Clients) Exchange(ctx context.Context, addr string, dg *peerpb.Digest) (*peerpb.Digest, error) {
	return call(ctx, cs, addr, "Exchange", callTimeout, dg, peerpb.Peer.Exchange)
}

// Borrow requests loans from the daemon at the address.
func (cs *Clients) Borrow(ctx context.Context, addr string, rq *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return call(ctx, cs, addr, "Borrow", callTimeout, rq, peerpb.Peer.Borrow)
}

// GetManifest returns the manifest that the daemon at the address has in force.
func (cs *Clients) GetManifest(ctx context.Context, addr string) (*peerpb.GetManifestReply, error) {
	return call(ctx, cs, addr, "GetManifest", callTimeout, new(peerpb.GetManifestRequest), peerpb.Peer.GetManifest)
}

// GetParts returns the configuration parts with the given SHA-256 digests, as far as the daemon at the address has them.
func (cs *Clients) GetParts(ctx context.Context, addr string, sha256 []string) (*peerpb.GetPartsReply, error) {
	rq := &peerpb.GetPartsRequest{Sha256: sha256}
	return call(ctx, cs, addr, "GetParts", transferTimeout, rq, peerpb.Peer.GetParts)
}

// ForAddress returns a client for one address. Its calls present the credential and have a timeout.
func (cs *Clients) ForAddress(addr string) peerpb.Peer { return &addressClient{cs: cs, addr: addr} }

type addressClient struct {
	cs   *Clients
	addr string
}

func (bc *addressClient) Exchange(ctx context.Context, dg *peerpb.Digest) (*peerpb.Digest, error) {
	return bc.cs.Exchange(ctx, bc.addr, dg)
}

func (bc *addressClient) Borrow(ctx context.Context, rq *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return bc.cs.Borrow(ctx, bc.addr, rq)
}

func (bc *addressClient) GetManifest(ctx context.Context, _ *peerpb.GetManifestRequest) (*peerpb.GetManifestReply, error) {
	return bc.cs.GetManifest(ctx, bc.addr)
}

func (bc *addressClient) GetParts(ctx context.Context, rq *peerpb.GetPartsRequest) (*peerpb.GetPartsReply, error) {
	return bc.cs.GetParts(ctx, bc.addr, rq.GetSha256())
}
