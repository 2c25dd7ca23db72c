package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Record is the stored form of a team's shares. It belongs to the membership with
// its fencing token. Two invariants keep the team's claims within its limit: the sum
// of the shares never exceeds the limit, and the sum of the claims on a controller's
// machines never exceeds the controller's share.
type Record struct {
	FencingToken uint64           `cbor:"b"`
	Frozen       bool             `cbor:"f,omitempty"` // no controller admits work until the limit is divided again
	Shares       map[string]Share `cbor:"g,omitempty"` // by the controller's label
}

// Share is the stored form of a controller's part of a team's limit.
type Share struct {
	_    struct{} `cbor:",toarray"`
	CPUs float64
	GPUs float64
}

// ShareOf converts an amount to a share.
func ShareOf(a Amount) Share { return Share{CPUs: a.CPUs, GPUs: a.GPUs} }

// Amount converts the share to an amount.
func (s Share) Amount() Amount { return Amount{s.CPUs, s.GPUs} }

// total returns the sum of the shares.
func (r Record) total() Amount {
	var sum Amount
	for _, s := range r.Shares {
		sum = sum.Add(s.Amount())
	}
	return sum
}

// withTransfer returns a copy of the record with an amount moved from one
// controller's share to another's.
func (r Record) withTransfer(from, to string, amount Amount) Record {
	next := r
	next.Shares = maps.Clone(r.Shares)
	if next.Shares == nil {
		next.Shares = map[string]Share{}
	}
	next.Shares[from] = ShareOf(next.Shares[from].Amount().Sub(amount))
	next.Shares[to] = ShareOf(next.Shares[to].Amount().Add(amount))
	return next
}

// Errors of Record.Check. No controller admits work from a record that has one.
var (
	// ErrDamaged means that a record can't be decoded or holds an invalid share.
	ErrDamaged = errors.New("damaged record of shares")
	// ErrOverLimit means that the shares sum to more than the team's limit, which
	// happens after operators have lowered the limit.
	ErrOverLimit = errors.New("shares exceed the limit")
)

// Check checks the record on its own against the team's limit. It is the single
// definition of a valid record. Resources without a limit are ignored, except that
// a share that is not finite is always an error.
func (r Record) Check(t Team) error {
	for _, controller := range slices.Sorted(maps.Keys(r.Shares)) {
		share := r.Shares[controller].Amount()
		if !share.finite() {
			return fmt.Errorf("%w: share of %s is no number", ErrDamaged, controller)
		}
		if share = share.maskUnlimited(t.Limit); share.CPUs < -epsilon || share.GPUs < -epsilon {
			return fmt.Errorf("%w: share of %s is %+v", ErrDamaged, controller, share)
		}
	}
	if total := r.total().maskUnlimited(t.Limit); !total.WithinLimit(t.Limit) {
		return fmt.Errorf("%w: %+v of %+v", ErrOverLimit, total, t.Limit)
	}
	return nil
}
