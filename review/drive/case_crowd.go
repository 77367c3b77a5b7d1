//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"time"
)

const (
	// smallMemoryMB is the memory of the smallest machine of the site ndcf-head-grown.
	smallMemoryMB = 136
	watchTime     = 10 * time.Second
	// headerBytes is the size of a header that is within MaxHeaderBytes.
	headerBytes = 16_000
	headerCrowd = 800
)

// startSmallGateway starts a gateway on the smallest machine. Stand-in for the platform, the case kills the process if it exceeds its
// memory.
func (en *environment) startSmallGateway(name string) (*gatewayProcess, error) {
	gw := en.newGateway(name)
	gw.settings["memory_limit"] = fmt.Sprint(smallMemoryMB, "MB")
	if err := gw.start(); err != nil {
		return nil, err
	}
	return gw, nil
}

// watchMemory watches the process while ordinary clients send requests. It reports whether the process has exceeded its memory, upon
// which it is killed, or has ended by itself.
func (gw *gatewayProcess) watchMemory() (ended bool) {
	peak := 0
	next := time.Now()
	for end := time.Now().Add(watchTime); time.Now().Before(end) && !gw.hasEnded(); time.Sleep(10 * time.Millisecond) {
		used := gw.residentKB()
		peak = max(peak, used)
		if used > smallMemoryMB<<10 {
			gw.en.note("process %d uses %d KB, the platform kills it", gw.cmd.Process.Pid, used)
			gw.signal(syscall.SIGKILL)
			<-gw.ended
			break
		}
		if time.Now().After(next) {
			next = time.Now().Add(time.Second)
			go gw.lookup()
		}
	}
	gw.en.note("peak memory %d KB, allowed %d KB, the process has ended: %v", peak, smallMemoryMB<<10, gw.hasEnded())
	if gw.hasEnded() {
		gw.lookup()
	}
	return gw.hasEnded()
}

// openCrowd opens connections to an address, and calls a function on each.
func (en *environment) openCrowd(address string, num int, act func(cn net.Conn)) error {
	for range num {
		cn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		en.onClose(func() { cn.Close() })
		go act(cn)
	}
	en.note("crowd: %d connections to %s", num, address)
	return nil
}

// playReadyHeaders sends headers of legal size, made of very many short fields, to the address that says ready. They stop just short of
// their end.
func playReadyHeaders(en *environment) (bool, error) {
	en.configure(nil)
	if _, err := en.startWorker("i-1", 9, serveAtOnce); err != nil {
		return false, err
	}
	gw, err := en.startSmallGateway("front-delta-tanta-1")
	if err != nil {
		return false, err
	}
	var hd strings.Builder
	hd.WriteString("GET /v1/ready HTTP/1.1\r\nHost: ready.example\r\n")
	for nr := 0; hd.Len() < headerBytes; nr++ {
		fmt.Fprintf(&hd, "%x:\r\n", nr)
	}
	if en.trouble {
		err := en.openCrowd(gw.settings["ready_address"], headerCrowd, func(cn net.Conn) { _, _ = io.WriteString(cn, hd.String()) })
		if err != nil {
			return false, err
		}
	}
	return gw.watchMemory(), nil
}
