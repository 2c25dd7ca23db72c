package quota

import "errors"

// Write is a record that is to be stored by a compare-and-swap on the version of
// the one that it was decided on, and on the membership. It must be ended by
// Ledger.ResolveWrite.
type Write struct {
	Team   string
	Event  Event
	Record Record
	Given  Amount // of this controller's share, by a transfer
}

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

// ResolveWrite ends a write of the record. compared is the versions that it
// compares, by key. What a transfer gives away counts while its outcome is not
// known: guards against admitting from it, which does not change the record,
// before the transfer is applied late.
func (l *Ledger) ResolveWrite(w *Write, outcome Outcome, compared map[string]uint64) {
	l.writeInFlight = false
	if outcome == Unknown && !w.Given.IsZero() {
		l.addUncertain(w.Given, compared)
	}
}
