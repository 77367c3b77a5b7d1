// Package kernel is the micro-kernel of a process: services register under a name and find each other by it.
package registry
