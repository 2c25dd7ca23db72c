package quota

import (
	"time"

	"wheatspur/internal/tuning"
)

// Transfer lets this node give part of its share to one that lacks some: in one
// write, which takes from its own share alone. That is safe by itself, since a
// node is the only one that admits under its share without writing the record,
// and admits nothing while the write is under way.
// unused is what the node's own work leaves of its share. Of all nodes the one
// that can cover the most gives, so that givers seldom race.
func (l *Ledger) Transfer(now time.Time, v View, taker string, lack, unused Amount) *Write {
	if l.writeInFlight || taker == v.Self || l.Phase(v.FencingToken) != Shared || now.Sub(l.transferredAt) < tuning.TransferPause {
		return nil
	}
	if l.chooseGiver(v, taker, lack) != v.Self {
		return nil
	}
	give := l.remaining(v, v.Self).Min(unused).Min(lack).Max(Amount{}).onlyLimited(l.team.Limit)
	if give.IsZero() {
		return nil
	}
	next := l.record.transferred(v.Self, taker, give)
	if err := l.beginWrite(v, Transfer, next); err != nil {
		return nil
	}
	l.transferredAt = now
	return &Write{Team: l.team.Name, Event: Transfer, Record: next, Given: give}
}

// chooseGiver is the node whose unused share, as far as the stored claims tell, covers
// the most of what another lacks; none if that is nothing.
func (l *Ledger) chooseGiver(v View, taker string, lack Amount) string {
	best, most := "", 0.0
	for _, node := range v.Nodes {
		if node == taker {
			continue
		}
		spare := l.record.Shares[node].Amount().Sub(v.Claimed[node][l.team.Name])
		covered := lack.coverage(spare, l.team.Limit)
		if covered > most || covered == most && covered > 0 && node < best {
			best, most = node, covered
		}
	}
	return best
}

// coverage is how much of the amount some room covers, from 0 to 1, in the
// resource that it covers least.
func (a Amount) coverage(room, limit Amount) float64 {
	least := 1.0
	if limit.CPUs > 0 && a.CPUs > epsilon {
		least = min(least, room.CPUs/a.CPUs)
	}
	if limit.GPUs > 0 && a.GPUs > epsilon {
		least = min(least, room.GPUs/a.GPUs)
	}
	return max(0, least)
}
