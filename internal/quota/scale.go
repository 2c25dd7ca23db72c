package quota

import "time"

// TotalGuarantees returns the sum of all teams' guarantees.
func (m *Manager) TotalGuarantees() Amount {
	var sum Amount
	for _, l := range m.ledgers {
		sum = sum.Add(l.team.Guarantee)
	}
	return sum
}

// GuaranteeScale returns the fraction of its guarantee that every team gets for each
// resource. It is below 1 if the fleet, scaled out to its maximum, can't satisfy
// all guarantees together. As long as no team has waited long enough for other
// teams' work to be preempted, it is 1, since the fleet may still grow; capacity
// is called only after that.
func (m *Manager) GuaranteeScale(capacity func() Amount, now time.Time) Amount {
	scale := Amount{CPUs: 1, GPUs: 1}
	if !m.anyMayReclaim(now) {
		return scale
	}
	guaranteed, fleet := m.TotalGuarantees(), capacity()
	if guaranteed.CPUs > fleet.CPUs {
		scale.CPUs = fleet.CPUs / guaranteed.CPUs
	}
	if guaranteed.GPUs > fleet.GPUs {
		scale.GPUs = fleet.GPUs / guaranteed.GPUs
	}
	return scale
}

// anyMayReclaim reports whether any team may reclaim its guarantee.
func (m *Manager) anyMayReclaim(now time.Time) bool {
	for team := range m.reservations.Teams {
		if m.MayReclaim(team, now) {
			return true
		}
	}
	return false
}
