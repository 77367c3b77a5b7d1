// Package store is the client of the platform store. The store holds versioned objects with conditional updates and
// watches, and the platform's list of VMs. Section 12 of docs/design.md describes the protocol.
package store
