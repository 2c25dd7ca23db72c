package quota

import "errors"

// Write is a record to be stored by a compare-and-swap on the version of the record
// that it was decided on, and on the membership. The caller must pass it and its
// outcome to Ledger.ResolveWrite.
type Write struct {
	Team        string
	Event       Event
	Record      Record
	Transferred Amount // the part of this controller's share that a transfer moves
}

// Outcome is the outcome of a write.
type Outcome int

// The outcomes of a write.
const (
	OutcomeStored    Outcome = iota // the write was applied
	OutcomeNotStored                // the write was not applied and never will be
	OutcomeUnknown                  // no response: the write may have been applied or may still be
)

// beginWrite starts a write of the record. Every write of the record starts here.
func (l *Ledger) beginWrite(v View, e Event, next Record) error {
	if l.writeInFlight {
		return ErrWriteInFlight
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

// ResolveWrite ends a write of the record. compared holds the versions that the
// write compares, by key. The amount of a transfer counts against the share while
// the outcome is unknown. Otherwise this controller could admit work within that
// amount, which does not change the record, before the transfer is applied late.
func (l *Ledger) ResolveWrite(w *Write, outcome Outcome, compared map[string]uint64) {
	l.writeInFlight = false
	if outcome == OutcomeUnknown && !w.Transferred.IsZero() {
		l.addUncertain(w.Transferred, compared)
	}
}
