package roles

import "wheatspur/internal/placement"

// ServiceMachineToMove chooses the service machine to move to the batch role: the one with the
// fewest service tasks (ours); names break ties. It is nil without machines.
func ServiceMachineToMove(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(task placement.ClaimedTask) bool { return task.Job.Service() })
}

// BatchMachineToMove chooses the batch machine to move to the service role: the one with the
// fewest tasks; names break ties. It is nil without machines.
func BatchMachineToMove(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(placement.ClaimedTask) bool { return true })
}

// fewestTasks is the machine with the fewest tasks that count, the first by name
// among equals.
func fewestTasks(machines []*placement.Machine, counts func(placement.ClaimedTask) bool) *placement.Machine {
	var best *placement.Machine
	fewest := 0
	for _, m := range machines {
		count := 0
		for _, task := range m.Tasks {
			if counts(task) {
				count++
			}
		}
		if best == nil || count < fewest || count == fewest && m.Name < best.Name {
			best, fewest = m, count
		}
	}
	return best
}
