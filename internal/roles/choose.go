package roles

import "wheatspur/internal/placement"

// ServiceMachineToMove returns the service machine to move to the batch role: the one with the
// fewest service tasks, and of equal ones the first by name. It returns nil if there are no
// machines.
func ServiceMachineToMove(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(task placement.ClaimedTask) bool { return task.Job.IsService() })
}

// BatchMachineToMove returns the batch machine to move to the service role: the one with the fewest
// tasks, and of equal ones the first by name. It returns nil if there are no machines.
func BatchMachineToMove(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(placement.ClaimedTask) bool { return true })
}

// fewestTasks returns the machine with the fewest tasks for which counts is true, and of equal ones
// the first by name.
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
