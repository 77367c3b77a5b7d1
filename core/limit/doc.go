// Package limit implements the share ledger. It divides limits that hold for many VMs among these VMs, so that a VM
// can admit requests without exchanging messages.
//
// A VM owns a fixed fraction of every limit. It lends what it does not need to other VMs for a short time. At every
// moment the sum over all VMs of the usable rate, burst and tokens, including tokens in messages, is at most the
// total. The fleet therefore admits at most rate*t + burst in any window of length t. Section 6 of docs/design.md
// describes the rules.
//
// Rates are in thousandths of a unit per second; bursts, tokens and slots are in thousandths of a unit. The unit is a
// request for teams and shift caps, and a byte for links. The package performs no I/O, starts no goroutine and reads
// no clock. Times that are passed in must come from time.Now, so that they carry a monotonic clock reading. The
// methods of Bucket and Slots are safe for concurrent use. The methods of Ledger must be called from one goroutine,
// except Ledger.Bucket and Ledger.Slots, which any goroutine may call.
package limit
