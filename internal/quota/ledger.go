package quota

import (
	"errors"
	"time"
)

// Ledger is a controller's state of one team's quota: the stored shares, and the
// controller's own admissions that it has not yet seen among the stored claims.
type Ledger struct {
	team      Team
	options   Options
	record    Record
	version   uint64 // of the stored record
	decodeErr error  // why the stored record can't be decoded
	checkErr  error  // the result of Record.Check for it

	inFlight      Amount            // admitted; the write is in flight
	uncertain     []UncertainAmount // admitted; the outcome of the write is unknown
	writeInFlight bool              // a write of the record by this controller is in flight

	shortageSince time.Time // since when work waits although the limit is not used up; zero: it does not
	frozenAt      time.Time // when this controller last decided to freeze the shares
	transferredAt time.Time // when this controller last decided to transfer part of its share

	waitTimes waitTimes // used by the leader only
}

// Team returns the team's settings.
func (l *Ledger) Team() Team { return l.team }

// Record returns the stored record as last read.
func (l *Ledger) Record() Record { return l.record }

// DamageError returns why the stored record can't be used, or nil if it can.
func (l *Ledger) DamageError() error {
	if l.decodeErr != nil {
		return l.decodeErr
	}
	if errors.Is(l.checkErr, ErrDamaged) {
		return l.checkErr
	}
	return nil
}

// Phase returns the phase of the shares under the membership with a fencing token.
func (l *Ledger) Phase(token uint64) Phase {
	switch {
	case !l.team.Limited():
		return Unlimited
	case l.decodeErr != nil:
		return Damaged
	case l.record.FencingToken != token:
		return Undivided
	case l.record.Frozen:
		return Frozen
	case errors.Is(l.checkErr, ErrOverLimit):
		return OverLimit
	case l.checkErr != nil:
		return Damaged
	}
	return Shared
}

// WriteInFlight reports whether a write of the record by this controller is in flight.
func (l *Ledger) WriteInFlight() bool { return l.writeInFlight }

// Allowance returns the quota that a placement pass may still grant to the team.
// used is what the team's claims take; scale is the fraction of its guarantee that
// it gets (see Manager.GuaranteeScale).
func (l *Ledger) Allowance(v View, used, scale Amount) *Allowance {
	a := &Allowance{Used: used, Limit: l.team.Limit, Guarantee: l.team.Guarantee.scaled(scale)}
	if !l.team.Limited() {
		return a
	}
	a.Remaining = map[string]Amount{}
	if l.Phase(v.FencingToken) != Shared {
		return a
	}
	for controller := range l.record.Shares {
		a.Remaining[controller] = l.remaining(v, controller)
	}
	return a
}

// remaining returns what a controller may still admit within its share.
func (l *Ledger) remaining(v View, controller string) Amount {
	remaining := l.unclaimed(v, controller)
	if controller != v.Self {
		return remaining // the in-flight admissions of other controllers are not known here
	}
	inFlight, uncertain := l.UnconfirmedAmounts()
	return remaining.Sub(inFlight).Sub(uncertain)
}

// unclaimed returns the part of a controller's share that no stored claim takes.
func (l *Ledger) unclaimed(v View, controller string) Amount {
	return l.record.Shares[controller].Amount().Sub(v.claimedBy(controller, l.team.Name))
}
