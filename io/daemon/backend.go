package daemon

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// ConfigSource provides the configuration in force to other daemons and accepts announced manifests. It is implemented
// by configsync.Follower.
type ConfigSource interface {
	// Offer passes on an announced manifest and returns without waiting until it is in force. A manifest that is invalid
	// or not newer than the one in force is ignored.
	Offer(manifest []byte)
	// Manifest returns the generation in force and its encoded manifest, or zero and nil if none is in force. The caller
	// must not change the manifest.
	Manifest() (id.Generation, []byte)
	// Part returns the content of the part with the given SHA-256 digest in hexadecimal, and false if this VM does not
	// have the part. The caller must not change the content.
	Part(sha256 string) ([]byte, bool)
}

// maxPartsBytes is the maximum total size of the parts in one reply. A peer requests the remaining parts again.
const maxPartsBytes = 4 << 20

// maxTimelineEvents is the maximum number of events in one reply.
const maxTimelineEvents = 10_000

// Backend implements the RPC methods that other daemons and the operator's command call.
type Backend struct {
	ct *Controller
	rl ConfigSource
}

// NewBackend returns a backend that uses the controller and the source of the configuration.
func NewBackend(ct *Controller, rl ConfigSource) *Backend { return &Backend{ct: ct, rl: rl} }

// Exchange implements peerpb.Peer.
func (bk *Backend) Exchange(ctx context.Context, dg *peerpb.Digest) (*peerpb.Digest, error) {
	reply := make(chan *peerpb.Digest, 1)
	rp, err := postAndWait(ctx, bk.ct, digestMsg{digest: dg, reply: reply}, reply)
	return rp, unavailable(err)
}

// Borrow implements peerpb.Peer.
func (bk *Backend) Borrow(ctx context.Context, pb *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	rq, err := peer.DecodeBorrowRequest(pb)
	if err != nil {
		return nil, twirp.InvalidArgumentError("items", err.Error())
	}
	bk.ct.Clock.Observe(time.Now(), peer.DecodeStamp(pb.GetStamp()))
	reply := make(chan limit.BorrowReply, 1)
	rp, err := postAndWait(ctx, bk.ct, borrowMsg{request: rq, reply: reply}, reply)
	if err != nil {
		return nil, unavailable(err)
	}
	out := peer.EncodeBorrowReply(rp)
	out.Stamp = peer.EncodeStamp(bk.ct.Clock.Now(time.Now()))
	return out, nil
}

// GetManifest implements peerpb.Peer.
func (bk *Backend) GetManifest(context.Context, *peerpb.GetManifestRequest) (*peerpb.GetManifestReply, error) {
	gen, src := bk.rl.Manifest()
	return &peerpb.GetManifestReply{Generation: uint64(gen), Manifest: src}, nil
}

// GetParts implements peerpb.Peer.
func (bk *Backend) GetParts(_ context.Context, rq *peerpb.GetPartsRequest) (*peerpb.GetPartsReply, error) {
	rp := new(peerpb.GetPartsReply)
	size := 0
	for _, sum := range rq.GetSha256() {
		content, ok := bk.rl.Part(sum)
		if !ok {
			continue
		}
		if size += len(content); size > maxPartsBytes && len(rp.Parts) > 0 {
			break
		}
		rp.Parts = append(rp.Parts, &peerpb.Part{Sha256: sum, Content: content})
	}
	return rp, nil
}

// Announce implements peerpb.Operator.
func (bk *Backend) Announce(_ context.Context, rq *peerpb.AnnounceRequest) (*peerpb.AnnounceReply, error) {
	bk.rl.Offer(rq.GetManifest())
	gen, _ := bk.rl.Manifest()
	return &peerpb.AnnounceReply{Generation: uint64(gen)}, nil
}

// Status implements peerpb.Operator.
func (bk *Backend) Status(ctx context.Context, _ *peerpb.StatusRequest) (*peerpb.StatusReply, error) {
	reply := make(chan *peerpb.StatusReply, 1)
	rp, err := postAndWait(ctx, bk.ct, statusMsg{reply: reply}, reply)
	return rp, unavailable(err)
}

// Timeline implements peerpb.Operator.
func (bk *Backend) Timeline(_ context.Context, rq *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	evs := bk.ct.Recorder.Events(func(ev event.Event) bool {
		return matches(rq.GetRequestId(), ev.Request) && matches(rq.GetTeam(), ev.Team) &&
			matches(rq.GetResource(), ev.Resource)
	})
	maxEvents := maxTimelineEvents
	if lm := int(rq.GetLimit()); lm > 0 {
		maxEvents = min(maxEvents, lm)
	}
	evs = evs[max(0, len(evs)-maxEvents):]
	rp := &peerpb.TimelineReply{Stamp: peer.EncodeStamp(bk.ct.Clock.Now(time.Now()))}
	for _, ev := range evs {
		rp.Events = append(rp.Events, peer.EncodeEvent(ev))
	}
	return rp, nil
}

// matches reports whether the filter is empty or equals the value.
func matches[T ~string](filter string, value T) bool { return filter == "" || filter == string(value) }

func unavailable(err error) error {
	if err == nil {
		return nil
	}
	return twirp.NewError(twirp.Unavailable, err.Error())
}
