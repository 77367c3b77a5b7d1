// Package workload describes the load that requests put on the targets of a pool.
package workload
