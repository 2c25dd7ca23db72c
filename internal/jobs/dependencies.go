package jobs

import (
	"slices"

	"wheatspur/internal/tuning"
)

// The DAG of dependencies. Whether a waiting job may run, or is cancelled, is never
// stored: it follows from the records of the jobs that it depends on, and is
// derived again whenever one of them changes. Done and Cancelled are final, so
// what is derived from them stands for ever, and every controller derives the
// same whatever the order in which it reads the records.
//
// Phases travel from a job to its dependents (propagate), priority and deadline
// the other way (updateUrgency). Both use queues instead of recursion, so that a
// deep chain can't exhaust the stack, and follow only what changes.

// dependencies lists the jobs that a job still depends on by its own record.
func (j *Job) dependencies() []string {
	if j.Record.Spec == nil || j.Record.Phase.Final() {
		return nil
	}
	return j.Record.Spec.DependsOn
}

// Unfinished lists the jobs that a waiting job waits for, as they were named.
func (t *Table) Unfinished(j *Job) []string {
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

// propagate brings up to date what is derived from a job's record, for itself and
// for all that it reaches; formerDependencies are those of its former record,
// whose urgency may fall.
func (t *Table) propagate(jobID string, formerDependencies []string) {
	urgencyMayChange := append([]string{jobID}, formerDependencies...)
	for queue := []string{jobID}; len(queue) > 0; {
		j := t.Jobs[queue[0]]
		queue = queue[1:]
		formerPhase := j.Phase
		j.Phase, j.CancelledWith = t.derivePhase(j)
		if j.Phase == formerPhase && j.ID != jobID {
			continue
		}
		t.index(j)
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

// derivePhase is a job's phase as it follows from its own record and the phases of
// its dependencies, and the job with which it is cancelled, if it is. A dependency
// that is not known, or whose record can't be read, is not done.
func (t *Table) derivePhase(j *Job) (phase Phase, cancelledWith string) {
	if j.Record.Phase != Waiting {
		return j.Record.Phase, j.Record.CancelledWith
	}
	allDone := true
	for _, jobID := range j.dependencies() {
		dependency := t.Jobs[jobID]
		if dependency != nil && dependency.Phase == Cancelled {
			phase, _ = j.Record.Phase.Next(JobCancel) // which Waiting takes
			return phase, jobID
		}
		if dependency == nil || dependency.Phase != Done {
			allDone = false
		}
	}
	if !allDone {
		return Waiting, ""
	}
	phase, _ = j.Record.Phase.Next(JobReleased) // which Waiting takes
	return phase, ""
}

// index enters a job in the index of its phase. A job that leaves the open ones
// has claims that must now be stopped, so their machines are announced.
func (t *Table) index(j *Job) {
	delete(t.Open, j.ID)
	delete(t.Waiting, j.ID)
	delete(t.Unrecorded, j.ID)
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
		t.Unrecorded[j.ID] = j
	}
	t.announceMachines(j)
}

// announceMachines calls OnMachineChange for the machines of a job's claims.
func (t *Table) announceMachines(j *Job) {
	for _, task := range j.Claims {
		t.OnMachineChange(task.Machine)
	}
}

// updateUrgency derives the priority and the deadline of jobs again, and of those
// that they depend on as far as that changes them.
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
		t.announceMachines(j)
		queue = append(queue, j.dependencies()...)
	}
}

// deriveUrgency is a job's priority and deadline (0: none), by its own record and
// those of the unfinished jobs that depend on it: a job that holds up an urgent
// one is as urgent.
func (t *Table) deriveUrgency(j *Job) (priority int, deadlineMs int64) {
	spec := j.Record.Spec
	priority = PriorityOrder(spec.Priority)
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
		if startMs := dependent.latestStartMs(); deadlineMs == 0 || startMs < deadlineMs {
			deadlineMs = startMs
		}
	}
	return priority, deadlineMs
}

const millisPerSecond = 1000

// latestStartMs is when the dependencies of a job with a deadline must end, Unix
// milliseconds: early enough for the job to run as long as its user estimates.
func (j *Job) latestStartMs() int64 {
	estimateMs := int64(j.Record.Spec.EstimateS * millisPerSecond)
	return j.DeadlineMs - estimateMs - tuning.DependencyStartDelay.Milliseconds()
}
