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

// message is a message in the inbox of the control goroutine.
type message interface{ isMessage() }

type (
	// digestMsg is a digest from a peer. The reply is the digest of this VM.
	digestMsg struct {
		digest *peerpb.Digest
		reply  chan *peerpb.Digest
	}
	// borrowMsg is another VM's request for loans from this VM.
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
	// ownedMsg sets the fractions of the limits that the VM owns.
	ownedMsg struct{ owned limit.OwnedFractions }
	// vmListMsg is the platform's list of VMs.
	vmListMsg struct{ vms []store.VMRecord }
	// storeContactMsg reports when the store was last reached.
	storeContactMsg struct{ at time.Time }
	// statusMsg requests the status of the daemon.
	statusMsg struct{ reply chan *peerpb.StatusReply }
	// leaveMsg starts the shutdown: look-ups stop returning the VM, and it returns its loans.
	leaveMsg struct{ done chan struct{} }
)

func (digestMsg) isMessage()       {}
func (borrowMsg) isMessage()       {}
func (resultMsg) isMessage()       {}
func (configMsg) isMessage()       {}
func (ownedMsg) isMessage()        {}
func (vmListMsg) isMessage()       {}
func (storeContactMsg) isMessage() {}
func (statusMsg) isMessage()       {}
func (leaveMsg) isMessage()        {}

// post sends a message to the control goroutine. It fails if the context ends first or the control goroutine has stopped.
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

// postAndWait posts a message and waits for the reply. It fails in the same cases as post.
func postAndWait[T any](ctx context.Context, ct *Controller, msg message, reply <-chan T) (T, error) {
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
