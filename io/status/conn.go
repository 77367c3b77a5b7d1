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

// largestMessage is the largest UDP payload.
const largestMessage = 65507

// ErrTimeout means that another VM has not answered a question in time.
var ErrTimeout = errors.New("the VM has not answered in time")

// message is what a datagram holds: one of its fields.
type message struct {
	Status *roster.Status `cbor:"1,keyasint,omitempty"`
	Ask    *TokenRequest  `cbor:"2,keyasint,omitempty"`
	Grant  *TokenGrant    `cbor:"3,keyasint,omitempty"`
}

// TokenRequest is the question for tokens of the limit of a team.
type TokenRequest struct {
	Number uint64  `cbor:"1,keyasint"`
	Team   id.Team `cbor:"2,keyasint"`
	Tokens int     `cbor:"3,keyasint"` // tokens
	// Loan tells that the question comes from another failure domain, whose tokens the answer must not wait for.
	Loan bool `cbor:"4,keyasint,omitempty"`
}

// TokenGrant is the answer to an Ask.
type TokenGrant struct {
	Number        uint64        `cbor:"1,keyasint"`
	Tokens        int           `cbor:"2,keyasint,omitempty"`
	Wait          time.Duration `cbor:"3,keyasint,omitempty"` // until there is a token, if there is none
	IsCoordinator bool          `cbor:"4,keyasint,omitempty"` // the VM counts the requests of the team
}

// Handlers take what arrives, on the goroutine of Run. They must not block.
type Handlers struct {
	OnStatus func(now time.Time, st *roster.Status)
	// OnTokenRequest answers a question, at once or later.
	OnTokenRequest func(now time.Time, ak TokenRequest, reply Reply)
}

// Reply sends the answer to a question.
type Reply struct {
	conn   *Conn
	to     netip.AddrPort
	number uint64
}

// Send sends the answer.
func (re Reply) Send(gr TokenGrant) {
	gr.Number = re.number
	if err := re.conn.write(re.to, &message{Grant: &gr}); err != nil {
		re.conn.log.Debug("answer not sent", "address", re.to.String(), "error", err.Error())
	}
}

// Conn sends and receives messages on a UDP address. It is safe for concurrent use.
type Conn struct {
	sock   *net.UDPConn
	log    *slog.Logger
	hd     Handlers
	number atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]chan TokenGrant
}

// Listen binds the address.
func Listen(address string, log *slog.Logger, hd Handlers) (*Conn, error) {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "status address")
	}
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(ap))
	if err != nil {
		return nil, errors.Wrap(err, "bind status address")
	}
	return &Conn{sock: sock, log: log, hd: hd, waiting: map[uint64]chan TokenGrant{}}, nil
}

// Run receives until the connection is closed.
func (cn *Conn) Run(ctx context.Context) {
	defer context.AfterFunc(ctx, cn.Close)()
	buf := make([]byte, largestMessage)
	for {
		num, from, err := cn.sock.ReadFromUDPAddrPort(buf)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			cn.log.Debug("message not received", "error", err.Error())
			continue
		}
		var msg message
		if err := cbor.Unmarshal(buf[:num], &msg); err != nil {
			cn.log.Warn("message can't be read", "address", from.String(), "error", err.Error())
			continue
		}
		cn.take(time.Now(), from, &msg)
	}
}

func (cn *Conn) take(now time.Time, from netip.AddrPort, msg *message) {
	switch {
	case msg.Status != nil:
		cn.hd.OnStatus(now, msg.Status)
	case msg.Ask != nil:
		cn.hd.OnTokenRequest(now, *msg.Ask, Reply{cn, from, msg.Ask.Number})
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

// Send sends a status to an address.
func (cn *Conn) Send(address string, st *roster.Status) error {
	return cn.send(address, &message{Status: st})
}

// resendAfter is the time after which a question is sent once more, as datagrams may be lost. An answer from the same failure
// domain takes a few milliseconds.
const resendAfter = 60 * time.Millisecond

// RequestTokens asks the VM at an address for tokens.
func (cn *Conn) RequestTokens(address string, ak TokenRequest, limit time.Duration) (TokenGrant, error) {
	ak.Number = cn.number.Add(1)
	got := make(chan TokenGrant, 1)
	cn.mu.Lock()
	cn.waiting[ak.Number] = got
	cn.mu.Unlock()
	defer cn.forget(ak.Number)
	if err := cn.send(address, &message{Ask: &ak}); err != nil {
		return TokenGrant{}, err
	}
	tm := time.NewTimer(min(resendAfter, limit))
	defer tm.Stop()
	select {
	case gr := <-got:
		return gr, nil
	case <-tm.C:
	}
	if limit <= resendAfter {
		return TokenGrant{}, ErrTimeout
	}
	if !ak.Loan {
		if err := cn.send(address, &message{Ask: &ak}); err != nil {
			return TokenGrant{}, err
		}
	}
	tm.Reset(limit - resendAfter)
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

// Close closes the socket.
func (cn *Conn) Close() { _ = cn.sock.Close() }
