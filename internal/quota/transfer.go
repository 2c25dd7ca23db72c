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
func (l *Ledger) Transfer(now time.Time, v View, taker string, lack, unused Amount) *Write {
	if l.writeInFlight || taker == v.Self || l.Phase(v.FencingToken) != Shared || now.Sub(l.transferredAt) < tuning.TransferPause {
		return nil
	}
	if l.chooseGiver(v, taker, lack) != v.Self {
		return nil
	}
	given := l.remaining(v, v.Self).Min(unused).Min(lack).Max(Amount{}).maskUnlimited(l.team.Limit)
	if given.IsZero() {
		return nil
	}
	next := l.record.withTransfer(v.Self, taker, given)
	if err := l.beginWrite(v, Transfer, next); err != nil {
		return nil // a later call decides anew
	}
	l.transferredAt = now
	return &Write{Team: l.team.Name, Event: Transfer, Record: next, Given: given}
}

// chooseGiver is the controller whose unclaimed share covers the most of what
// another lacks, the first by label among equals; none if that is nothing.
func (l *Ledger) chooseGiver(v View, taker string, lack Amount) string {
	giver, most := "", 0.0
	for _, controller := range v.Nodes {
		if controller == taker {
			continue
		}
		covered := lack.coverage(l.unclaimed(v, controller), l.team.Limit)
		if covered > most || covered == most && covered > 0 && controller < giver {
			giver, most = controller, covered
		}
	}
	return giver
}
