// Package stopsignal ends a context when the process is told to stop.
package stopsignal

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// exitInterrupted is the exit code after a second interrupt, by the convention of shells: 128 and the number of the signal.
const exitInterrupted = 128 + int(syscall.SIGINT)

// NewContext returns a context that ends with the first SIGINT or SIGTERM. The shutdown that follows is not cut short by further
// signals: several tools may stop the same process, and running requests get the whole grace period. Only a second SIGINT, which a
// person sends with Ctrl-C, ends the process at once. The returned function restores the default handling of signals.
func NewContext(parent context.Context) (context.Context, context.CancelFunc) {
	return newContext(parent, os.Exit)
}

func newContext(parent context.Context, exit func(code int)) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(parent)
	wt := &watcher{signals: make(chan os.Signal, 1), done: make(chan struct{}), cancel: cancel, exit: exit}
	signal.Notify(wt.signals, os.Interrupt, syscall.SIGTERM)
	go wt.loop()
	return ctx, wt.stop
}

// watcher receives the signals that stop the process.
type watcher struct {
	signals chan os.Signal
	done    chan struct{}
	cancel  context.CancelFunc
	exit    func(code int)
}

func (wt *watcher) loop() {
	interrupted := false
	for {
		select {
		case <-wt.done:
			return
		case sg := <-wt.signals:
			wt.cancel()
			if sg == os.Interrupt && interrupted {
				wt.exit(exitInterrupted)
			}
			interrupted = interrupted || sg == os.Interrupt
		}
	}
}

// stop must be called once.
func (wt *watcher) stop() {
	signal.Stop(wt.signals)
	close(wt.done)
	wt.cancel()
}
