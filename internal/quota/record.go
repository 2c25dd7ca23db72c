package quota

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Record is the stored form of a team's shares. It belongs to the membership
// whose fencing token it names. Two things hold at any time: the shares sum to no
// more than the limit, and the claims on a controller's machines sum to no more
// than its share. So the team's claims never exceed its limit.
type Record struct {
	FencingToken uint64           `cbor:"b"`
	Frozen       bool             `cbor:"f,omitempty"` // about to be shared out anew: no controller admits
	Shares       map[string]Share `cbor:"g,omitempty"` // by label of the controller
}

// Share is the stored form of a controller's part of a team's limit.
type Share struct {
	_    struct{} `cbor:",toarray"`
	CPUs float64
	GPUs float64
}

// ShareOf turns an amount into a share.
func ShareOf(a Amount) Share { return Share{CPUs: a.CPUs, GPUs: a.GPUs} }

// Amount returns the share as an amount.
func (s Share) Amount() Amount { return Amount{s.CPUs, s.GPUs} }

// total is the sum of the shares.
func (r Record) total() Amount {
	var sum Amount
	for _, s := range r.Shares {
		sum = sum.Add(s.Amount())
	}
	return sum
}

// withTransfer is the record with an amount moved from one controller's share to
// another's.
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

// Faults of a record. No controller admits from a record that has one.
var (
	// ErrDamaged says that a record can't be read, or holds an impossible share.
	ErrDamaged = errors.New("damaged record of shares")
	// ErrOverLimit says that the shares sum to more than the team's limit. That is
	// so after operators have lowered the limit.
	ErrOverLimit = errors.New("shares exceed the limit")
)

// Check is the one statement of what holds of a record by itself. Resources
// without a limit are left out.
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
	if total := r.total().maskUnlimited(t.Limit); !total.Within(t.Limit) {
		return fmt.Errorf("%w: %+v of %+v", ErrOverLimit, total, t.Limit)
	}
	return nil
}
