package quota

import (
	"errors"
	"fmt"
)

// Errors that refuse an admission.
var (
	// ErrWriteInFlight means that a write of the record by this controller is in flight.
	ErrWriteInFlight = errors.New("a write of the team's shares is in flight")
	// ErrInsufficientShare means that the rest of the controller's share does not cover the
	// admission.
	ErrInsufficientShare = errors.New("insufficient share")
)

// Admission is the part of a team's limit that a write of claims takes.
type Admission struct {
	Team   string
	Amount Amount
	// NextRecord is the record that the same write must store if some of the claims are on
	// other controllers' machines, else nil. In both cases the write compares the
	// record's version.
	NextRecord *Record
}

// UncertainAmount is the amount of an admission or a transfer whose write got no
// response. The write can still be applied until one of the keys that it compares has
// changed. The amount counts until all changes up to that one have been read.
type UncertainAmount struct {
	Compares map[string]uint64 // the versions that the write compares, by key
	Amount   Amount

	conflictRevision uint64 // revision by which a compared key had changed; 0: no change seen
}

// Admit reserves part of this controller's share for claims of an amount. onOthers
// is the part of the amount that is on other controllers' machines, by shard owner;
// that part of the share moves to the owners. The caller must pass the admission
// and the outcome of its write to ResolveAdmission. The admission is nil if the
// team has no limit.
func (l *Ledger) Admit(v View, amount Amount, onOthers map[string]Amount) (*Admission, error) {
	if !l.team.Limited() {
		return nil, nil
	}
	if phase := l.Phase(v.FencingToken); phase != Shared {
		return nil, fmt.Errorf("%w: admission in phase %q", ErrPhaseNotAllowed, phase)
	}
	if l.writeInFlight {
		return nil, ErrWriteInFlight
	}
	if remaining := l.remaining(v, v.Self); !amount.fits(remaining, l.team.Limit) {
		return nil, fmt.Errorf("%w: requested %+v, remaining %+v", ErrInsufficientShare, amount, remaining)
	}
	admission := &Admission{Team: l.team.Name, Amount: amount}
	if len(onOthers) > 0 {
		next := l.record
		for owner, part := range onOthers {
			next = next.withTransfer(v.Self, owner, part)
		}
		if err := l.beginWrite(v, ReassignShare, next); err != nil {
			return nil, err
		}
		admission.NextRecord = &next
	}
	l.inFlight = l.inFlight.Add(amount)
	return admission, nil
}

// ResolveAdmission ends an admission after the outcome of its write. compared holds
// the versions that the write compares, by key.
func (l *Ledger) ResolveAdmission(a *Admission, outcome Outcome, compared map[string]uint64) {
	l.inFlight = l.inFlight.Sub(a.Amount)
	if a.NextRecord != nil {
		l.writeInFlight = false
	}
	if outcome == OutcomeUnknown {
		// The write may still be applied. Counting it prevents this share from being
		// used twice.
		l.addUncertain(a.Amount, compared)
	}
}

// addUncertain counts an amount against the share until its write, whose outcome is
// unknown, can no longer be applied.
func (l *Ledger) addUncertain(amount Amount, compared map[string]uint64) {
	l.uncertain = append(l.uncertain, UncertainAmount{Compares: compared, Amount: amount})
}

// UnconfirmedAmounts returns what this controller has admitted and not yet seen among the
// stored claims: by writes in flight and by writes whose outcome is unknown.
func (l *Ledger) UnconfirmedAmounts() (inFlight, uncertain Amount) {
	for _, u := range l.uncertain {
		uncertain = uncertain.Add(u.Amount)
	}
	return l.inFlight, uncertain
}

// DropResolvedAdmissions drops the uncertain admissions whose writes can no longer be applied,
// because a key that they compare has changed. It keeps them until the cache has
// read up to that change, so that claims applied before it have been read. Without
// that, an admission would count nowhere when this controller's own write of the
// record changes the compared key while the claim, which was applied earlier
// without a response, has not been read yet.
func (l *Ledger) DropResolvedAdmissions(c Cache) {
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

// compareFails reports whether the version of a compared key has changed.
func (u UncertainAmount) compareFails(c Cache) bool {
	for key, version := range u.Compares {
		if c.Version(key) != version {
			return true
		}
	}
	return false
}
