// Package cli implements the command line of damasklatch-standin, which runs stand-ins for the platform, the targets
// and the callers, and reports on a run.
package cli
