package waitqueue_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/internal/waitqueue"
)

// Guards against goroutines that wait forever, overtake each other, or time out although the resource is free.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		qu := waitqueue.New(3)
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
			qu.Wake()
		}
		order := make(chan int, 4)
		for nr := range 3 {
			go func() {
				if qu.Acquire(context.Background(), time.Second, try) {
					order <- nr
				} else {
					order <- -1
				}
			}()
			synctest.Wait()
		}
		if qu.Acquire(context.Background(), time.Second, try) {
			t.Error("a queue for three goroutines accepted a fourth")
		}
		start := time.Now()
		for want := range 2 {
			release()
			if got := <-order; got != want {
				t.Errorf("goroutine %d acquired before goroutine %d", got, want)
			}
		}
		if waited := time.Since(start); waited != 0 {
			t.Errorf("waiting goroutines acquired %v after the release, want 0", waited)
		}
		if got := <-order; got != -1 || time.Since(start) != time.Second {
			t.Errorf("the last goroutine: result %d after %v, want -1 after 1s", got, time.Since(start))
		}
		release()
		if !qu.Acquire(context.Background(), 0, try) {
			t.Error("Acquire failed with an empty queue and a free resource")
		}
	})
}
