package roles

import "wheatspur/internal/placement"

// Victim chooses the service machine to flip: the one with the fewest service
// tasks (ours); names break ties.
func Victim(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(r placement.ClaimedTask) bool { return r.Job.Service() })
}

// Emptiest chooses the batch machine to flip: the one with the fewest tasks.
func Emptiest(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(placement.ClaimedTask) bool { return true })
}

func fewestTasks(machines []*placement.Machine, counts func(placement.ClaimedTask) bool) *placement.Machine {
	var best *placement.Machine
	n := 0
	for _, m := range machines {
		k := 0
		for _, r := range m.Tasks {
			if counts(r) {
				k++
			}
		}
		if best == nil || k < n || k == n && m.Name < best.Name {
			best, n = m, k
		}
	}
	return best
}
