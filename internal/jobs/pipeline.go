package jobs

import (
	"slices"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Jobs that depend on others. What a waiting job may do is never stored: it follows
// from the records of the jobs that it depends on, and is derived again whenever
// one of them changes, in work lists whose length follows what changes. Done
// and cancelled are final, so what is derived from them stands for ever.

// CheckDependencies refuses a list that names what can't be depended on; accepted tells of a job whether it is known,
// and whether it is a service.
func CheckDependencies(w *wire.JobSpec, accepted func(jobID string) (known, service bool)) error {
	for _, jobID := range w.DependsOn {
		if !wire.ValidJobID(jobID) {
			return Refusal("awaits names no job: " + jobID[:min(len(jobID), 40)])
		}
		if jobID == w.ID {
			return Refusal("a job can't await itself")
		}
		switch known, service := accepted(jobID); {
		case !known:
			return Refusal("awaits names a job that was never accepted: " + jobID)
		case service:
			return Refusal("awaits names a service, which never ends: " + jobID)
		}
	}
	return nil
}

// dependencies lists the jobs that a job still waits for by its own record.
func (j *Job) dependencies() []string {
	if j.Record.Spec == nil || j.Record.Phase.Final() {
		return nil
	}
	return j.Record.Spec.DependsOn
}

func (t *Table) link(j *Job) {
	for _, jobID := range j.dependencies() {
		if t.after[jobID] == nil {
			t.after[jobID] = map[string]bool{}
		}
		t.after[jobID][j.ID] = true
	}
}

func (t *Table) unlink(j *Job) {
	for _, jobID := range j.dependencies() {
		delete(t.after[jobID], j.ID)
		if len(t.after[jobID]) == 0 {
			delete(t.after, jobID)
		}
	}
}

// phase is a job's phase as it follows from its own record and the phases of
// those that it depends on. One that is not known, or whose record can't be read,
// is not done.
func (t *Table) phase(j *Job) (p Phase, via string) {
	if j.Record.Phase != Waiting {
		return j.Record.Phase, j.Record.Via
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

// derive brings up to date what follows from a job's record, for itself and
// for all that it reaches; before is what it depended on by its former record.
func (t *Table) derive(jobID string, before []string) {
	up := append([]string{jobID}, before...) // whose hints may change
	for list := []string{jobID}; len(list) > 0; {
		j := t.Jobs[list[0]]
		list = list[1:]
		was, first := j.Phase, j.ID == jobID
		j.Phase, j.Via = t.phase(j)
		if was == j.Phase && !first {
			continue
		}
		t.file(j)
		for next := range t.after[j.ID] {
			if t.Jobs[next] != nil {
				list = append(list, next)
			}
		}
		if j.Record.Spec != nil {
			up = append(up, j.dependencies()...)
		}
	}
	t.hint(up)
}

// file enters a job in the index of its phase.
func (t *Table) file(j *Job) {
	delete(t.Open, j.ID)
	delete(t.Waiting, j.ID)
	delete(t.Unrecorded, j.ID)
	j.Ready = j.Record.At
	switch {
	case j.Phase == Open:
		t.Open[j.ID] = j
		for _, jobID := range j.dependencies() {
			if a := t.Jobs[jobID]; a != nil {
				j.Ready = max(j.Ready, a.Record.End)
			}
		}
		return
	case j.Phase == Waiting:
		t.Waiting[j.ID] = j
	case !j.Record.Phase.Final():
		t.Unrecorded[j.ID] = j
	}
	for _, task := range j.Live {
		t.Moved(task.Host)
	}
}

// hint works out again the priority and the deadline of jobs, and of those that
// they depend on as far as that changes them.
func (t *Table) hint(list []string) {
	for len(list) > 0 {
		j := t.Jobs[list[0]]
		list = list[1:]
		if j == nil || j.Record.Spec == nil {
			continue
		}
		priority, deadline := t.urgency(j)
		if priority == j.Priority && deadline == j.Deadline {
			continue
		}
		j.Priority, j.Deadline = priority, deadline
		for _, task := range j.Live {
			t.Moved(task.Host)
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
		deadline = j.Record.At + int64(*spec.DeadlineS*1000)
	}
	for jobID := range t.after[j.ID] {
		next := t.Jobs[jobID]
		if next == nil || next.Phase.Final() || next.Record.Spec == nil {
			continue
		}
		priority = min(priority, next.Priority)
		if next.Deadline <= 0 {
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
	return j.Deadline - estimate - tuning.StepGap.Milliseconds()
}

// Unfinished lists the jobs that a waiting job waits for, as they were named.
func (t *Table) Unfinished(j *Job) []string {
	return slices.DeleteFunc(slices.Clone(j.dependencies()), func(jobID string) bool {
		a := t.Jobs[jobID]
		return a != nil && a.Phase == Done
	})
}
