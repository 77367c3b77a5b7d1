package gateway

import (
	"net/http"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/place"
	"damasklatch/core/roster"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

// Adapter speaks the protocols of a deployment.
type Adapter interface {
	HeaderCodec
	ObjectCodec
	// OpenStore returns a client of the deployment's store.
	OpenStore(address string) objects.Store
	// LookupHandler answers the question which VMs a caller should use.
	LookupHandler(dr Directory) http.Handler
	// ReadyHandler answers the question whether this VM takes requests.
	ReadyHandler(ready func() bool) http.Handler
}

// Directory names the VMs that callers should use.
type Directory interface {
	// Entries returns addresses of VMs for a caller in a failure domain and region, and for how long they hold.
	Entries(fd id.FailureDomain, rg id.Region) (addresses []string, ttl time.Duration)
}

// Kinds are the names of the kinds of objects in the store.
type Kinds struct {
	Config, Targets, Evacuations, VMs objects.Kind
}

// ObjectCodec decodes the objects of the store.
type ObjectCodec interface {
	Kinds() Kinds
	// DecodeConfig decodes the newest configuration. The error says why it is not valid.
	DecodeConfig(all map[string]objects.Object) (routing.Config, error)
	// DecodeTarget decodes the registration of a target, whose region is not known.
	DecodeTarget(ob objects.Object) (place.Target, error)
	// DecodeEvacuation decodes the failure domain that gets no work.
	DecodeEvacuation(ob objects.Object) id.FailureDomain
	// DecodePeer decodes the registration of a VM; PeerSpec encodes it.
	DecodePeer(ob objects.Object) (roster.Peer, error)
	EncodePeer(pr roster.Peer) any
}

// HeaderCodec translates the headers of requests and responses.
type HeaderCodec interface {
	// DecodeRequest decodes the header of a request.
	DecodeRequest(hd http.Header) RequestInfo
	// RewriteRequest turns the header of a request, without those fields that concern one connection, into that for a target.
	RewriteRequest(hd http.Header, fw ForwardInfo)
	// DecodeResponse decodes the header of a target's response.
	DecodeResponse(status int, hd http.Header) ResponseInfo
	// FilterResponse removes from a response what is not for the caller.
	FilterResponse(hd http.Header)
}

// RequestInfo is what the header of a request says.
type RequestInfo struct {
	ID       id.Request
	Deadline time.Duration // how long the caller waits; zero if it does not say
	Object   string        // requests on the same object have the same value
	Key      string        // empty if there is none
}

// ForwardInfo is what a target is told besides the request.
type ForwardInfo struct {
	Target    id.Target // no other one runs the request
	Team      id.Team   // empty on open routes
	Remaining time.Duration
}

// ResponseInfo is what the header of a response says.
type ResponseInfo struct {
	ID          id.Request // of the request that it belongs to; empty if it does not say
	NotRun      bool       // the target has not run the request and will not
	Misplaced   bool       // another target has the address
	Signed      bool       // a target made it
	Load        *place.Load
	IdleTimeout time.Duration // how long the target keeps an idle connection; zero if it does not say
}
