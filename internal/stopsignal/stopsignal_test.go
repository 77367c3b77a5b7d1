package stopsignal

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"
)

// Guards against a process that ends at once, with requests in flight, when it is told to stop more than once.
func TestRepeatedSignals(t *testing.T) {
	for name, tc := range map[string]struct {
		signals []syscall.Signal
		exits   int
	}{
		"one SIGTERM":             {[]syscall.Signal{syscall.SIGTERM}, 0},
		"three SIGTERM":           {[]syscall.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 0},
		"SIGINT, then SIGTERM":    {[]syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGTERM}, 0},
		"SIGTERM, then SIGINT":    {[]syscall.Signal{syscall.SIGTERM, syscall.SIGINT}, 0},
		"two SIGINT at a console": {[]syscall.Signal{syscall.SIGINT, syscall.SIGINT}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			exits := make(chan int, 10)
			ctx, stop := newContext(context.Background(), func(code int) { exits <- code })
			defer stop()
			for _, sg := range tc.signals {
				if err := syscall.Kill(os.Getpid(), sg); err != nil {
					t.Fatal(err)
				}
				time.Sleep(50 * time.Millisecond) // signals that arrive together may be merged
			}
			if ctx.Err() == nil {
				t.Error("the context has not ended")
			}
			if len(exits) != tc.exits {
				t.Errorf("the process ended %d times, want %d", len(exits), tc.exits)
			}
		})
	}
}
