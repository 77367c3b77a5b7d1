package cli

import (
	"context"
	"fmt"
	"strings"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/peer/peerpb"
	"damasklatch/io/store"
)

// OperatorClient calls daemons at their peer addresses. It is implemented by peer.OperatorClient.
type OperatorClient interface {
	// Announce sends an accepted manifest to the daemon. The reply holds the generation that the daemon has in force, which
	// may still be the earlier one, because the daemon does not wait for the parts of the manifest before it replies. After
	// an error the daemon may still have received the manifest.
	Announce(ctx context.Context, address string, manifest []byte) (*peerpb.AnnounceReply, error)
	// Status returns the daemon's view of the system. The generation in the reply is zero if the daemon has none in force.
	// That is not an error.
	Status(ctx context.Context, address string) (*peerpb.StatusReply, error)
	// Timeline returns the events that the daemon has recorded and that match the request, oldest first. An empty filter
	// matches all events. If more events match than the limit of the request allows, the reply holds the latest ones. A
	// limit of zero leaves the maximum to the daemon.
	Timeline(ctx context.Context, address string, rq *peerpb.TimelineRequest) (*peerpb.TimelineReply, error)
}

// fleet calls the entry VMs on the platform's list.
type fleet struct {
	ev *Env
	st store.Store
	oc OperatorClient // nil without an operator secret
	// prefetched is the list of VMs as read at the start of the command. It is used if the store accepts a change and fails
	// afterwards.
	prefetched []store.VMRecord
}

func openFleet(ev *Env, st store.Store, secretFile string) (*fleet, error) {
	fl := &fleet{ev: ev, st: st}
	if secretFile == "" || ev.OpenOperator == nil {
		return fl, nil
	}
	secret, err := readFile(ev, secretFile)
	if err != nil {
		return nil, err
	}
	fl.oc = ev.OpenOperator(strings.TrimSpace(string(secret)))
	return fl, nil
}

// prefetch reads the list of VMs if they can be called. It ignores errors, because the list is read again when needed.
func (fl *fleet) prefetch(ctx context.Context) {
	if fl.oc != nil {
		fl.prefetched, _ = fl.st.VMs(ctx)
	}
}

// vmState is the generation of the configuration that a VM has in force, or the error of the call.
type vmState struct {
	VM            id.VM            `json:"vm"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	Generation    id.Generation    `json:"generation"`
	Error         string           `json:"error,omitempty"`
}

// maxCalls is the maximum number of concurrent calls to VMs. A call takes at most about a second, so calling 420 VMs takes
// a few seconds if one failure domain does not respond.
const maxCalls = 64

// vmTimeout is the timeout of a call to one VM.
const vmTimeout = time.Second

// callVMs calls fn for every VM on the platform's list and returns the states sorted by VM name.
func (fl *fleet) callVMs(ctx context.Context, fn func(ctx context.Context, address string) (uint64, error)) ([]vmState, error) {
	answers, err := callAllVMs(ctx, fl, fn)
	if err != nil {
		return nil, err
	}
	states := make([]vmState, 0, len(answers))
	for _, an := range answers {
		vs := vmState{VM: an.rec.VM, FailureDomain: an.rec.FailureDomain, Generation: id.Generation(an.value)}
		if an.err != nil {
			vs.Error = an.err.Error()
		}
		states = append(states, vs)
	}
	return states, nil
}

// announce sends an accepted manifest to every VM. A failed call only causes a warning, because VMs also receive the
// change from the store and from each other.
func (fl *fleet) announce(ctx context.Context, manifest []byte) {
	if fl.oc == nil {
		fmt.Fprintln(fl.ev.Stderr, "warning: not announced to the entry VMs, which will learn of the change from the store: no operator secret")
		return
	}
	// The announcement has its own timeout, because calls of the store may have used up the timeout of the command.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	states, err := fl.callVMs(ctx, func(ctx context.Context, address string) (uint64, error) {
		rp, err := fl.oc.Announce(ctx, address, manifest)
		return rp.GetGeneration(), err
	})
	if err != nil {
		fmt.Fprintln(fl.ev.Stderr, "warning: not announced to the entry VMs:", err)
		return
	}
	for _, vs := range states {
		if vs.Error != "" {
			fmt.Fprintf(fl.ev.Stderr, "warning: not announced to %s: %s\n", vs.VM, vs.Error)
		}
	}
}

// announceTimeout is the timeout of the announcement to all VMs together.
const announceTimeout = 10 * time.Second

// generations returns the generation that each VM has in force. It returns nil without an operator secret.
func (fl *fleet) generations(ctx context.Context) ([]vmState, error) {
	if fl.oc == nil {
		return nil, nil
	}
	return fl.callVMs(ctx, func(ctx context.Context, address string) (uint64, error) {
		rp, err := fl.oc.Status(ctx, address)
		return rp.GetGeneration(), err
	})
}

// countInForce returns the number of VMs that have the generation or a later one in force.
func countInForce(states []vmState, generation id.Generation) int {
	nr := 0
	for _, vs := range states {
		if vs.Error == "" && vs.Generation >= generation {
			nr++
		}
	}
	return nr
}

// pollInterval is the time between two rounds of status calls. It grows with the number of VMs, because a status of 9 kB
// from each of 420 VMs every 200 ms would exceed all their other control traffic.
func pollInterval(vms int) time.Duration {
	const least, forEach = 200 * time.Millisecond, 5 * time.Millisecond
	return max(least, time.Duration(vms)*forEach)
}

// wait waits until the generation is in force on every VM on the platform's list, or until the context ends. It returns
// the last known states.
func (fl *fleet) wait(ctx context.Context, generation id.Generation) ([]vmState, error) {
	for {
		states, err := fl.generations(ctx)
		if err == nil && countInForce(states, generation) == len(states) {
			return states, nil
		}
		select {
		case <-time.After(pollInterval(len(states))):
		case <-ctx.Done():
			return states, err
		}
	}
}

// stateRows returns the states as rows of a table.
func stateRows(states []vmState) [][]string {
	var rs [][]string
	for _, vs := range states {
		rs = append(rs, []string{string(vs.VM), string(vs.FailureDomain), fmt.Sprint(vs.Generation), vs.Error})
	}
	return rs
}
