package autoscale

import (
	"math"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
)

// lateBootHedge is the room to rent beside that for waiting tasks, since some of the
// machines take much longer to boot than usual: their expected number and a
// little over a deviation, which is most of a machine for one, and a sixth of
// the machines for a hundred.
func (p *planner) lateBootHedge(j *jobs.Job, waiting float64) int {
	each := 0.0 // tasks a machine, of the type that holds the fewest
	for _, t := range p.input.Types {
		if !jobs.AllowsMachineType(j.Record.Spec, t.Label) || !j.Need.Fits(total(t)) {
			continue
		}
		if n := tasksHeld(j, t); each == 0 || n < each {
			each = n
		}
	}
	if each == 0 {
		return 0
	}
	late := tuning.LateBootShare * waiting / each
	return int(math.Ceil(each * (late + tuning.LateBootSpread*math.Sqrt(late))))
}
