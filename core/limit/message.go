package limit

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Distance is the network distance to a peer. A VM borrows from closer peers first.
type Distance int

// Distances, from the closest to the farthest.
const (
	SameFailureDomain Distance = iota
	SameRegion
	OtherRegion
)

// Peer is a live VM that can be asked for loans.
type Peer struct {
	ID       id.VMIncarnation
	Distance Distance
}

// BorrowRequest asks one lender to grant, renew or take back loans.
type BorrowRequest struct {
	Borrower id.VMIncarnation
	Lender   id.VMIncarnation
	Items    []BorrowItem
}

// BorrowItem is the request for one resource. Held is what the borrower still uses of earlier loans. Wanted is the
// total that it wants, including Held; Wanted.Tokens is the number of tokens that it lacks. The sequence number
// increases with every item of a borrower.
type BorrowItem struct {
	Resource id.Resource
	Sequence uint64
	Held     Amount
	Wanted   Amount
}

// BorrowReply answers a BorrowRequest. It has no grants for items that the lender has already received, and none for
// items that arrive after a later item for the same resource.
type BorrowReply struct {
	Lender id.VMIncarnation
	Grants []Grant
}

// Grant answers a BorrowItem. Granted replaces earlier loans of the resource from this lender; its tokens are added
// to the tokens of the borrower. Lifetime is the duration of the loan, counted from when the request was sent. It is
// part of the message because lender and borrower may have different settings while a new configuration spreads.
// Spare is what the lender could still lend.
type Grant struct {
	Resource id.Resource
	Sequence uint64
	Granted  Amount
	Spare    Amount
	Lifetime time.Duration
}

// ResourceStatus describes one resource of a VM. Admitted and Refused are totals since the process started.
type ResourceStatus struct {
	Resource id.Resource
	Kind     Kind
	Owned    Amount
	Lent     Amount
	Borrowed Amount
	Usable   Amount // current limit and tokens of the bucket
	Demand   unit.MilliPerSecond
	Slots    unit.Milli // owned slots
	InFlight unit.Milli // slots in use
	Admitted unit.Milli
	Refused  unit.Milli
}
