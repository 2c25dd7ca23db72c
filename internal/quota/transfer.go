package quota

import (
	"time"

	"wheatspur/internal/tuning"
)

// Transfer lets this controller give part of its share to one that lacks some: in
// one write, which takes from its own share alone. That is safe by itself, since
// a controller is the only one that admits under its share without writing the
// record, and admits nothing while the write is under way.
//
// unused is what the controller's own work leaves of its share. Of all
// controllers the one that can cover the most gives, so that givers seldom race.
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
		return nil // a later call decides anew
	}
	l.transferredAt = now
	return &Write{Team: l.team.Name, Event: Transfer, Record: next, Given: amount}
}

// chooseDonor is the controller whose unclaimed share covers the most of what
// another lacks, the first by label among equals; none if that is nothing.
func (l *Ledger) chooseDonor(v View, recipient string, shortfall Amount) string {
	donor, highest := "", 0.0
	for _, controller := range v.Nodes {
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
