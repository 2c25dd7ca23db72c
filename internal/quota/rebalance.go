package quota

import (
	"iter"
	"time"

	"wheatspur/internal/tuning"
)

// Rebalance lets the leader share the limit out: at once under a new
// membership; and in two steps when work waits while the limit is not used up,
// or when the record can't be admitted from. The first step freezes the shares;
// what every controller has claimed is then known, and the second shares out the
// rest. pending is what each waiting job of the team takes. Without budget for
// writes only a new membership is served, since all admissions wait for that.
func (l *Ledger) Rebalance(now time.Time, v View, pending iter.Seq[Amount], budget bool) *Write {
	phase := l.Phase(v.FencingToken)
	if l.writeInFlight || phase == Unlimited || !budget && phase != Unshared {
		return nil
	}
	next := Record{FencingToken: v.FencingToken}
	event := Freeze
	switch {
	case phase == Unshared, phase == Frozen && v.Revision >= l.version:
		// No controller admits before this is stored, and every claim before is known.
		event = ShareOut
		next.Shares = l.divideLimit(v, pending)
	case l.needsRebalance(now, v, phase):
		next.Frozen = true
	default:
		return nil
	}
	if err := l.beginWrite(v, event, next); err != nil {
		return nil // a later call decides anew
	}
	if event == Freeze {
		l.frozenAt = now
	} else {
		l.shortageSince = time.Time{}
	}
	return &Write{Team: l.team.Name, Event: event, Record: next}
}

// needsRebalance reports whether the shares have to be shared out anew. Pauses
// guard against spending the budget for writes on rebalancing alone.
func (l *Ledger) needsRebalance(now time.Time, v View, phase Phase) bool {
	if now.Sub(l.frozenAt) <= tuning.RebalancePause {
		return false
	}
	switch phase {
	case Damaged:
		return true
	case OverLimit:
		// Until something is released, the shares would stay what they are.
		claimed := v.Claimed.Of(l.team.Name).maskUnlimited(l.team.Limit)
		return !l.record.total().maskUnlimited(l.team.Limit).Sub(claimed).IsZero()
	case Shared:
		return !l.shortageSince.IsZero() && now.Sub(l.shortageSince) >= l.rebalanceDelay()
	}
	return false
}

// rebalanceDelay is how long a shortage lasts before the limit is shared out anew:
// transfers come first, where there are any.
func (l *Ledger) rebalanceDelay() time.Duration {
	if l.options.Transfers {
		return tuning.TransferPatience
	}
	return 0
}

// divideLimit shares the limit out: what each controller has claimed, and the rest
// in equal parts, two of them to the leader, which admits jobs that are too large
// for one shard. Where a part would not cover the largest waiting job, the leader
// gets all the rest and admits for all.
func (l *Ledger) divideLimit(v View, pending iter.Seq[Amount]) map[string]Share {
	rest := l.team.Limit.Sub(v.Claimed.Of(l.team.Name)).Max(Amount{})
	part := rest.Times(1 / float64(len(v.Nodes)+1))
	for need := range pending {
		if !need.fits(part, l.team.Limit) {
			part = Amount{}
			break
		}
	}
	shares := make(map[string]Share, len(v.Nodes))
	for _, controller := range v.Nodes {
		extra := part
		if controller == v.Leader {
			extra = rest.Sub(part.Times(float64(len(v.Nodes) - 1)))
		}
		shares[controller] = ShareOf(v.claimedBy(controller, l.team.Name).Add(extra))
	}
	return shares
}

// RecordShortage notes whether work waits for other shares though the limit is not
// used up. Shares that are about to be shared out count as none: guards against
// rebalancing again what has just been rebalanced.
func (l *Ledger) RecordShortage(short bool, now time.Time, token uint64) {
	switch {
	case !short || l.Phase(token) != Shared:
		l.shortageSince = time.Time{}
	case l.shortageSince.IsZero():
		l.shortageSince = now
	}
}
