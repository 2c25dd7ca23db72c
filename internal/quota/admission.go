package quota

import (
	"errors"
	"fmt"
)

// Reasons why an admission is refused.
var (
	// ErrBusy says that a write of the record is under way.
	ErrBusy = errors.New("shares are being written")
	// ErrShareUsed says that the controller's share does not cover the admission.
	ErrShareUsed = errors.New("share is used up")
)

// Admission is room of a team's limit that a write of claims takes.
type Admission struct {
	Team   string
	Amount Amount
	// Next is the record that the same write must store, if the claims are on
	// other controllers' machines; else nil. With or without it, the write
	// compares the record's version.
	Next *Record
}

// UncertainAdmission is an admission whose write got no answer. It may be applied
// until one of the keys that the write compares has changed, and counts until
// everything up to that change has been read.
type UncertainAdmission struct {
	Compares map[string]uint64 // the versions that the write compares, by key
	Amount   Amount

	conflictRevision uint64 // revision by which a compared key has changed; 0: none seen to have
}

// Admit takes room for claims of an amount. others is the part of it on other
// controllers' machines, by shard owner: the owners get that part of this
// controller's share. The admission must be ended by ResolveAdmission with the
// outcome of its write. It is nil if the team has no limit.
func (l *Ledger) Admit(v View, amount Amount, onOthers map[string]Amount) (*Admission, error) {
	if !l.team.Limited() {
		return nil, nil
	}
	if phase := l.Phase(v.FencingToken); phase != Shared {
		return nil, fmt.Errorf("%w: admission from shares that are %s", ErrPhase, phase)
	}
	if l.writeInFlight {
		return nil, ErrBusy
	}
	if remaining := l.remaining(v, v.Self); !amount.fits(remaining, l.team.Limit) {
		return nil, fmt.Errorf("%w: %+v of %+v", ErrShareUsed, amount, remaining)
	}
	admission := &Admission{Team: l.team.Name, Amount: amount}
	if len(onOthers) > 0 {
		next := l.record
		for owner, part := range onOthers {
			next = next.withTransfer(v.Self, owner, part)
		}
		if err := l.beginWrite(v, HandOver, next); err != nil {
			return nil, err
		}
		admission.Next = &next
	}
	l.inFlight = l.inFlight.Add(amount)
	return admission, nil
}

// ResolveAdmission ends an admission. compared is the versions that its write
// compares, by key.
func (l *Ledger) ResolveAdmission(a *Admission, outcome Outcome, compared map[string]uint64) {
	l.inFlight = l.inFlight.Sub(a.Amount)
	if a.Next != nil {
		l.writeInFlight = false
	}
	if outcome == Unknown {
		// Guards against a late application beside claims that took its place.
		l.addUncertain(a.Amount, compared)
	}
}

// addUncertain counts an amount until its write, whose outcome is not known, can't
// be applied any more.
func (l *Ledger) addUncertain(amount Amount, compared map[string]uint64) {
	l.uncertain = append(l.uncertain, UncertainAdmission{Compares: compared, Amount: amount})
}

// Pending is what this controller has admitted and does not see among the stored
// claims yet: with writes under way, and with writes whose outcome is not known.
func (l *Ledger) Pending() (inFlight, uncertain Amount) {
	for _, u := range l.uncertain {
		uncertain = uncertain.Add(u.Amount)
	}
	return l.inFlight, uncertain
}

// Forget drops the uncertain admissions that can't be applied any more, since a
// key that their write compares has changed; if they were applied before that,
// their claims have been read. Guards against an admission that counts nowhere:
// this controller's own write of the record changed the compared key, while the
// claim, applied before it without an answer, was not read yet.
func (l *Ledger) Forget(c Cache) {
	kept := l.uncertain[:0]
	for _, u := range l.uncertain {
		if u.conflictRevision == 0 && u.compareFails(c) {
			u.conflictRevision = c.NewestRevision()
		}
		if u.conflictRevision == 0 || c.Revision() < u.conflictRevision {
			kept = append(kept, u)
		}
	}
	clear(l.uncertain[len(kept):])
	l.uncertain = kept
}

// compareFails reports whether a compared key has another version by now.
func (u UncertainAdmission) compareFails(c Cache) bool {
	for key, version := range u.Compares {
		if c.Version(key) != version {
			return true
		}
	}
	return false
}
