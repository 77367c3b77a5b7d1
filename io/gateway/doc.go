// Package gateway implements the daemon for deployments in which targets register themselves and an external system manages
// the configuration.
//
// A request is matched to a route and admitted. Admission checks the API key, the lease of the configuration and the limit of
// the team. The request is then placed on a target and forwarded. Every request gets exactly one final response: the response
// of its target, or a refusal whose status tells whether the request may have run. One goroutine owns the control state;
// request handlers read immutable snapshots of it.
//
// An Adapter hides the header names of the deployment and the protocol of its store.
package gateway
