package quota

import (
	"errors"
	"time"
)

// Ledger is what a controller knows of one team's limit: the stored shares, and
// its own admissions that are not seen among the stored claims yet.
type Ledger struct {
	team      Team
	options   Options
	record    Record
	version   uint64 // of the stored record
	decodeErr error  // why the stored record can't be read
	checkErr  error  // what Record.Check finds in it

	inFlight      Amount               // admitted, the write is under way
	uncertain     []UncertainAdmission // admitted, the outcome of the write is not known
	writeInFlight bool                 // a write of the record by this controller is under way

	shortageSince time.Time // since when work waits though the limit is not used up
	frozenAt      time.Time // when this controller last froze the shares
	transferredAt time.Time // when this controller last transferred part of its share

	waitTimes waitTimes // of the leader
}

// Team returns the team's settings.
func (l *Ledger) Team() Team { return l.team }

// Record returns the stored record as it was last read.
func (l *Ledger) Record() Record { return l.record }

// Damage says why the stored record can't be used; nil if it can.
func (l *Ledger) Damage() error {
	if l.decodeErr != nil {
		return l.decodeErr
	}
	if errors.Is(l.checkErr, ErrDamaged) {
		return l.checkErr
	}
	return nil
}

// Phase is the phase that the shares are in under a membership, which its
// fencing token names.
func (l *Ledger) Phase(token uint64) Phase {
	switch {
	case !l.team.Limited():
		return Unlimited
	case l.decodeErr != nil:
		return Damaged
	case l.record.FencingToken != token:
		return Unshared
	case l.record.Frozen:
		return Frozen
	case errors.Is(l.checkErr, ErrOverLimit):
		return OverLimit
	case l.checkErr != nil:
		return Damaged
	}
	return Shared
}

// Writing reports whether this controller has a write of the record under way.
func (l *Ledger) Writing() bool { return l.writeInFlight }

// Allowance is what a pass of placement may still give to the team. used is what
// its claims take, scale how much of its guarantee it has (Manager.Scale).
func (l *Ledger) Allowance(v View, used, scale Amount) *Allowance {
	a := &Allowance{Used: used, Limit: l.team.Limit, Guarantee: l.team.Guarantee.scaled(scale)}
	if !l.team.Limited() {
		return a
	}
	a.Left = map[string]Amount{}
	if l.Phase(v.FencingToken) != Shared {
		return a
	}
	for controller := range l.record.Shares {
		a.Left[controller] = l.remaining(v, controller)
	}
	return a
}

// remaining is what a controller may still admit within its share.
func (l *Ledger) remaining(v View, controller string) Amount {
	remaining := l.unclaimed(v, controller)
	if controller != v.Self {
		return remaining // what others have under way is not known here
	}
	inFlight, uncertain := l.Pending()
	return remaining.Sub(inFlight).Sub(uncertain)
}

// unclaimed is what the stored claims leave of a controller's share.
func (l *Ledger) unclaimed(v View, controller string) Amount {
	return l.record.Shares[controller].Amount().Sub(v.claimedBy(controller, l.team.Name))
}
