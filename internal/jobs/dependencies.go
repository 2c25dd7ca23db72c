package jobs

import (
	"slices"

	"wheatspur/internal/tuning"
)

// Jobs that depend on others. What a waiting job may do is never stored: it follows
// from the records of the jobs that it depends on, and is derived again whenever
// one of them changes, in work lists whose length follows what changes. Done
// and cancelled are final, so what is derived from them stands for ever.

// dependencies lists the jobs that a job still waits for by its own record.
func (j *Job) dependencies() []string {
	if j.Record.Spec == nil || j.Record.Phase.Final() {
		return nil
	}
	return j.Record.Spec.DependsOn
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

// phase is a job's phase as it follows from its own record and the phases of
// those that it depends on. One that is not known, or whose record can't be read,
// is not done.
func (t *Table) phase(j *Job) (p Phase, via string) {
	if j.Record.Phase != Waiting {
		return j.Record.Phase, j.Record.CancelledWith
	}
	event := JobReleased
	for _, jobID := range j.dependencies() {
		a := t.Jobs[jobID]
		switch {
		case a != nil && a.Phase == Cancelled:
			event, via = JobCancel, jobID
		case event == JobReleased && (a == nil || a.Phase != Done):
			event = ""
		}
		if event == JobCancel {
			break
		}
	}
	if event == "" {
		return Waiting, ""
	}
	p, _ = j.Record.Phase.Next(event) // waiting takes both
	return p, via
}

// propagate brings up to date what follows from a job's record, for itself and
// for all that it reaches; before is what it depended on by its former record.
func (t *Table) propagate(jobID string, before []string) {
	up := append([]string{jobID}, before...) // whose hints may change
	for list := []string{jobID}; len(list) > 0; {
		j := t.Jobs[list[0]]
		list = list[1:]
		was, first := j.Phase, j.ID == jobID
		j.Phase, j.CancelledWith = t.phase(j)
		if was == j.Phase && !first {
			continue
		}
		t.index(j)
		for next := range t.dependents[j.ID] {
			if t.Jobs[next] != nil {
				list = append(list, next)
			}
		}
		if j.Record.Spec != nil {
			up = append(up, j.dependencies()...)
		}
	}
	t.updateUrgency(up)
}

// index enters a job in the index of its phase.
func (t *Table) index(j *Job) {
	delete(t.Open, j.ID)
	delete(t.Waiting, j.ID)
	delete(t.Unrecorded, j.ID)
	j.ReadyAtMs = j.Record.AcceptedAtMs
	switch {
	case j.Phase == Open:
		t.Open[j.ID] = j
		for _, jobID := range j.dependencies() {
			if a := t.Jobs[jobID]; a != nil {
				j.ReadyAtMs = max(j.ReadyAtMs, a.Record.EndedAtMs)
			}
		}
		return
	case j.Phase == Waiting:
		t.Waiting[j.ID] = j
	case !j.Record.Phase.Final():
		t.Unrecorded[j.ID] = j
	}
	for _, task := range j.Claims {
		t.OnMachineChange(task.Machine)
	}
}

// updateUrgency works out again the priority and the deadline of jobs, and of those that
// they depend on as far as that changes them.
func (t *Table) updateUrgency(list []string) {
	for len(list) > 0 {
		j := t.Jobs[list[0]]
		list = list[1:]
		if j == nil || j.Record.Spec == nil {
			continue
		}
		priority, deadline := t.urgency(j)
		if priority == j.Priority && deadline == j.DeadlineMs {
			continue
		}
		j.Priority, j.DeadlineMs = priority, deadline
		for _, task := range j.Claims {
			t.OnMachineChange(task.Machine)
		}
		list = append(list, j.dependencies()...)
	}
}

// urgency is a job's priority and deadline (0: none), by its own record and
// those of the unfinished jobs that depend on it.
func (t *Table) urgency(j *Job) (priority int, deadline int64) {
	spec := j.Record.Spec
	priority = PriorityOrder(spec.Priority)
	if spec.DeadlineS != nil {
		deadline = j.Record.AcceptedAtMs + int64(*spec.DeadlineS*1000)
	}
	for jobID := range t.dependents[j.ID] {
		next := t.Jobs[jobID]
		if next == nil || next.Phase.Final() || next.Record.Spec == nil {
			continue
		}
		priority = min(priority, next.Priority)
		if next.DeadlineMs <= 0 {
			continue
		}
		if start := next.latestStart(); deadline == 0 || start < deadline {
			deadline = start
		}
	}
	return priority, deadline
}

// latestStart is when the jobs that a job with a deadline waits for must end:
// what it takes by its owner's estimate is not there for them.
func (j *Job) latestStart() int64 {
	estimate := int64(j.Record.Spec.EstimateS * 1000)
	return j.DeadlineMs - estimate - tuning.StepGap.Milliseconds()
}

// Unfinished lists the jobs that a waiting job waits for, as they were named.
func (t *Table) Unfinished(j *Job) []string {
	return slices.DeleteFunc(slices.Clone(j.dependencies()), func(jobID string) bool {
		a := t.Jobs[jobID]
		return a != nil && a.Phase == Done
	})
}
