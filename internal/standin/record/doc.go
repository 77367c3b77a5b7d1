// Package record defines the records that the simulated callers and targets write, and reads and writes them as
// files of JSON lines. Tests verify the system from these records only, never from data that the daemons under test
// report about themselves.
package record
