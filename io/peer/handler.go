package peer

import (
	"net/http"

	"github.com/gorilla/mux"

	"damasklatch/io/peer/peerpb"
)

// maxRequestBytes is the maximum size of a request body. The largest ones are announced manifests and lists of part
// digests.
const maxRequestBytes = 1 << 20

// Backend implements the methods of the twirp services.
type Backend interface {
	peerpb.Peer
	peerpb.Operator
}

// Secrets holds the credentials that the handler accepts. A service with an empty secret rejects every call.
type Secrets struct {
	Fleet    Secret // for calls between daemons
	Operator Secret // for calls of the operator's command
}

// Register adds the twirp services to the router. Each checks the credential and limits the size of the request body.
func Register(rt *mux.Router, bk Backend, sc Secrets) {
	pr, op := peerpb.NewPeerServer(bk), peerpb.NewOperatorServer(bk)
	rt.PathPrefix(pr.PathPrefix()).Handler(requireSecret(sc.Fleet, limitBody(pr)))
	rt.PathPrefix(op.PathPrefix()).Handler(requireSecret(sc.Operator, limitBody(op)))
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, rq *http.Request) {
		rq.Body = http.MaxBytesReader(rw, rq.Body, maxRequestBytes)
		next.ServeHTTP(rw, rq)
	})
}
