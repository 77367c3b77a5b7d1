package waitqueue_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/waitqueue"
)

// Guards against goroutines that wait for ever, overtake each other, or all give up while something is free.
func TestLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ln := waitqueue.New(3)
		var mu sync.Mutex
		free := 0
		try := func() bool {
			mu.Lock()
			defer mu.Unlock()
			if free == 0 {
				return false
			}
			free--
			return true
		}
		release := func() {
			mu.Lock()
			free++
			mu.Unlock()
			ln.Wake()
		}
		order := make(chan int, 4)
		for nr := range 3 {
			go func() {
				if ln.Acquire(context.Background(), time.Second, try) {
					order <- nr
				} else {
					order <- -1
				}
			}()
			synctest.Wait()
		}
		if ln.Acquire(context.Background(), time.Second, try) {
			t.Error("a line of three took a fourth")
		}
		start := time.Now()
		for want := range 2 {
			release()
			if got := <-order; got != want {
				t.Errorf("%d came before %d", got, want)
			}
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("releases took %v to arrive", waited)
		}
		if got := <-order; got != -1 || time.Since(start) != time.Second {
			t.Errorf("the last got %d after %v", got, time.Since(start))
		}
		release()
		if !ln.Acquire(context.Background(), 0, try) {
			t.Error("nothing was taken from an empty line")
		}
	})
}
