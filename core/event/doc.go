// Package event records the events of a process for the timeline of the fleet.
//
// Every event carries a timestamp of a hybrid logical clock. Processes send their timestamps along with messages. Sorting by
// timestamp therefore puts a cause before its effect even if the wall clocks of two VMs differ.
package event
