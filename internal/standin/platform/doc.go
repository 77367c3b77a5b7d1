// Package platform simulates the platform in tests: the object store, with versions, conditional updates and
// watches, and the list of VMs, which reports removals late. Tests use it in memory (Store, Client) or over HTTP
// (Start, Run).
//
// Tests can inject faults for the whole store or for a single client: an unavailable, silent or slow store, lost
// requests and responses, stale reads, and watches that report nothing.
package platform
