package configsync

import (
	"context"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/peer/peerpb"
)

const (
	// peerTimeout bounds a call to a peer. The longest round trip is 110 ms, and a change must be in force everywhere
	// within 2 s although the first peer asked may be dead.
	peerTimeout = 500 * time.Millisecond

	// peerPenalty is how long a peer that did not answer is asked last.
	peerPenalty = 5 * time.Second

	// peersAsked is the number of peers asked in one round before the store.
	peersAsked = 3
)

// Peers are the VMs that manifests and parts may be fetched from.
type Peers interface {
	// Holders returns the VMs whose digests say that they have at least the generation in force, nearest first.
	// Generation zero means any VM.
	Holders(gen id.Generation) []Holder
}

// Holder is a VM that has a configuration.
type Holder struct {
	VM     id.VM
	Client peerpb.Peer
}

// noPeers is used if the options have none.
type noPeers struct{}

func (noPeers) Holders(id.Generation) []Holder { return nil }

// penalties remembers the peers that did not answer. Only the fetcher uses it.
type penalties map[id.VM]time.Time

// order returns the peers to ask: the one that gave the hint first, those that did not answer lately last.
func (pn penalties) order(hds []Holder, first id.VM) []Holder {
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
	return hds[:min(len(hds), peersAsked)]
}

// note remembers whether a peer answered.
func (pn penalties) note(vm id.VM, err error) {
	if err != nil {
		pn[vm] = time.Now().Add(peerPenalty)
		return
	}
	delete(pn, vm)
}

// getManifest asks a peer for the manifest it has in force.
func getManifest(ctx context.Context, hd Holder) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rp, err := hd.Client.GetManifest(ctx, &peerpb.GetManifestRequest{})
	if err != nil {
		return nil, err
	}
	return rp.GetManifest(), nil
}

// getParts asks a peer for parts. The contents are not checked yet.
func getParts(ctx context.Context, hd Holder, digests []string) ([]*peerpb.Part, error) {
	// A batch has up to batchBytes, which take about 60 ms on the slowest link if nothing else uses it.
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	rp, err := hd.Client.GetParts(ctx, &peerpb.GetPartsRequest{Sha256: digests})
	if err != nil {
		return nil, err
	}
	return rp.GetParts(), nil
}
