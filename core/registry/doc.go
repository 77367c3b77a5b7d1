// Package registry lets the services of a process find each other by name.
package registry
