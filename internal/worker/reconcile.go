package worker

import (
	"cmp"
	"slices"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/wire"
)

// ProvenEnd is a claim whose attempt is proven to have ended.
type ProvenEnd struct {
	Task  jobs.TaskID
	Kind  jobs.TaskEventKind // the event that the end causes for the task
	Cause string             // the exit cause reported by the worker, or the reason given by package recovery
}

// endEvents maps an update proven by a worker to the event that it causes for the claimed task.
var endEvents = map[recovery.TaskUpdate]jobs.TaskEventKind{
	recovery.UpdateDone: jobs.EventTaskComplete, recovery.UpdateFailed: jobs.EventTaskFail, recovery.UpdateReleased: jobs.EventTaskRelease,
}

// ProvenEnds returns the claims on the machine whose attempts are proven to have ended, ordered by
// task. claims are those stored for this machine.
func (w *Worker) ProvenEnds(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []ProvenEnd {
	w.ExpireLease(now, lease)
	observed := w.observedWorker()
	var ends []ProvenEnd
	for id, job := range claims {
		task := job.Claims[id.Task]
		status, listed := w.Tasks[id]
		observed.AttemptNeverStarted = job.Phase == jobs.Cancelled && w.neverStarted(Attempt{id, task.Attempt})
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

// NothingToReconcile reports whether ProvenEnds is known to return nothing: its last call did, and
// since then nothing has changed and the lease has not expired.
func (w *Worker) NothingToReconcile(now time.Time, lease time.Duration) bool {
	return w.nothingToReconcile && !w.ExpireLease(now, lease)
}

// desiredTask converts a claim on the machine to the input of package recovery. job is nil if the
// task is not claimed.
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

// observedTask converts the status of a task in a message to the input of package recovery.
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

// observedWorker converts the state of the worker's incarnation to the input of package recovery.
func (w *Worker) observedWorker() recovery.Worker {
	observed := recovery.Worker{Incarnation: w.Incarnation, State: recovery.TokenUnacknowledged}
	switch w.State {
	case TokenAcknowledged:
		observed.State = recovery.TokenAcknowledged
	case LeaseExpired:
		observed.State = recovery.WorkerLeaseExpired
	}
	return observed
}

func compareTaskIDs(a, b jobs.TaskID) int {
	if c := cmp.Compare(a.Job, b.Job); c != 0 {
		return c
	}
	return cmp.Compare(a.Task, b.Task)
}
