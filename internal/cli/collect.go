package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"

	"damasklatch/io/store"
)

// vmReply is the reply of one VM or the error of the call.
type vmReply[T any] struct {
	rec   store.VMRecord
	value T
	err   error
}

// callAllVMs calls every VM on the platform's list and returns the replies sorted by VM name. If the list can't be read, it
// uses the prefetched one.
func callAllVMs[T any](ctx context.Context, fl *fleet, fn func(ctx context.Context, address string) (T, error)) ([]vmReply[T], error) {
	recs, err := fl.st.VMs(ctx)
	if err != nil {
		recs = fl.prefetched
	}
	if err != nil && recs == nil {
		return nil, fmt.Errorf("read the list of VMs: %w", err)
	}
	cl := &collector[T]{fn: fn, slots: make(chan struct{}, maxCalls)}
	answers := make([]vmReply[T], len(recs))
	for nr := range recs {
		answers[nr].rec = recs[nr]
		cl.wg.Add(1)
		go cl.run(ctx, &answers[nr])
	}
	cl.wg.Wait()
	slices.SortFunc(answers, func(an, ot vmReply[T]) int { return cmp.Compare(an.rec.VM, ot.rec.VM) })
	return answers, nil
}

type collector[T any] struct {
	fn    func(ctx context.Context, address string) (T, error)
	slots chan struct{}
	wg    sync.WaitGroup
}

func (cl *collector[T]) run(ctx context.Context, an *vmReply[T]) {
	defer cl.wg.Done()
	cl.slots <- struct{}{}
	defer func() { <-cl.slots }()
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	an.value, an.err = cl.fn(ctx, an.rec.PeerAddress)
}
