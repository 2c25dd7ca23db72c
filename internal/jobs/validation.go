package jobs

import "wheatspur/wire"

// ValidationError says why a job can never run.
type ValidationError string

func (r ValidationError) Error() string { return string(r) }

// TeamLimits is what intake needs to know of a team.
type TeamLimits struct{ CPUsMax, GPUsMax float64 }

// Validate refuses a job that can never run: 422 to its user. oneWrite is the
// number of tasks that one write can claim.
func Validate(w *wire.JobSpec, lim TeamLimits, known bool, types []wire.MachineType, oneWrite int) error {
	if !known {
		return ValidationError("unknown team")
	}
	fits := false
	for _, r := range types {
		if AllowsMachineType(w, r.Label) && AllowsAnyZone(w, r.Zones) && ResourcesPerTask(w).Fits(Resources{r.CPUs, r.GPUs, r.RAMGB}) {
			fits = true
		}
	}
	if !fits {
		return ValidationError("no allowed machine type fits a task")
	}
	if w.Kind == wire.KindGang && w.Tasks > oneWrite {
		return ValidationError("more tasks at once than one write can claim")
	}
	n := 1.0
	if w.Kind != wire.KindArray {
		n = float64(w.Tasks)
	}
	if lim.CPUsMax > 0 && w.CPUs*n > lim.CPUsMax+epsilon || lim.GPUsMax > 0 && w.GPUs*n > lim.GPUsMax+epsilon {
		return ValidationError("more than the team's limit")
	}
	return nil
}

// AllowsMachineType reports whether the job may use a machine type.
func AllowsMachineType(w *wire.JobSpec, machineType string) bool {
	if len(w.MachineTypes) == 0 {
		return true
	}
	for _, r := range w.MachineTypes {
		if r == machineType {
			return true
		}
	}
	return false
}

// AllowsAnyZone reports whether the job may run in one of the zones.
func AllowsAnyZone(w *wire.JobSpec, zones []string) bool {
	if w.Zone == nil {
		return len(zones) > 0
	}
	for _, z := range zones {
		if z == *w.Zone {
			return true
		}
	}
	return false
}

// ValidateDependencies refuses a list that names what can't be depended on; accepted tells of a job whether it is known,
// and whether it is a service.
func ValidateDependencies(w *wire.JobSpec, accepted func(jobID string) (known, service bool)) error {
	for _, jobID := range w.DependsOn {
		if !wire.ValidJobID(jobID) {
			return ValidationError("awaits names no job: " + jobID[:min(len(jobID), 40)])
		}
		if jobID == w.ID {
			return ValidationError("a job can't await itself")
		}
		switch known, service := accepted(jobID); {
		case !known:
			return ValidationError("awaits names a job that was never accepted: " + jobID)
		case service:
			return ValidationError("awaits names a service, which never ends: " + jobID)
		}
	}
	return nil
}
