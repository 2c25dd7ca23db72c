package quota

import "time"

// TotalGuarantees is the sum of all teams' guarantees.
func (b *Manager) TotalGuarantees() Amount {
	var sum Amount
	for _, l := range b.ledgers {
		sum = sum.Add(l.team.Guarantee)
	}
	return sum
}

// Scale is how much of its guarantee each team has in each resource while the
// fleet, grown as far as it goes, can't hold all guarantees together: equal
// parts of each. Until a team has waited so long that others would be stopped for
// it, all guarantees count in full, since the fleet may still grow.
func (b *Manager) Scale(capacity func() Amount, now time.Time) Amount {
	full := Amount{1, 1}
	pressed := false
	for team := range b.reservations.Teams {
		pressed = pressed || b.MayReclaim(team, now)
	}
	if !pressed {
		return full
	}
	promised, fleet := b.TotalGuarantees(), capacity()
	if promised.CPUs > fleet.CPUs {
		full.CPUs = fleet.CPUs / promised.CPUs
	}
	if promised.GPUs > fleet.GPUs {
		full.GPUs = fleet.GPUs / promised.GPUs
	}
	return full
}

// scaled is an amount multiplied by a factor for each resource.
func (a Amount) scaled(by Amount) Amount { return Amount{a.CPUs * by.CPUs, a.GPUs * by.GPUs} }
