package worker

import (
	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// Attempt is one attempt of a task.
type Attempt struct {
	Task   jobs.TaskID
	Number uint64
}

// pendingStart is a start command sent in a direct call with a fencing token.
type pendingStart struct {
	Attempt
	token uint64
}

// StartedAttempts returns the attempts that commands start.
func StartedAttempts(commands []wire.Command) []Attempt {
	var started []Attempt
	for _, command := range commands {
		if command.Verb != wire.VerbStart {
			continue
		}
		if jobID, task, ok := jobs.ParseTaskName(command.Task); ok {
			started = append(started, Attempt{jobs.TaskID{Job: jobID, Task: task}, command.Attempt})
		}
	}
	return started
}

// RecordStartsSent records that a direct call with these starts is about to be sent.
func (w *Worker) RecordStartsSent(starts []Attempt, token uint64) {
	for _, attempt := range starts {
		w.pendingStarts[pendingStart{attempt, token}]++
		w.directStarts[attempt] = max(w.directStarts[attempt], token)
	}
}

// RecordStartsAnswered records that a direct call with these starts and this fencing token was
// answered by a message with the given incarnation and sequence number.
func (w *Worker) RecordStartsAnswered(starts []Attempt, token, incarnation, sequence uint64) {
	w.nothingToReconcile = false
	for _, attempt := range starts {
		start := pendingStart{attempt, token}
		if w.pendingStarts[start]--; w.pendingStarts[start] <= 0 {
			delete(w.pendingStarts, start)
		}
		if incarnation == w.Incarnation {
			w.answeredStarts[attempt] = max(w.answeredStarts[attempt], sequence)
		}
	}
}

// isStartPending reports whether a direct start of the attempt is not answered and may still arrive.
func (w *Worker) isStartPending(attempt Attempt) bool {
	for start := range w.pendingStarts {
		if start.Attempt == attempt {
			return true
		}
	}
	return false
}

// neverStarted reports whether an attempt that is claimed for this incarnation, and that the newest
// message does not list, is proven not to have started and can start only by a new command. The
// worker must have acknowledged our token, so that it refuses starts of former owners; none of our
// direct starts of the attempt may be pending; and if a start of it was answered, a newer heartbeat
// must have followed.
func (w *Worker) neverStarted(attempt Attempt) bool {
	_, answered := w.answeredStarts[attempt]
	return w.State == TokenAcknowledged && !answered && !w.isStartPending(attempt)
}

// UnreleasableClaims returns, in no particular order, the claims of cancelled jobs that can't be
// released because a pending start may still arrive.
func (w *Worker) UnreleasableClaims(claims map[jobs.TaskID]*jobs.Job) []Attempt {
	if len(w.pendingStarts) == 0 {
		return nil
	}
	var blocked []Attempt
	for id, job := range claims {
		attempt := Attempt{id, job.Claims[id.Task].Attempt}
		status, listed := w.Tasks[id]
		current := listed && status.Attempt == attempt.Number
		if job.Phase == jobs.Cancelled && !current && w.isStartPending(attempt) {
			blocked = append(blocked, attempt)
		}
	}
	return blocked
}
