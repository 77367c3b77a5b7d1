package peer

import (
	"context"

	"damasklatch/io/peer/peerpb"
)

// OperatorClient calls daemons for the operator's command.
type OperatorClient struct{ cs *Clients }

// NewOperatorClient returns a client that presents the operator's secret. It is safe for concurrent use.
func NewOperatorClient(sc Secret) *OperatorClient {
	return &OperatorClient{cs: NewClients(ClientOptions{Secret: sc})}
}

func callOperator[Rq, Rp any](ctx context.Context, oc *OperatorClient, addr, name string, rq Rq,
	fn func(peerpb.Operator, context.Context, Rq) (Rp, error),
) (Rp, error) {
	client := peerpb.NewOperatorProtobufClient("http://"+addr, oc.cs.hc)
	return call(ctx, oc.cs, addr, name, transferTimeout, rq,
		func(_ peerpb.Peer, ctx context.Context, rq Rq) (Rp, error) { return fn(client, ctx, rq) })
}

// Announce sends an accepted manifest to the daemon at the address.
func (oc *OperatorClient) Announce(ctx context.Context, addr string, manifest []byte) (*peerpb.AnnounceReply, error) {
	return callOperator(ctx, oc, addr, "Announce", &peerpb.AnnounceRequest{Manifest: manifest}, peerpb.Operator.Announce)
}

// Status returns the status of the daemon at the address.
func (oc *OperatorClient) Status(ctx context.Context, addr string) (*peerpb.StatusReply, error) {
	return callOperator(ctx, oc, addr, "Status", new(peerpb.StatusRequest), peerpb.Operator.Status)
}

// Timeline returns the events that the daemon at the address recorded.
func (oc *OperatorClient) Timeline(ctx context.Context, addr string, rq *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	return callOperator(ctx, oc, addr, "Timeline", rq, peerpb.Operator.Timeline)
}
