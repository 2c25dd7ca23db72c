package jobs

import (
	"slices"

	"wheatspur/internal/tuning"
)

// The DAG of dependencies. Whether a waiting job may run or is cancelled is never stored: it is
// derived from the records of its dependencies, again whenever one of them changes. Done and
// Cancelled are final, so a phase derived from them never changes, and every controller derives the
// same one, whatever the order in which it reads the records.
//
// Phases propagate from a job to its dependents (propagate), priorities and deadlines from a job to
// its dependencies (updateUrgency). Both use queues instead of recursion, so that a deep chain
// can't exhaust the stack, and go on only from jobs whose values have changed.

// dependencies returns the jobs that a job still depends on according to its own record.
func (j *Job) dependencies() []string {
	if j.Record.Spec == nil || j.Record.Phase.Final() {
		return nil
	}
	return j.Record.Spec.DependsOn
}

// UnfinishedDependencies returns the unfinished dependencies of a waiting job, in the order of its
// submission.
func (t *Table) UnfinishedDependencies(j *Job) []string {
	return slices.DeleteFunc(slices.Clone(j.dependencies()), func(jobID string) bool {
		dependency := t.Jobs[jobID]
		return dependency != nil && dependency.Phase == Done
	})
}

func (t *Table) addDependencies(j *Job) {
	for _, jobID := range j.dependencies() {
		if t.dependents[jobID] == nil {
			t.dependents[jobID] = map[string]bool{}
		}
		t.dependents[jobID][j.ID] = true
	}
}

func (t *Table) removeDependencies(j *Job) {
	for _, jobID := range j.dependencies() {
		delete(t.dependents[jobID], j.ID)
		if len(t.dependents[jobID]) == 0 {
			delete(t.dependents, jobID)
		}
	}
}

// propagate updates what is derived from a job's record, for the job itself and for all jobs that
// are affected. formerDependencies are the dependencies by its former record; their urgency may
// decrease.
func (t *Table) propagate(jobID string, formerDependencies []string) {
	urgencyMayChange := append([]string{jobID}, formerDependencies...)
	for queue := []string{jobID}; len(queue) > 0; {
		j := t.Jobs[queue[0]]
		queue = queue[1:]
		formerPhase := j.Phase
		j.Phase, j.CancelledByDependency = t.derivePhase(j)
		if j.Phase == formerPhase && j.ID != jobID {
			continue
		}
		t.indexByPhase(j)
		for dependent := range t.dependents[j.ID] {
			if t.Jobs[dependent] != nil {
				queue = append(queue, dependent)
			}
		}
		if j.Record.Spec != nil {
			urgencyMayChange = append(urgencyMayChange, j.dependencies()...)
		}
	}
	t.updateUrgency(urgencyMayChange)
}

// derivePhase returns a job's phase as it follows from its own record and the phases of its
// dependencies and, for a cancelled job, the dependency whose cancellation cancelled it. A
// dependency that is unknown, or whose record can't be read, counts as not done.
func (t *Table) derivePhase(j *Job) (phase Phase, cancelledByDependency string) {
	if j.Record.Phase != Waiting {
		return j.Record.Phase, j.Record.CancelledByDependency
	}
	allDone := true
	for _, jobID := range j.dependencies() {
		dependency := t.Jobs[jobID]
		if dependency != nil && dependency.Phase == Cancelled {
			phase, _ = j.Record.Phase.Next(EventCancel) // always allowed in Waiting
			return phase, jobID
		}
		if dependency == nil || dependency.Phase != Done {
			allDone = false
		}
	}
	if !allDone {
		return Waiting, ""
	}
	phase, _ = j.Record.Phase.Next(EventRelease) // always allowed in Waiting
	return phase, ""
}

// indexByPhase adds a job to the index of its phase. The claims of a job that is not open must be
// stopped, so it calls OnMachineChange for their machines.
func (t *Table) indexByPhase(j *Job) {
	delete(t.Open, j.ID)
	delete(t.Waiting, j.ID)
	delete(t.AwaitingFinalRecord, j.ID)
	j.ReadyAtMs = j.Record.AcceptedAtMs
	switch {
	case j.Phase == Open:
		t.Open[j.ID] = j
		for _, jobID := range j.dependencies() {
			if dependency := t.Jobs[jobID]; dependency != nil {
				j.ReadyAtMs = max(j.ReadyAtMs, dependency.Record.EndedAtMs)
			}
		}
		return
	case j.Phase == Waiting:
		t.Waiting[j.ID] = j
	case !j.Record.Phase.Final():
		t.AwaitingFinalRecord[j.ID] = j
	}
	t.notifyMachines(j)
}

// notifyMachines calls OnMachineChange for the machines of a job's claims.
func (t *Table) notifyMachines(j *Job) {
	for _, task := range j.Claims {
		t.OnMachineChange(task.Machine)
	}
}

// updateUrgency recomputes the priority and the deadline of the jobs in queue, and of the
// dependencies of those whose values change.
func (t *Table) updateUrgency(queue []string) {
	for len(queue) > 0 {
		j := t.Jobs[queue[0]]
		queue = queue[1:]
		if j == nil || j.Record.Spec == nil {
			continue
		}
		priority, deadlineMs := t.deriveUrgency(j)
		if priority == j.Priority && deadlineMs == j.DeadlineMs {
			continue
		}
		j.Priority, j.DeadlineMs = priority, deadlineMs
		t.notifyMachines(j)
		queue = append(queue, j.dependencies()...)
	}
}

// deriveUrgency returns a job's priority and deadline (0: none), derived from its own record and its
// unfinished dependents: a job that delays an urgent job is equally urgent.
func (t *Table) deriveUrgency(j *Job) (priority int, deadlineMs int64) {
	spec := j.Record.Spec
	priority = PriorityRank(spec.Priority)
	if spec.DeadlineS != nil {
		deadlineMs = j.Record.AcceptedAtMs + int64(*spec.DeadlineS*millisPerSecond)
	}
	for jobID := range t.dependents[j.ID] {
		dependent := t.Jobs[jobID]
		if dependent == nil || dependent.Phase.Final() || dependent.Record.Spec == nil {
			continue
		}
		priority = min(priority, dependent.Priority)
		if dependent.DeadlineMs <= 0 {
			continue
		}
		if neededByMs := dependent.dependencyDeadlineMs(); deadlineMs == 0 || neededByMs < deadlineMs {
			deadlineMs = neededByMs
		}
	}
	return priority, deadlineMs
}

const millisPerSecond = 1000

// dependencyDeadlineMs returns the time by which the dependencies of a job with a deadline must end,
// in Unix milliseconds. It leaves the job the run time that its user estimates and
// DependencyStartDelay before its own start.
func (j *Job) dependencyDeadlineMs() int64 {
	estimateMs := int64(j.Record.Spec.EstimateS * millisPerSecond)
	return j.DeadlineMs - estimateMs - tuning.DependencyStartDelay.Milliseconds()
}
