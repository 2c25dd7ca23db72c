package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// lateBootHedge is the number of tasks to plan room for beside the waiting ones,
// since some of the machines take much longer to boot than usual: their expected
// number and a little over a deviation, which is most of a machine for one, and a
// sixth of the machines for a hundred.
func (p *planner) lateBootHedge(job *jobs.Job, waiting float64) int {
	tasksPerMachine := 0.0 // of the type that holds the fewest
	for _, machineType := range p.input.Types {
		if !jobs.AllowsMachineType(job.Record.Spec, machineType.Label) || !job.Need.Fits(capacity(machineType)) {
			continue
		}
		if held := tasksHeld(job, machineType); tasksPerMachine == 0 || held < tasksPerMachine {
			tasksPerMachine = held
		}
	}
	if tasksPerMachine == 0 {
		return 0
	}
	late := tuning.LateBootShare * waiting / tasksPerMachine
	return int(math.Ceil(tasksPerMachine * (late + tuning.LateBootSpread*math.Sqrt(late))))
}
