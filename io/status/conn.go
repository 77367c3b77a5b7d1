package status

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/roster"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxMessageSize is the largest UDP payload over IPv4, in bytes.
const maxMessageSize = 65507

// ErrTimeout means that another VM has not answered a token request in time.
var ErrTimeout = errors.New("the VM has not answered in time")

// message is the content of a datagram. Exactly one field is set.
type message struct {
	Status  *roster.Status `cbor:"1,keyasint,omitempty"`
	Request *TokenRequest  `cbor:"2,keyasint,omitempty"`
	Grant   *TokenGrant    `cbor:"3,keyasint,omitempty"`
}

// TokenRequest asks another VM for tokens of a team's limit.
type TokenRequest struct {
	Number uint64  `cbor:"1,keyasint"` // set by RequestTokens, to match the grant to the request
	Team   id.Team `cbor:"2,keyasint"`
	Tokens int     `cbor:"3,keyasint"` // number of tokens asked for
	// Loan is set if the request comes from another failure domain. The receiver lends only tokens that it has, and does not
	// borrow tokens from other failure domains to answer.
	Loan bool `cbor:"4,keyasint,omitempty"`
}

// TokenGrant is the response to a TokenRequest.
type TokenGrant struct {
	Number        uint64        `cbor:"1,keyasint"`
	Tokens        int           `cbor:"2,keyasint,omitempty"`
	Wait          time.Duration `cbor:"3,keyasint,omitempty"` // time until a token is available, if Tokens is zero
	IsCoordinator bool          `cbor:"4,keyasint,omitempty"` // set if the sender counts the requests of the team
}

// Handlers process received messages. They are called on the goroutine of Run and must not block.
type Handlers struct {
	OnStatus func(now time.Time, st *roster.Status)
	// OnTokenRequest answers a token request with Reply.Send. It may do so after it has returned, from another goroutine.
	OnTokenRequest func(now time.Time, ak TokenRequest, reply Reply)
}

// Reply sends the response to one TokenRequest.
type Reply struct {
	conn   *Conn
	to     netip.AddrPort
	number uint64
}

// Send sends the grant to the requesting VM. A failure to send is only logged.
func (re Reply) Send(gr TokenGrant) {
	gr.Number = re.number
	if err := re.conn.write(re.to, &message{Grant: &gr}); err != nil {
		re.conn.log.Debug("token grant not sent", "address", re.to.String(), "error", err.Error())
	}
}

// Conn sends and receives messages on a UDP socket. It is safe for concurrent use, but Run must be called only once.
type Conn struct {
	sock     *net.UDPConn
	log      *slog.Logger
	handlers Handlers
	number   atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan TokenGrant
}

// Listen binds a UDP socket to an IPv4 address with port. Messages are received only while Run is running.
func Listen(address string, log *slog.Logger, hd Handlers) (*Conn, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "status address")
	}
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "listen on status address")
	}
	return &Conn{sock: sock, log: log, handlers: hd, waiting: map[uint64]chan TokenGrant{}}, nil
}

// Run receives messages and calls the handlers until the context is canceled or the connection is closed. A datagram that
// can't be received or decoded is logged and skipped.
func (cn *Conn) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, cn.Close)()
	buf := make([]byte, maxMessageSize)
	for {
		num, from, err := cn.sock.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			cn.log.Debug("receiving a datagram failed", "error", err.Error())
			continue
		}
		var msg message
		if err := cbor.Unmarshal(buf[:num], &msg); err != nil {
			cn.log.Warn("received message can't be decoded, it is ignored", "address", from.String(), "error", err.Error())
			continue
		}
		cn.dispatch(time.Now(), from, &msg)
	}
}

func (cn *Conn) dispatch(now time.Time, from netip.AddrPort, msg *message) {
	switch {
	case msg.Status != nil:
		cn.handlers.OnStatus(now, msg.Status)
	case msg.Request != nil:
		cn.handlers.OnTokenRequest(now, *msg.Request, Reply{cn, from, msg.Request.Number})
	case msg.Grant != nil:
		cn.mu.Lock()
		got := cn.waiting[msg.Grant.Number]
		delete(cn.waiting, msg.Grant.Number)
		cn.mu.Unlock()
		if got != nil {
			got <- *msg.Grant
		}
	}
}

// Send sends a status report to the VM at an address. There is no confirmation that it has arrived.
func (cn *Conn) Send(address string, st *roster.Status) error {
	return cn.send(address, &message{Status: st})
}

// resendDelay is the time after which an unanswered token request is sent a second time, because datagrams may be lost. A
// response from the same failure domain takes a few milliseconds.
const resendDelay = 60 * time.Millisecond

// RequestTokens sends a token request to the VM at an address and waits for the grant. It returns ErrTimeout if there is no
// response within the limit. A request for a loan is sent only once.
func (cn *Conn) RequestTokens(address string, ak TokenRequest, limit time.Duration) (TokenGrant, error) {
	ak.Number = cn.number.Add(1)
	got := make(chan TokenGrant, 1)
	cn.mu.Lock()
	cn.waiting[ak.Number] = got
	cn.mu.Unlock()
	defer cn.forget(ak.Number)
	if err := cn.send(address, &message{Request: &ak}); err != nil {
		return TokenGrant{}, err
	}
	tm := time.NewTimer(min(resendDelay, limit))
	defer tm.Stop()
	select {
	case gr := <-got:
		return gr, nil
	case <-tm.C:
	}
	if limit <= resendDelay {
		return TokenGrant{}, ErrTimeout
	}
	if !ak.Loan {
		if err := cn.send(address, &message{Request: &ak}); err != nil {
			return TokenGrant{}, err
		}
	}
	tm.Reset(limit - resendDelay)
	select {
	case gr := <-got:
		return gr, nil
	case <-tm.C:
		return TokenGrant{}, ErrTimeout
	}
}

func (cn *Conn) forget(number uint64) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	delete(cn.waiting, number)
}

func (cn *Conn) send(address string, msg *message) error {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrap(err, "status address")
	}
	return cn.write(ap, msg)
}

func (cn *Conn) write(to netip.AddrPort, msg *message) error {
	src, err := cbor.Marshal(msg)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	_, err = cn.sock.WriteToUDPAddrPort(src, to)
	return errors.Wrap(err, "send message")
}

// Close closes the socket, which ends Run.
func (cn *Conn) Close() { _ = cn.sock.Close() }
