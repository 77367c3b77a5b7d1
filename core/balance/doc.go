// Package balance chooses the target for a request among the targets of a pool.
//
// It draws two random targets and chooses the one with the lower score (power of two choices). The score combines the
// load that the target reports, the requests of this VM in flight there, and the observed latency and failure rate. New
// and returning targets go through a slow start. Dead targets and outliers are ejected for a limited time. Draining
// targets get no new requests. No function reads the clock; callers pass the current time.
package balance
