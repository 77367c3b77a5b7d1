package configsync

import (
	"context"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/peer/peerpb"
)

const (
	// peerTimeout limits a call to a peer. The longest round trip is 110 ms, and a change must be in force everywhere
	// within 2 s even if the first peer asked is down.
	peerTimeout = 500 * time.Millisecond

	// peerPenalty is how long a peer is asked last after a failed call.
	peerPenalty = 5 * time.Second

	// maxPeersAsked is the maximum number of peers that are asked before the store.
	maxPeersAsked = 3
)

// Peers finds the VMs from which manifests and parts can be fetched.
type Peers interface {
	// Holders returns the VMs whose digests report at least the generation in force, nearest first. Generation zero
	// means any VM.
	Holders(gen id.Generation) []Holder
}

// Holder is a VM from which a configuration can be fetched.
type Holder struct {
	VM     id.VM
	Client peerpb.Peer
}

// noPeers is the Peers implementation used if Options.Peers is nil.
type noPeers struct{}

func (noPeers) Holders(id.Generation) []Holder { return nil }

// peerPenalties holds the peers whose last call failed and the time until which each is asked last. Only the fetcher
// uses it.
type peerPenalties map[id.VM]time.Time

// selectPeers returns at most maxPeersAsked peers in the order in which to ask them: the peer named first, then the
// others, then peers whose last call failed.
func (pn peerPenalties) selectPeers(hds []Holder, first id.VM) []Holder {
	now := time.Now()
	rank := func(hd Holder) int {
		switch until, ok := pn[hd.VM]; {
		case ok && now.Before(until):
			return 2
		case hd.VM == first:
			return 0
		default:
			return 1
		}
	}
	hds = slices.Clone(hds)
	slices.SortStableFunc(hds, func(hd, ot Holder) int { return rank(hd) - rank(ot) })
	return hds[:min(len(hds), maxPeersAsked)]
}

// recordResult records whether a call to a peer failed.
func (pn peerPenalties) recordResult(vm id.VM, err error) {
	if err != nil {
		pn[vm] = time.Now().Add(peerPenalty)
		return
	}
	delete(pn, vm)
}

// getManifest fetches the manifest that a peer has in force. It is empty if the peer has none.
func getManifest(ctx context.Context, hd Holder) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rp, err := hd.Client.GetManifest(ctx, &peerpb.GetManifestRequest{})
	if err != nil {
		return nil, err
	}
	return rp.GetManifest(), nil
}

// getParts fetches parts from a peer. The caller must check the contents.
func getParts(ctx context.Context, hd Holder, digests []string) ([]*peerpb.Part, error) {
	// A batch has up to batchBytes, which take about 60 ms on the slowest link without other traffic.
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	rp, err := hd.Client.GetParts(ctx, &peerpb.GetPartsRequest{Sha256: digests})
	if err != nil {
		return nil, err
	}
	return rp.GetParts(), nil
}
