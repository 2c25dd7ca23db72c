package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// lateBootReserve returns the number of tasks to plan capacity for in addition to the
// waiting ones, because some machines take much longer to boot than usual. It covers the
// expected number of late machines plus tuning.LateBootSpread standard deviations: about
// half a machine for one booting machine, and 14 machines for a hundred.
func (p *planner) lateBootReserve(job *jobs.Job, waiting float64) int {
	fewestTasks := 0.0 // per machine, of the eligible type that holds the fewest
	for _, machineType := range p.input.Types {
		if !jobs.AllowsMachineType(job.Record.Spec, machineType.Label) || !job.TaskResources.Fits(capacity(machineType)) {
			continue
		}
		if held := tasksPerMachine(job, machineType); fewestTasks == 0 || held < fewestTasks {
			fewestTasks = held
		}
	}
	if fewestTasks == 0 {
		return 0
	}
	late := tuning.LateBootShare * waiting / fewestTasks
	return int(math.Ceil(fewestTasks * (late + tuning.LateBootSpread*math.Sqrt(late))))
}
