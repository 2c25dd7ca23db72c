package quota

import "time"

// TotalGuarantees is the sum of all teams' guarantees.
func (m *Manager) TotalGuarantees() Amount {
	var sum Amount
	for _, l := range m.ledgers {
		sum = sum.Add(l.team.Guarantee)
	}
	return sum
}

// Scale is how much of its guarantee each team has in each resource while the
// fleet, scaled out as far as it goes, can't hold all guarantees together: equal
// parts of each. Until a team has waited so long that others' work would be
// preempted for it, all guarantees count in full, since the fleet may still grow.
// capacity is asked for only after that.
func (m *Manager) Scale(capacity func() Amount, now time.Time) Amount {
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

// anyMayReclaim reports whether some team may reclaim its guarantee.
func (m *Manager) anyMayReclaim(now time.Time) bool {
	for team := range m.reservations.Teams {
		if m.MayReclaim(team, now) {
			return true
		}
	}
	return false
}
