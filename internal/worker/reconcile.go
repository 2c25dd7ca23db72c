package worker

import (
	"cmp"
	"slices"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/wire"
)

// ProvenEnd is a claim whose attempt has surely ended.
type ProvenEnd struct {
	Task  jobs.TaskID
	Kind  jobs.TaskEventKind // what the end means for the task
	Cause string             // the worker's exit cause, or the reason of package recovery
}

// endEvents are the events of a claim's task that proven updates lead to.
var endEvents = map[recovery.TaskUpdate]jobs.TaskEventKind{
	recovery.UpdateDone: jobs.Complete, recovery.UpdateFailed: jobs.Fail, recovery.UpdateReleased: jobs.Release,
}

// ProvenEnds returns the claims on the machine whose attempts have surely ended,
// in the order of their tasks. claims are those stored for this machine.
func (w *Worker) ProvenEnds(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []ProvenEnd {
	w.ExpireLease(now, lease)
	observed := w.observedWorker()
	var ends []ProvenEnd
	for id, job := range claims {
		task := job.Claims[id.Task]
		status, listed := w.Tasks[id]
		observed.NeverRan = job.Phase == jobs.Cancelled && w.neverRan(Attempt{id, task.Attempt})
		update, reason := recovery.ProvenUpdate(desiredTask(job, task), observedTask(status, listed), observed)
		if update == recovery.NoUpdate {
			continue
		}
		cause := string(reason)
		if reason == recovery.ReasonExited {
			cause = status.ExitCause
		}
		ends = append(ends, ProvenEnd{id, endEvents[update], cause})
	}
	slices.SortFunc(ends, func(a, b ProvenEnd) int { return compareTaskIDs(a.Task, b.Task) })
	w.nothingToReconcile = len(ends) == 0
	return ends
}

// NothingToReconcile reports whether ProvenEnds would return nothing: it did,
// and since then nothing has changed, nor has the lease expired.
func (w *Worker) NothingToReconcile(now time.Time, lease time.Duration) bool {
	return w.nothingToReconcile && !w.ExpireLease(now, lease)
}

// desiredTask is a claim on the machine in the form of package recovery; job is
// nil if there is none.
func desiredTask(job *jobs.Job, task jobs.Task) recovery.DesiredTask {
	if job == nil {
		return recovery.DesiredTask{}
	}
	return recovery.DesiredTask{
		Claimed:     true,
		Open:        job.Phase == jobs.Open,
		Cancelled:   job.Phase == jobs.Cancelled,
		Attempt:     task.Attempt,
		Incarnation: task.Incarnation,
	}
}

// observedTask is a task of a message in the form of package recovery.
func observedTask(status wire.TaskStatus, listed bool) recovery.ObservedTask {
	if !listed {
		return recovery.ObservedTask{}
	}
	observed := recovery.ObservedTask{Attempt: status.Attempt}
	switch status.State {
	case wire.TaskExited:
		observed.State = recovery.Exited
	case wire.TaskCheckpointing:
		observed.State = recovery.Checkpointing
	default:
		observed.State = recovery.Alive
	}
	switch status.ExitCause {
	case wire.ExitCauseDone:
		observed.Cause = recovery.ExitDone
	case wire.ExitCauseError, wire.ExitCauseUnknown:
		observed.Cause = recovery.ExitFailed
	}
	return observed
}

// observedWorker is the worker's incarnation in the form of package recovery.
func (w *Worker) observedWorker() recovery.Worker {
	observed := recovery.Worker{Incarnation: w.Incarnation, State: recovery.TokenUnacknowledged}
	switch w.State {
	case TokenAcknowledged:
		observed.State = recovery.TokenAcknowledged
	case LeaseExpired:
		observed.State = recovery.LeaseExpired
	}
	return observed
}

func compareTaskIDs(a, b jobs.TaskID) int {
	if c := cmp.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	return cmp.Compare(a.Task, b.Task)
}
