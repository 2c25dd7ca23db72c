package quota

import (
	"iter"
	"time"

	"wheatspur/internal/tuning"
)

// Rebalance decides whether the leader divides the limit into new shares and
// returns the write for it, or nil. Under a new membership it divides the limit at
// once. When work waits although the limit is not used up, or when the record does
// not allow admissions, it takes two steps: the first freezes the shares, so that
// the claims of all controllers become known, and the second divides what the
// claims leave of the limit. pending yields what each waiting job of the team takes.
// Without write budget (budget is false) it only divides the limit for a new
// membership, since all admissions wait for that.
func (l *Ledger) Rebalance(now time.Time, v View, pending iter.Seq[Amount], budget bool) *Write {
	phase := l.Phase(v.FencingToken)
	if l.writeInFlight || phase == Unlimited || !budget && phase != Undivided {
		return nil
	}
	next := Record{FencingToken: v.FencingToken}
	event := Freeze
	switch {
	case phase == Undivided, phase == Frozen && v.Revision >= l.version:
		// No controller admits work until this is stored, and all earlier claims are known.
		event = DivideLimit
		next.Shares = l.divideLimit(v, pending)
	case l.needsRebalance(now, v, phase):
		next.Frozen = true
	default:
		return nil
	}
	if err := l.beginWrite(v, event, next); err != nil {
		return nil // a later call decides again
	}
	if event == Freeze {
		l.frozenAt = now
	} else {
		l.shortageSince = time.Time{}
	}
	return &Write{Team: l.team.Name, Event: event, Record: next}
}

// needsRebalance reports whether the shares have to be divided again. The pause
// between rebalances keeps them from using up the write budget.
func (l *Ledger) needsRebalance(now time.Time, v View, phase Phase) bool {
	if now.Sub(l.frozenAt) <= tuning.RebalancePause {
		return false
	}
	switch phase {
	case Damaged:
		return true
	case OverLimit:
		// Until some claims are released, the shares would not change.
		claimed := v.Claimed.Total(l.team.Name).maskUnlimited(l.team.Limit)
		return !l.record.total().maskUnlimited(l.team.Limit).Sub(claimed).IsZero()
	case Shared:
		return !l.shortageSince.IsZero() && now.Sub(l.shortageSince) >= l.rebalanceDelay()
	}
	return false
}

// rebalanceDelay returns how long a shortage must last before the limit is divided
// again. If transfers are enabled, they get time to end it first.
func (l *Ledger) rebalanceDelay() time.Duration {
	if l.options.Transfers {
		return tuning.RebalanceDelay
	}
	return 0
}

// divideLimit divides the limit into shares. Each controller gets what its claims
// take plus an equal portion of the rest. The leader gets two portions, since it
// admits the jobs that are too large for one shard. If a portion does not cover the
// largest waiting job, the leader gets all of the rest and admits work for all
// controllers.
func (l *Ledger) divideLimit(v View, pending iter.Seq[Amount]) map[string]Share {
	rest := l.team.Limit.Sub(v.Claimed.Total(l.team.Name)).Max(Amount{})
	part := rest.Mul(1 / float64(len(v.Members)+1))
	for need := range pending {
		if !need.fits(part, l.team.Limit) {
			part = Amount{}
			break
		}
	}
	shares := make(map[string]Share, len(v.Members))
	for _, controller := range v.Members {
		extra := part
		if controller == v.Leader {
			extra = rest.Sub(part.Mul(float64(len(v.Members) - 1)))
		}
		shares[controller] = ShareOf(v.claimedBy(controller, l.team.Name).Add(extra))
	}
	return shares
}

// RecordShortage records whether work waits for other controllers' shares although
// the limit is not used up. A shortage is ignored while the shares are about to be
// divided, so that a rebalance does not trigger another one.
func (l *Ledger) RecordShortage(short bool, now time.Time, token uint64) {
	switch {
	case !short || l.Phase(token) != Shared:
		l.shortageSince = time.Time{}
	case l.shortageSince.IsZero():
		l.shortageSince = now
	}
}
