// Package roster holds what a VM knows of the other VMs of the fleet.
//
// VMs tell each other their state on two levels, so that the cost for each follows the size of its failure domain and the
// number of failure domains, not the square of the fleet. Every VM reports to two speakers of its failure domain, those with
// the fastest links. A speaker sums up what it hears and exchanges the summary with the speakers of the other failure
// domains; it passes all summaries on to the VMs that report to it. A summary names each VM with the age of its last sign of
// life, so news of a VM never looks newer than it is.
//
// A report repeats the sender's newest stamp of the receiver, which bounds the age of the evidence in it: the report was sent
// after the stamp was.
package roster
