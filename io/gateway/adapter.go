package gateway

import (
	"net/http"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/roster"
	"damasklatch/core/routing"
	"damasklatch/io/objects"
)

// Adapter connects the gateway to one deployment: its headers, its store, and the requests by which callers find gateways.
type Adapter interface {
	HeaderCodec
	ObjectCodec
	// OpenStore returns a client of the deployment's store at an address. It does not connect yet.
	OpenStore(address string) objects.Store
	// LookupHandler returns the handler that tells callers which VMs they should use, as listed by a Directory.
	LookupHandler(dr Directory) http.Handler
	// ReadyHandler returns the handler that tells whether this VM accepts requests.
	ReadyHandler(ready func() bool) http.Handler
}

// Directory lists the VMs that callers should use. It is safe for concurrent use.
type Directory interface {
	// Entries returns the addresses of VMs for a caller in a failure domain and region, and for how long the caller may keep
	// them.
	Entries(fd id.FailureDomain, rg id.Region) (addresses []string, ttl time.Duration)
}

// Kinds holds the names under which the store has the kinds of objects that a gateway reads.
type Kinds struct {
	Config, Targets, Evacuations, VMs objects.Kind
}

// ObjectCodec decodes the objects of the store, and encodes the registration of this VM.
type ObjectCodec interface {
	// Kinds returns the names of the kinds, which never change.
	Kinds() Kinds
	// DecodeConfig decodes the newest configuration among the objects. The error tells why it is invalid.
	DecodeConfig(all map[string]objects.Object) (routing.Config, error)
	// DecodeTarget decodes the registration of a target. It doesn't set the region.
	DecodeTarget(ob objects.Object) (placement.Target, error)
	// DecodeEvacuation decodes the failure domain that must get no requests.
	DecodeEvacuation(ob objects.Object) id.FailureDomain
	// DecodePeer decodes the registration of a VM. The error tells why it is invalid.
	DecodePeer(ob objects.Object) (roster.Peer, error)
	// EncodePeer returns the registration of a VM as the content of an object to write to the store. The name of the VM may
	// be left out of it, because it is the name of the object.
	EncodePeer(pr roster.Peer) any
}

// HeaderCodec translates between the headers of a deployment and those of the gateway. It is safe for concurrent use.
type HeaderCodec interface {
	// DecodeRequest decodes the header of a caller's request.
	DecodeRequest(hd http.Header) RequestInfo
	// RewriteRequest changes the header of a caller's request into the header sent to a target. Hop-by-hop fields are already
	// removed.
	RewriteRequest(hd http.Header, fw ForwardInfo)
	// ResponseID returns the ID of the request that a target's response answers; empty if the header has none.
	ResponseID(hd http.Header) id.Request
	// DecodeResponse decodes the status and header of a target's response.
	DecodeResponse(status int, hd http.Header) ResponseInfo
	// FilterResponse removes the fields of a target's response that are not meant for the caller.
	FilterResponse(hd http.Header)
}

// RequestInfo holds what a caller's header says.
type RequestInfo struct {
	ID       id.Request
	Deadline time.Duration // how long the caller waits; zero if unknown
	Object   string        // names the object that the request is about, for affinity; may be empty
	Key      string        // API key; empty if there is none
}

// ForwardInfo holds what a forwarded request tells the target about it.
type ForwardInfo struct {
	Target    id.Target     // the only target that may run the request
	Team      id.Team       // empty for anonymous requests
	Remaining time.Duration // until the deadline of the request
}

// ResponseInfo holds what a target's status and header say.
type ResponseInfo struct {
	NotRun      bool            // the target has not run the request and will not run it
	Misplaced   bool            // the address now belongs to another target
	Signed      bool            // a target has signed the response
	Load        *placement.Load // load that the target reports; nil if there is none
	InvalidLoad bool            // a figure of the load report can't be read
	IdleTimeout time.Duration   // how long the target keeps idle connections open; zero if unknown
	// Notice is what the target says about itself.
	Notice placement.Notice
	// InvalidNotice is set if the response has a field for a notice with a value that has no meaning. Such a field is ignored.
	InvalidNotice bool
}
