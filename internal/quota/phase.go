package quota

import (
	"errors"
	"fmt"
)

// Phase is the state of a team's shares. It is derived from the stored record.
type Phase string

// The phases of a team's shares.
const (
	// Unlimited: the team has no limit and needs no shares.
	Unlimited Phase = "unlimited"
	// Undivided: the record belongs to another membership, or there is none.
	// No controller admits work until the leader has divided the limit.
	Undivided Phase = "unshared"
	// Shared: each member admits work within its share.
	Shared Phase = "shared"
	// Frozen: no controller admits work. The leader divides the limit again once it
	// has read all claims that were stored before the freeze.
	Frozen Phase = "frozen"
	// OverLimit: the shares sum to more than the limit, because it was lowered.
	// No controller admits work until enough claims are released and the limit is
	// divided again.
	OverLimit Phase = "over limit"
	// Damaged: the record can't be decoded or holds invalid shares. No controller
	// admits work. The leader freezes the shares and computes new ones from the
	// claims.
	Damaged Phase = "damaged"
)

// Event is a kind of write of the record.
type Event string

// The events of a team's shares.
const (
	DivideLimit   Event = "share out" // the leader divides the limit and writes new shares
	Freeze        Event = "freeze"    // the leader stops admissions before it divides the limit again
	ReassignShare Event = "hand over" // the leader admits work on machines of other shard owners and moves share to them for it
	Transfer      Event = "transfer"  // a controller gives share that it does not need to another controller
)

// ErrPhaseNotAllowed means that an operation is not allowed in the current phase.
var ErrPhaseNotAllowed = errors.New("not allowed in the current phase of the shares")

// Next returns the phase that an event leads to as long as the shares stay within
// the limit, or ErrPhaseNotAllowed if the event is not allowed in phase p. It is the single
// definition of the allowed transitions.
func (p Phase) Next(e Event) (Phase, error) {
	switch {
	case e == DivideLimit && (p == Undivided || p == Frozen):
		return Shared, nil
	case e == Freeze && (p == Shared || p == OverLimit || p == Damaged):
		return Frozen, nil
	case (e == ReassignShare || e == Transfer) && p == Shared:
		return Shared, nil
	}
	return p, fmt.Errorf("%w: event %q in phase %q", ErrPhaseNotAllowed, e, p)
}
