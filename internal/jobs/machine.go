package jobs

import "fmt"

// Phase is the stored state of a job.
type Phase string

// Phases of a job.
const (
	Open Phase = "open"
	// Waiting is the phase of a job that depends on others. It stays stored until
	// the job ends: whether the job may start, or is cancelled with one that it
	// depends on, follows from the records of those (Table). Versions that do not
	// know the phase answer "queued" and never place such a job.
	Waiting   Phase = "waiting"
	Done      Phase = "done"
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Done || p == Cancelled }

// JobEvent changes a job's phase.
type JobEvent string

// Events of a job.
const (
	JobCompleted JobEvent = "completed" // all tasks are stored done
	JobCancel    JobEvent = "cancel"    // its user asked, or a job that it depends on is cancelled
	JobReleased  JobEvent = "released"  // all jobs that it depends on are stored done
)

// Next is the one function that changes a job's phase.
func (p Phase) Next(e JobEvent) (Phase, error) {
	switch {
	case p == Open && e == JobCompleted:
		return Done, nil
	case (p == Open || p == Waiting) && e == JobCancel:
		return Cancelled, nil
	case p == Waiting && e == JobReleased:
		return Open, nil
	}
	return p, fmt.Errorf("job: no %s in phase %s", e, p)
}

// State is the stored state of a task.
type State uint8

// States of a task.
const (
	Pending   State = 0 // runs nowhere
	Claimed   State = 1 // may be on its host, counts against every limit
	Completed State = 2 // its result is kept
)

func (s State) String() string {
	return [...]string{"pending", "claimed", "completed"}[s]
}

// TaskEvent changes a task's state.
type TaskEvent struct {
	Kind        TaskEventKind
	Machine     string // of a claim
	Incarnation uint64 // of a claim
}

// TaskEventKind names the events of a task.
type TaskEventKind string

// Events of a task. All but Claim rest on proof that the attempt has ended.
const (
	Claim    TaskEventKind = "claim"
	Complete TaskEventKind = "complete"
	Release  TaskEventKind = "release" // ended without fault of the task
	Fail     TaskEventKind = "fail"    // ended with an error
)

// failuresCap keeps the stored count of failures short.
const failuresCap = 20

// Next is the one function that changes a task's state.
func (t Task) Next(e TaskEvent) (Task, error) {
	switch {
	case t.State == Pending && e.Kind == Claim:
		return Task{State: Claimed, Attempt: t.Attempt + 1, Machine: e.Machine, Incarnation: e.Incarnation, Failures: t.Failures}, nil
	case t.State == Claimed && e.Kind == Complete:
		return Task{State: Completed, Attempt: t.Attempt}, nil
	case t.State == Claimed && e.Kind == Release:
		return Task{State: Pending, Attempt: t.Attempt, Failures: t.Failures}, nil
	case t.State == Claimed && e.Kind == Fail:
		return Task{State: Pending, Attempt: t.Attempt, Failures: min(t.Failures+1, failuresCap)}, nil
	}
	return t, fmt.Errorf("task: no %s in state %s", e.Kind, t.State)
}
