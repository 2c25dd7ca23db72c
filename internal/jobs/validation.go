package jobs

import (
	"slices"

	"wheatspur/wire"
)

// ValidationError says why a job can never run; the text is meant for its user.
type ValidationError string

// Error returns the text.
func (e ValidationError) Error() string { return string(e) }

// TeamLimits are the quota limits of a team that intake checks; 0: no limit.
type TeamLimits struct{ CPUsMax, GPUsMax float64 }

// Validate refuses a job that can never run: 422 to its user. known says whether
// the job's team exists, tasksPerWrite is the number of tasks that one write can
// claim.
func Validate(spec *wire.JobSpec, limits TeamLimits, known bool, types []wire.MachineType, tasksPerWrite int) error {
	switch {
	case !known:
		return ValidationError("unknown team")
	case !slices.ContainsFunc(types, func(t wire.MachineType) bool { return fitsMachineType(spec, t) }):
		return ValidationError("no allowed machine type fits a task")
	case spec.Kind == wire.KindGang && spec.Tasks > tasksPerWrite:
		return ValidationError("more tasks at once than one write can claim")
	case exceedsLimits(spec, limits):
		return ValidationError("more than the team's limit")
	}
	return nil
}

// fitsMachineType reports whether a task fits on an empty machine of a type that
// the job allows.
func fitsMachineType(spec *wire.JobSpec, t wire.MachineType) bool {
	return AllowsMachineType(spec, t.Label) && AllowsAnyZone(spec, t.Zones) &&
		ResourcesPerTask(spec).Fits(Resources{t.CPUs, t.GPUs, t.RAMGB})
}

// exceedsLimits reports whether what must run at once is more than the team may
// ever use: all tasks of a service or a gang, one task of an array.
func exceedsLimits(spec *wire.JobSpec, limits TeamLimits) bool {
	atOnce := 1.0
	if spec.Kind != wire.KindArray {
		atOnce = float64(spec.Tasks)
	}
	return limits.CPUsMax > 0 && spec.CPUs*atOnce > limits.CPUsMax+epsilon ||
		limits.GPUsMax > 0 && spec.GPUs*atOnce > limits.GPUsMax+epsilon
}

// AllowsMachineType reports whether the job may use a machine type.
func AllowsMachineType(spec *wire.JobSpec, machineType string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)
}

// AllowsAnyZone reports whether the job may run in one of the zones.
func AllowsAnyZone(spec *wire.JobSpec, zones []string) bool {
	if spec.Zone == nil {
		return len(zones) > 0
	}
	return slices.Contains(zones, *spec.Zone)
}

// maxQuotedJobID is how much of a malformed job id is repeated to its user.
const maxQuotedJobID = 40

// ValidateDependencies refuses dependencies that can never be done: 422 to the
// job's user. accepted tells of a job whether it is known, and whether it is a
// service. Cycles can't arise: a job only depends on those accepted before it.
func ValidateDependencies(spec *wire.JobSpec, accepted func(jobID string) (known, service bool)) error {
	for _, jobID := range spec.DependsOn {
		if !wire.ValidJobID(jobID) {
			return ValidationError("awaits names no job: " + jobID[:min(len(jobID), maxQuotedJobID)])
		}
		if jobID == spec.ID {
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
