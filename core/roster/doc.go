// Package roster tracks the other VMs of the fleet: their registrations, their state, and when each last gave a sign of life.
//
// VMs exchange their state on two levels. The cost of a VM therefore grows with the size of its failure domain and with the
// number of failure domains, but not with the square of the fleet.
//
//   - Every VM sends reports to the aggregators of its failure domain. These are the two VMs with the fastest network links.
//   - An aggregator combines the reports into a summary and exchanges summaries with the aggregators of the other failure
//     domains. It passes all summaries on to the VMs that report to it.
//
// A summary lists each VM with the age of its last sign of life. A VM that is known from a summary therefore never appears to
// have been seen more recently than it was.
//
// A report echoes the newest instant that its sender received from the receiver. The report was sent after that instant, which
// bounds the age of the evidence in the report.
//
// ListForCallers chooses the VMs of a region that callers are told to use.
package roster
