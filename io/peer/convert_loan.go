package peer

import (
	"fmt"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
	"damasklatch/io/peer/peerpb"
)

// maxLoanItems is the maximum number of resources in one request for loans or its reply.
const maxLoanItems = 4096

// EncodeAmount converts an amount to its message.
func EncodeAmount(am limit.Amount) *peerpb.Amount {
	return &peerpb.Amount{RateMilli: int64(am.Rate), BurstMilli: int64(am.Burst), TokensMilli: int64(am.Tokens)}
}

// decodeAmount rejects negative amounts, because a negative loan would transfer amounts from the borrower to the lender.
func decodeAmount(pb *peerpb.Amount) (limit.Amount, error) {
	if pb.GetRateMilli() < 0 || pb.GetBurstMilli() < 0 || pb.GetTokensMilli() < 0 {
		return limit.Amount{}, fmt.Errorf("negative amount %v", pb)
	}
	return limit.Amount{
		Rate:   unit.MilliPerSecond(pb.GetRateMilli()),
		Burst:  unit.Milli(pb.GetBurstMilli()),
		Tokens: unit.Milli(pb.GetTokensMilli()),
	}, nil
}

// decodeAmounts converts two amounts of one message.
func decodeAmounts(first, second *peerpb.Amount) (limit.Amount, limit.Amount, error) {
	am, err := decodeAmount(first)
	if err != nil {
		return limit.Amount{}, limit.Amount{}, err
	}
	ot, err := decodeAmount(second)
	return am, ot, err
}

// EncodeBorrowRequest converts a request for loans to its message. The caller sets Stamp.
func EncodeBorrowRequest(rq limit.BorrowRequest) *peerpb.BorrowRequest {
	pb := &peerpb.BorrowRequest{Borrower: EncodeID(rq.Borrower), Lender: EncodeID(rq.Lender)}
	for _, it := range rq.Items {
		pb.Items = append(pb.Items, &peerpb.BorrowItem{
			Resource: string(it.Resource), Sequence: it.Sequence,
			Held: EncodeAmount(it.Held), Wanted: EncodeAmount(it.Wanted),
		})
	}
	return pb
}

// DecodeBorrowRequest converts a message to a request for loans. It returns an error if an ID is invalid, an amount is
// negative or there are too many resources.
func DecodeBorrowRequest(pb *peerpb.BorrowRequest) (limit.BorrowRequest, error) {
	var rq limit.BorrowRequest
	if len(pb.GetItems()) > maxLoanItems {
		return rq, fmt.Errorf("request for %d loans exceeds the limit of %d", len(pb.GetItems()), maxLoanItems)
	}
	var err error
	if rq.Borrower, err = DecodeID(pb.GetBorrower()); err != nil {
		return rq, err
	}
	if rq.Lender, err = DecodeID(pb.GetLender()); err != nil {
		return rq, err
	}
	for _, it := range pb.GetItems() {
		held, wanted, err := decodeAmounts(it.GetHeld(), it.GetWanted())
		if err != nil {
			return rq, fmt.Errorf("loan of %q: %w", it.GetResource(), err)
		}
		rq.Items = append(rq.Items, limit.BorrowItem{
			Resource: id.Resource(it.GetResource()), Sequence: it.GetSequence(), Held: held, Wanted: wanted,
		})
	}
	return rq, nil
}

// EncodeBorrowReply converts a reply to a request for loans to its message. The caller sets Stamp.
func EncodeBorrowReply(rp limit.BorrowReply) *peerpb.BorrowReply {
	pb := &peerpb.BorrowReply{Lender: EncodeID(rp.Lender)}
	for _, gr := range rp.Grants {
		pb.Grants = append(pb.Grants, &peerpb.Grant{
			Resource: string(gr.Resource), Sequence: gr.Sequence,
			Granted: EncodeAmount(gr.Granted), Spare: EncodeAmount(gr.Spare),
			LifetimeMs: uint32(gr.Lifetime.Milliseconds()), // rounded down, so that a loan never lasts longer than granted
		})
	}
	return pb
}

// DecodeBorrowReply converts a message to a reply to a request for loans. It returns an error if the ID is invalid, an
// amount is negative or there are too many loans.
func DecodeBorrowReply(pb *peerpb.BorrowReply) (limit.BorrowReply, error) {
	var rp limit.BorrowReply
	if len(pb.GetGrants()) > maxLoanItems {
		return rp, fmt.Errorf("reply with %d loans exceeds the limit of %d", len(pb.GetGrants()), maxLoanItems)
	}
	var err error
	if rp.Lender, err = DecodeID(pb.GetLender()); err != nil {
		return rp, err
	}
	for _, gr := range pb.GetGrants() {
		granted, spare, err := decodeAmounts(gr.GetGranted(), gr.GetSpare())
		if err != nil {
			return rp, fmt.Errorf("loan of %q: %w", gr.GetResource(), err)
		}
		rp.Grants = append(rp.Grants, limit.Grant{
			Resource: id.Resource(gr.GetResource()), Sequence: gr.GetSequence(), Granted: granted, Spare: spare,
			Lifetime: time.Duration(gr.GetLifetimeMs()) * time.Millisecond,
		})
	}
	return rp, nil
}

// EncodeResource converts the status of a resource to its message.
func EncodeResource(st limit.ResourceStatus) *peerpb.ResourceStatus {
	return &peerpb.ResourceStatus{
		Resource: string(st.Resource), Kind: string(st.Kind),
		Owned: EncodeAmount(st.Owned), Lent: EncodeAmount(st.Lent), Borrowed: EncodeAmount(st.Borrowed),
		AdmittedMilli: int64(st.Admitted), RefusedMilli: int64(st.Refused),
		SlotsMilli: int64(st.Slots), InFlightMilli: int64(st.InFlight),
	}
}
