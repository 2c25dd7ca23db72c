package quota

import (
	"errors"
	"fmt"
)

// Reasons why an admission is refused.
var (
	// ErrBusy says that a write of the record is under way.
	ErrBusy = errors.New("shares are being written")
	// ErrShareUsed says that the node's share does not cover the admission.
	ErrShareUsed = errors.New("share is used up")
)

// UncertainAdmission is an admission whose write got no answer. It may be applied until
// one of its guards has changed, and counts until everything up to that change
// has been read.
type UncertainAdmission struct {
	Guards map[string]uint64
	Amount Amount

	closedAtRevision uint64 // revision by which a guard has changed; 0: none seen to have
}

// Pending is what this node has admitted and does not see among the stored
// claims yet: with writes under way, and with writes whose answer was lost.
func (l *Ledger) Pending() (inFlight, inDoubt Amount) {
	for _, d := range l.uncertain {
		inDoubt = inDoubt.Add(d.Amount)
	}
	return l.inFlight, inDoubt
}

// Forget drops the admissions in doubt that can't be applied any more, since a
// guard of theirs has changed; if they were applied before that, their claims
// have been read. Guards against an admission that counts nowhere: this node's
// own write of the record changed the guard, while the claim, applied before it
// without an answer, was not read yet.
func (l *Ledger) Forget(c Cache) {
	kept := l.uncertain[:0]
	for _, d := range l.uncertain {
		if d.closedAtRevision == 0 && d.guardChanged(c) {
			d.closedAtRevision = c.NewestRevision()
		}
		if d.closedAtRevision == 0 || c.Revision() < d.closedAtRevision {
			kept = append(kept, d)
		}
	}
	clear(l.uncertain[len(kept):])
	l.uncertain = kept
}

// guardChanged reports whether a guard does not stand as it was.
func (d UncertainAdmission) guardChanged(c Cache) bool {
	for key, guarded := range d.Guards {
		if c.Version(key) != guarded {
			return true
		}
	}
	return false
}

// remaining is what a node may still admit within its share.
func (l *Ledger) remaining(v View, node string) Amount {
	left := l.record.Shares[node].Amount().Sub(v.Claimed[node][l.team.Name])
	if node != v.Self {
		return left // what others have under way is not known here
	}
	inFlight, inDoubt := l.Pending()
	return left.Sub(inFlight).Sub(inDoubt)
}

// Admission is room of a team's limit that a write of claims takes.
type Admission struct {
	Team   string
	Amount Amount
	// Next is the record that the same write must store, if the claims are on
	// other nodes' machines; else nil. With or without it, the write is guarded
	// by the record's version.
	Next *Record
}

// Admit takes room for claims of an amount. others is the part of it on other
// nodes' machines, by node: their owners get that part of this node's share.
// The admission must be settled with the outcome of its write. It is nil if
// the team has no limit.
func (l *Ledger) Admit(v View, amount Amount, others map[string]Amount) (*Admission, error) {
	if !l.team.Limited() {
		return nil, nil
	}
	if phase := l.Phase(v.FencingToken); phase != Shared {
		return nil, fmt.Errorf("%w: admission from shares that are %s", ErrPhase, phase)
	}
	if l.writeInFlight {
		return nil, ErrBusy
	}
	if left := l.remaining(v, v.Self); !amount.fits(left, l.team.Limit) {
		return nil, fmt.Errorf("%w: %+v of %+v", ErrShareUsed, amount, left)
	}
	admission := &Admission{Team: l.team.Name, Amount: amount}
	if len(others) > 0 {
		next := l.record
		for node, part := range others {
			next = next.transferred(v.Self, node, part)
		}
		if err := l.beginWrite(v, HandOver, next); err != nil {
			return nil, err
		}
		admission.Next = &next
	}
	l.inFlight = l.inFlight.Add(amount)
	return admission, nil
}

// ResolveAdmission ends an admission. guards are those of its write.
func (l *Ledger) ResolveAdmission(a *Admission, outcome Outcome, guards map[string]uint64) {
	l.inFlight = l.inFlight.Sub(a.Amount)
	if a.Next != nil {
		l.writeInFlight = false
	}
	if outcome == Unknown {
		// Guards against a late application beside claims that took its place.
		l.uncertain = append(l.uncertain, UncertainAdmission{Guards: guards, Amount: a.Amount})
	}
}
