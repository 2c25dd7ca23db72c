package quota

import (
	"errors"
	"fmt"
)

// Phase is the state of a team's shares, as it follows from the stored record.
type Phase string

// Phases of a team's shares.
const (
	// Unlimited: the team has no limit and needs no shares.
	Unlimited Phase = "unlimited"
	// Unshared: the record belongs to another membership, or there is none.
	// No controller admits until the leader has shared the limit out.
	Unshared Phase = "unshared"
	// Shared: each member admits within its share.
	Shared Phase = "shared"
	// Frozen: no controller admits; the leader shares the limit out anew once it has
	// read all claims that were stored before.
	Frozen Phase = "frozen"
	// OverLimit: the shares sum to more than the limit, which was lowered.
	// No controller admits until enough is released and the limit is shared out
	// anew.
	OverLimit Phase = "over limit"
	// Damaged: the record can't be read or holds impossible shares. No controller
	// admits; the leader freezes it and shares out from the claims.
	Damaged Phase = "damaged"
)

// Event is a write of the record.
type Event string

// Events of a team's shares.
const (
	ShareOut Event = "share out" // the leader writes new shares
	Freeze   Event = "freeze"    // the leader stops admissions to share out anew
	HandOver Event = "hand over" // the leader admits on others' machines and gives the shard owners the share for it
	Transfer Event = "transfer"  // a controller gives what it does not need to another
)

// ErrPhase says that an event does not belong to the phase.
var ErrPhase = errors.New("not in this phase")

// Next is the one function that says which writes of the record may follow, and
// which phase they lead to while the limit holds. Another write is ErrPhase.
func (p Phase) Next(e Event) (Phase, error) {
	switch {
	case e == ShareOut && (p == Unshared || p == Frozen):
		return Shared, nil
	case e == Freeze && (p == Shared || p == OverLimit || p == Damaged):
		return Frozen, nil
	case (e == HandOver || e == Transfer) && p == Shared:
		return Shared, nil
	}
	return p, fmt.Errorf("%w: %s of shares that are %s", ErrPhase, e, p)
}
