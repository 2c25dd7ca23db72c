package quota

import (
	"errors"
	"fmt"
	"time"
)

// View is the membership and the picture of the stored claims that decisions
// start from.
type View struct {
	Self         string // this node
	Leader       string
	Nodes        []string // all members
	FencingToken uint64   // of the membership
	Claimed      ClaimedByNode
	// Revision of the state service up to which every claim is in Held.
	Revision uint64
}

// ClaimedByNode is what the stored claims on each node's machines take, by node and
// team.
type ClaimedByNode map[string]map[string]Amount

// Of is what a team's claims on all machines take.
func (h ClaimedByNode) Of(team string) Amount {
	var sum Amount
	for _, teams := range h {
		sum = sum.Add(teams[team])
	}
	return sum
}

// Ledger is what a node knows of one team's limit: the stored shares, and its
// own admissions that are not seen among the stored claims yet.
type Ledger struct {
	team          Team
	options       Options
	record        Record
	version       uint64               // of the stored record
	decodeErr     error                // why the stored record can't be read
	checkErr      error                // what Record.Check finds in it
	inFlight      Amount               // admitted, the write is under way
	uncertain     []UncertainAdmission // admitted, the write's answer was lost
	writeInFlight bool                 // a write of the record by this node is under way

	shortageSince time.Time // since when work waits though the limit is not used up
	frozenAt      time.Time // when this node last froze the shares
	transferredAt time.Time // when this node last gave part of its share away

	waitTimes waitTimes // of the leader
}

// UncertainAdmission is an admission whose write got no answer. It may be applied until
// one of its guards has changed, and counts until everything up to that change
// has been read.
type UncertainAdmission struct {
	Guards map[string]uint64
	Amount Amount

	closedAtRevision uint64 // revision by which a guard has changed; 0: none seen to have
}

// Cache is what a node has read of the state service. The versions of keys may be
// ahead of the revision up to which it is complete, by the node's own writes.
type Cache interface {
	// Version is the version of a key, 0 if it does not exist.
	Version(key string) uint64
	// Revision is the revision up to which every change has been read.
	Revision() uint64
	// NewestRevision is the latest revision of which anything is known.
	NewestRevision() uint64
}

// Outcome is what became of a write.
type Outcome int

// Outcomes of a write.
const (
	Stored  Outcome = iota // it was applied
	Failed                 // it was not and never will be
	Unknown                // no answer: it may have been, or may yet be, applied
)

// Reasons why an admission is refused.
var (
	// ErrBusy says that a write of the record is under way.
	ErrBusy = errors.New("shares are being written")
	// ErrShareUsed says that the node's share does not cover the admission.
	ErrShareUsed = errors.New("share is used up")
)

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

// Phase is the phase that the shares are in under a membership.
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

// Writing reports whether this node has a write of the record under way.
func (l *Ledger) Writing() bool { return l.writeInFlight }

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

// Allowance is what a pass of placement may still give to the team. used is what
// its claims take, scale how much of its guarantee it has (Book.Scale).
func (l *Ledger) Allowance(v View, used, scale Amount) *Allowance {
	a := &Allowance{Used: used, Limit: l.team.Limit, Guarantee: l.team.Guarantee.scaled(scale)}
	if !l.team.Limited() {
		return a
	}
	a.Left = map[string]Amount{}
	if l.Phase(v.FencingToken) != Shared {
		return a
	}
	for node := range l.record.Shares {
		a.Left[node] = l.remaining(v, node)
	}
	return a
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
