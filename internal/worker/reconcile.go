package worker

import (
	"sort"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/wire"
)

// desiredTask is a claim on the machine as package recovery takes it; j is nil if there
// is none.
func desiredTask(j *jobs.Job, t jobs.Task) recovery.DesiredTask {
	if j == nil {
		return recovery.DesiredTask{}
	}
	return recovery.DesiredTask{Claimed: true, Open: j.Phase == jobs.Open, Cancelled: j.Phase == jobs.Cancelled, Attempt: t.Attempt, Incarnation: t.Incarnation}
}

// observedTask is a task of a report as package recovery takes it.
func observedTask(s wire.TaskStatus, on bool) recovery.ObservedTask {
	l := recovery.ObservedTask{Attempt: s.Attempt}
	switch {
	case !on:
		return recovery.ObservedTask{}
	case s.State == wire.TaskExited:
		l.State = recovery.Exited
	case s.State == wire.TaskCheckpointing:
		l.State = recovery.Checkpointing
	default:
		l.State = recovery.Alive
	}
	switch s.ExitCause {
	case wire.ExitCauseDone:
		l.Cause = recovery.ExitDone
	case wire.ExitCauseError, wire.ExitCauseUnknown:
		l.Cause = recovery.ExitFailed
	}
	return l
}

// observedWorker is the worker's session as package recovery takes it.
func (w *Worker) observedWorker() recovery.Worker {
	s := recovery.Worker{Incarnation: w.Incarnation}
	switch w.State {
	case TokenAcknowledged:
		s.State = recovery.TokenAcknowledged
	case LeaseExpired:
		s.State = recovery.LeaseExpired
	}
	return s
}

// ProvenEnd is a claim whose end is proven.
type ProvenEnd struct {
	Task  jobs.TaskID
	Kind  jobs.TaskEventKind
	Cause string
}

// endEvents are the events of a claim's task that the proofs lead to.
var endEvents = map[recovery.TaskUpdate]jobs.TaskEventKind{
	recovery.UpdateDone: jobs.Complete, recovery.UpdateFailed: jobs.Fail, recovery.UpdateReleased: jobs.Release,
}

// ProvenEnds returns the claims on the machine whose attempts have surely ended.
// claims are those stored for this machine.
func (w *Worker) ProvenEnds(claims map[jobs.TaskID]*jobs.Job, now time.Time, lease time.Duration) []ProvenEnd {
	w.ExpireLease(now, lease)
	session := w.observedWorker()
	var out []ProvenEnd
	defer func() { w.nothingToReconcile = len(out) == 0 }()
	for id, j := range claims {
		t := j.Claims[id.Task]
		s, on := w.Tasks[id]
		session.NeverRan = j.Phase == jobs.Cancelled && w.neverRan(Attempt{id, t.Attempt})
		record, reason := recovery.ProvenUpdate(desiredTask(j, t), observedTask(s, on), session)
		if record == recovery.NoUpdate {
			continue
		}
		cause := string(reason)
		if reason == recovery.ReasonExited {
			cause = s.ExitCause
		}
		out = append(out, ProvenEnd{id, endEvents[record], cause})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Task.Less(out[b].Task) })
	return out
}

// NothingToReconcile reports whether Proofs would return nothing: it did, and since
// then nothing has changed, nor has the session's lease ended.
func (w *Worker) NothingToReconcile(now time.Time, lease time.Duration) bool {
	return w.nothingToReconcile && !w.ExpireLease(now, lease)
}
