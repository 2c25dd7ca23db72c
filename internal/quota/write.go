package quota

import "errors"

// Outcome is what became of a write.
type Outcome int

// Outcomes of a write.
const (
	Stored  Outcome = iota // it was applied
	Failed                 // it was not and never will be
	Unknown                // no answer: it may have been, or may yet be, applied
)

// beginWrite starts a write of the record; it is the one place where that happens.
func (l *Ledger) beginWrite(v View, e Event, next Record) error {
	if l.writeInFlight {
		return ErrBusy
	}
	if _, err := l.Phase(v.FencingToken).Next(e); err != nil {
		return err
	}
	if err := next.Check(l.team); err != nil && !errors.Is(err, ErrOverLimit) {
		return err
	}
	l.writeInFlight = true
	return nil
}

// ResolveWrite ends a write of the record. guards are those that it had. What a
// transfer gives away counts while its outcome is in doubt: guards against
// admitting from it, which does not change the record, before the transfer is
// applied late.
func (l *Ledger) ResolveWrite(w *Write, outcome Outcome, guards map[string]uint64) {
	l.writeInFlight = false
	if outcome == Unknown && !w.Given.IsZero() {
		l.uncertain = append(l.uncertain, UncertainAdmission{Guards: guards, Amount: w.Given})
	}
}

// Write is a record that is to be stored, guarded by the version of the one that
// it was decided on and by the membership. It must be ended by Ledger.Written.
type Write struct {
	Team   string
	Event  Event
	Record Record
	Given  Amount // of this node's share, by a transfer
}
