package inbound

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// errUnsupported is returned by the methods of socket if the operating system does not provide what they need.
var errUnsupported = errors.New("not supported for this connection")

// socket gives access to what the operating system knows about a TCP connection. The zero value supports nothing.
type socket struct{ raw syscall.RawConn }

func newSocket(nc net.Conn) socket {
	tc, ok := nc.(*net.TCPConn)
	if !ok {
		return socket{}
	}
	raw, err := tc.SyscallConn()
	if err != nil {
		return socket{}
	}
	return socket{raw}
}

// peek waits for bytes and copies them to buf without consuming them. It returns no bytes and no error at the end of the stream.
func (sk socket) peek(buf []byte) (int, error) {
	if sk.raw == nil {
		return 0, errUnsupported
	}
	var num int
	var err error
	waitErr := sk.raw.Read(func(fd uintptr) bool {
		err = ignoreEINTR(func() error {
			num, _, err = unix.Recvfrom(int(fd), buf, unix.MSG_PEEK|unix.MSG_DONTWAIT)
			return err
		})
		return !errors.Is(err, unix.EAGAIN)
	})
	switch {
	case waitErr != nil:
		return 0, waitErr
	case errors.Is(err, unix.EINVAL), errors.Is(err, unix.ENOSYS), errors.Is(err, unix.EOPNOTSUPP):
		return 0, errUnsupported
	}
	return max(num, 0), err
}

// awaitEnd waits until the peer has closed its sending side or the connection has failed, and then returns io.EOF. It reads
// nothing, and reports whether bytes have arrived before responding was set. An expired read deadline ends it with an error.
func (sk socket) awaitEnd(responding *atomic.Bool) (early bool, err error) {
	if sk.raw == nil {
		return false, errUnsupported
	}
	waitErr := sk.raw.Read(func(fd uintptr) bool {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		err = ignoreEINTR(func() error {
			_, err := unix.Poll(fds, 0)
			return err
		})
		events := fds[0].Revents
		early = early || events&unix.POLLIN != 0 && !responding.Load()
		return err != nil || events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	switch {
	case waitErr != nil:
		return early, waitErr
	case err != nil:
		return early, errUnsupported
	}
	return early, io.EOF
}

// ignoreEINTR repeats a system call until no signal interrupts it. The Go runtime sends signals to its own threads.
func ignoreEINTR(call func() error) error {
	for {
		if err := call(); !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}

// delivery is the state of a connection whose sending side has been closed.
type delivery struct {
	state  tcpState
	acked  uint64 // bytes that the peer has acknowledged
	unread int    // bytes that have arrived and were not read
}

// tcpState is a state of the TCP state machine, with the number that Linux gives it.
type tcpState uint8

const (
	finWait1 tcpState = 4  // the peer has not acknowledged all bytes
	finWait2 tcpState = 5  // the peer has acknowledged all bytes, and has not closed its side
	lastAck  tcpState = 9  // the peer had closed its side, and has not acknowledged all bytes
	closing  tcpState = 11 // the peer has closed its side since, and has not acknowledged all bytes
)

func (sk socket) delivery() (delivery, error) {
	if sk.raw == nil {
		return delivery{}, errUnsupported
	}
	var dv delivery
	var err error
	callErr := sk.raw.Control(func(fd uintptr) {
		var ti *unix.TCPInfo
		if ti, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err != nil {
			return
		}
		dv.state, dv.acked = tcpState(ti.State), ti.Bytes_acked
		dv.unread, err = unix.IoctlGetInt(int(fd), unix.SIOCINQ)
	})
	if callErr != nil {
		return dv, callErr
	}
	return dv, err
}
