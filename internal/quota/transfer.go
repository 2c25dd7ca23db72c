package quota

import (
	"time"

	"wheatspur/internal/tuning"
)

// Transfer decides whether this controller gives part of its share to a controller
// that needs more and returns the write for it, or nil. A transfer is a single write
// that takes only from the share of the controller that makes it. That is safe
// because only this controller admits work under its share without writing the
// record, and it admits nothing while the write is in flight.
//
// unused is the part of the share that the controller's own work does not need. Only
// the controller that can cover the largest part of the shortfall makes a transfer, so
// that transfers seldom conflict.
func (l *Ledger) Transfer(now time.Time, v View, recipient string, shortfall, unused Amount) *Write {
	if l.writeInFlight || recipient == v.Self || l.Phase(v.FencingToken) != Shared || now.Sub(l.transferredAt) < tuning.TransferPause {
		return nil
	}
	if l.chooseDonor(v, recipient, shortfall) != v.Self {
		return nil
	}
	amount := l.remaining(v, v.Self).Min(unused).Min(shortfall).Max(Amount{}).maskUnlimited(l.team.Limit)
	if amount.IsZero() {
		return nil
	}
	next := l.record.withTransfer(v.Self, recipient, amount)
	if err := l.beginWrite(v, Transfer, next); err != nil {
		return nil // a later call decides again
	}
	l.transferredAt = now
	return &Write{Team: l.team.Name, Event: Transfer, Record: next, Transferred: amount}
}

// chooseDonor returns the controller whose unclaimed share covers the largest
// part of the shortfall, the first by label among equals, or "" if none covers any.
func (l *Ledger) chooseDonor(v View, recipient string, shortfall Amount) string {
	donor, highest := "", 0.0
	for _, controller := range v.Members {
		if controller == recipient {
			continue
		}
		covered := shortfall.coverage(l.unclaimed(v, controller), l.team.Limit)
		if covered > highest || covered == highest && covered > 0 && controller < donor {
			donor, highest = controller, covered
		}
	}
	return donor
}
