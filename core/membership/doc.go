// Package membership implements the membership protocol of the entry VMs. VMs exchange digests by gossip. A digest carries the
// heartbeats of VMs, and a VM whose heartbeat stops increasing becomes suspect and then dead. Incarnations distinguish the
// successive processes of a VM. The package also tracks the age of the last contact with the store and with each failure domain.
//
// A table holds all VMs of its own failure domain and at most RemotePerDomain VMs of every other one. The size of a digest is
// therefore bounded by the size of a failure domain and the number of failure domains. The types are not safe for concurrent
// use: one goroutine must own them.
package membership
