// Package routing finds the route and the team of a request in a configuration that an external system manages.
//
// It takes the place of core/config and core/lookup in deployments where a route is selected by host and path prefix and
// targets register themselves. A Table is immutable.
package routing
