package jobs

import (
	"slices"

	"wheatspur/wire"
)

// ValidationError tells the user why a job can never run.
type ValidationError string

// Error returns the text for the user.
func (e ValidationError) Error() string { return string(e) }

// TeamLimits are the quota limits of a team that are checked at intake; 0: no limit.
type TeamLimits struct{ CPUsMax, GPUsMax float64 }

// Validate rejects a job that can never run; the user gets status 422. teamKnown says whether the
// job's team exists, tasksPerWrite is the number of tasks that one write can claim.
func Validate(spec *wire.JobSpec, limits TeamLimits, teamKnown bool, types []wire.MachineType, tasksPerWrite int) error {
	switch {
	case !teamKnown:
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

// fitsMachineType reports whether a task fits on an empty machine of a type that the job
// allows.
func fitsMachineType(spec *wire.JobSpec, t wire.MachineType) bool {
	return AllowsMachineType(spec, t.Label) && AllowsSomeZone(spec, t.Zones) &&
		ResourcesPerTask(spec).Fits(Resources{t.CPUs, t.GPUs, t.RAMGB})
}

// exceedsLimits reports whether the tasks that must run at once need more than the team may ever
// use: all tasks of a service or a gang, one task of an array.
func exceedsLimits(spec *wire.JobSpec, limits TeamLimits) bool {
	concurrentTasks := 1.0
	if spec.Kind != wire.KindArray {
		concurrentTasks = float64(spec.Tasks)
	}
	return limits.CPUsMax > 0 && spec.CPUs*concurrentTasks > limits.CPUsMax+epsilon ||
		limits.GPUsMax > 0 && spec.GPUs*concurrentTasks > limits.GPUsMax+epsilon
}

// AllowsMachineType reports whether the job may use a machine type.
func AllowsMachineType(spec *wire.JobSpec, machineType string) bool {
	return len(spec.MachineTypes) == 0 || slices.Contains(spec.MachineTypes, machineType)
}

// AllowsSomeZone reports whether the job may run in at least one of the zones.
func AllowsSomeZone(spec *wire.JobSpec, zones []string) bool {
	if spec.Zone == nil {
		return len(zones) > 0
	}
	return slices.Contains(zones, *spec.Zone)
}

// maxQuotedJobIDBytes is the number of bytes of a malformed job id that the error repeats to the
// user.
const maxQuotedJobIDBytes = 40

// ValidateDependencies rejects dependencies that can never be done; the user gets status 422.
// accepted reports whether a job is known and whether it is a service. Cycles can't arise: a job can
// depend only on jobs that were accepted before it.
func ValidateDependencies(spec *wire.JobSpec, accepted func(jobID string) (known, service bool)) error {
	for _, jobID := range spec.DependsOn {
		if !wire.ValidJobID(jobID) {
			return ValidationError("awaits names no job: " + jobID[:min(len(jobID), maxQuotedJobIDBytes)])
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
