package daemon

import (
	"context"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/limit"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
	"damasklatch/io/store"
)

// message is an input of the control goroutine.
type message interface{ isMessage() }

type (
	// digestMsg is a digest from a peer, which gets the own digest in reply.
	digestMsg struct {
		digest *peerpb.Digest
		reply  chan *peerpb.Digest
	}
	// borrowMsg is a request for loans.
	borrowMsg struct {
		request limit.BorrowRequest
		reply   chan limit.BorrowReply
	}
	// resultMsg is the result of a call to a peer.
	resultMsg struct{ result peer.Result }
	// configMsg is a configuration to put in force.
	configMsg struct {
		cfg  *config.Effective
		done chan struct{}
	}
	// ownedMsg tells which fractions the VM owns from now on.
	ownedMsg struct{ owned limit.OwnedFractions }
	// platformMsg is the platform's list of VMs.
	platformMsg struct{ vms []store.VMRecord }
	// storeMsg tells when the store was last reached.
	storeMsg struct{ at time.Time }
	// statusMsg asks for the status.
	statusMsg struct{ reply chan *peerpb.StatusReply }
	// leaveMsg starts the shutdown: look-ups stop naming the VM, and its loans go back.
	leaveMsg struct{ done chan struct{} }
)

func (digestMsg) isMessage()   {}
func (borrowMsg) isMessage()   {}
func (resultMsg) isMessage()   {}
func (configMsg) isMessage()   {}
func (ownedMsg) isMessage()    {}
func (platformMsg) isMessage() {}
func (storeMsg) isMessage()    {}
func (statusMsg) isMessage()   {}
func (leaveMsg) isMessage()    {}

// post hands a message to the control goroutine. It gives up when the context ends.
func (ct *Controller) post(ctx context.Context, msg message) error {
	select {
	case ct.inbox <- msg:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-ct.stopped:
		return errStopped
	}
}

// ask posts a message and waits for the reply.
func ask[T any](ctx context.Context, ct *Controller, msg message, reply <-chan T) (T, error) {
	var none T
	if err := ct.post(ctx, msg); err != nil {
		return none, err
	}
	select {
	case rp := <-reply:
		return rp, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-ct.stopped:
		return none, errStopped
	}
}
