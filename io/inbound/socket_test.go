package inbound

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// signalSender sends signals to this process that the Go runtime also uses for itself.
type signalSender struct{ stop, stopped chan struct{} }

func (ss *signalSender) run() {
	defer close(ss.stopped)
	for {
		select {
		case <-ss.stop:
			return
		default:
			_ = syscall.Kill(syscall.Getpid(), syscall.SIGURG) // the test passes without signals
		}
	}
}

// Guards against a caller whose leaving goes unnoticed because a signal, as the Go runtime sends it, has interrupted a system call.
func TestSignalDoesNotEndWait(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer cn.Close()
	ss := &signalSender{make(chan struct{}), make(chan struct{})}
	go ss.run()
	defer func() {
		close(ss.stop)
		<-ss.stopped
	}()
	sk := newSocket(cn)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); {
		if err := cn.SetReadDeadline(time.Now().Add(20 * time.Microsecond)); err != nil {
			t.Fatal(err)
		}
		if _, err := sk.awaitEnd(new(atomic.Bool), false); errors.Is(err, errUnsupported) {
			t.Fatal("the wait for the end of a connection ended although nothing happened")
		}
	}
}

// Guards against allocations for the wait that each request causes, except for the error with which net/http interrupts it.
func TestWaitAllocations(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cn, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer cn.Close()
	sk := newSocket(cn)
	var responding atomic.Bool
	num := testing.AllocsPerRun(50, func() {
		_ = cn.SetReadDeadline(time.Now().Add(time.Millisecond)) // the wait would not end without it
		_, _ = sk.awaitEnd(&responding, false)
	})
	if num > 1 {
		t.Errorf("a wait makes %v allocations, want 1 at most", num)
	}
}
