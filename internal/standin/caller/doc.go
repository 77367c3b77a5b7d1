// Package caller simulates the callers of the gateways. They look up entry VMs, send requests with the API key of their
// team and a ticket, retry where a retry can't run work twice, check every response against its request, and record
// every attempt.
package caller
