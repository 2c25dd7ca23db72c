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

// mayStartArrive reports whether a direct start of the attempt, or a late copy of one, may still be
// carried out: the worker has not acknowledged a higher fencing token since it was sent.
func (w *Worker) mayStartArrive(attempt Attempt) bool {
	_, sent := w.directStarts[attempt]
	return sent
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

// CanStartDirectly reports whether starts may be sent in direct calls: the token that they would be
// sent with must be below maxToken, the last one of the current membership. Otherwise nothing could
// fence off a start that is held up, or a late copy of it, for as long as the membership lasts.
// membershipToken is the membership's first token.
func (w *Worker) CanStartDirectly(membershipToken, maxToken uint64) bool {
	return max(w.FencingToken, membershipToken) < maxToken
}

// FencePendingStarts raises the fencing token of our commands to this worker above that of every
// pending start: once a message of the worker carries the new token, the worker refuses those
// starts. It changes nothing if the token already is above them. It returns false if the tokens of
// the current membership, of which maxToken is the last, are used up.
func (w *Worker) FencePendingStarts(maxToken uint64) bool {
	pending := uint64(0) // the highest token of a pending start
	for start := range w.pendingStarts {
		pending = max(pending, start.token)
	}
	if !w.raiseTokenAbove(pending, maxToken) {
		return false
	}
	w.NoPendingCommands = false
	w.AwaitedToken = pending + 1
	return true
}

// FenceExitedAttempts raises the fencing token of our commands to this worker above those of the
// direct starts of all listed attempts that have exited, so that the attempts can be reaped once a
// message of the worker carries the new token. It reports whether it raised the token, and changes
// nothing if the token already is above them, or if it is maxToken, the last one of the current
// membership.
func (w *Worker) FenceExitedAttempts(maxToken uint64) bool {
	if len(w.directStarts) == 0 {
		return false
	}
	highest := uint64(0) // the highest token of a direct start of an exited attempt
	for id, status := range w.Tasks {
		if status.State == wire.TaskExited {
			highest = max(highest, w.directStarts[Attempt{id, status.Attempt}])
		}
	}
	for _, status := range w.OlderAttempts {
		if id, ok := taskIDOf(status); ok && status.State == wire.TaskExited {
			highest = max(highest, w.directStarts[Attempt{id, status.Attempt}])
		}
	}
	return w.FencingToken <= highest && w.raiseTokenAbove(highest, maxToken)
}

// raiseTokenAbove raises the fencing token above the given one, unless it is above it already. It
// returns false if it can't, because the token is maxToken.
func (w *Worker) raiseTokenAbove(token, maxToken uint64) bool {
	if w.FencingToken > token {
		return true
	}
	if w.FencingToken >= maxToken {
		return false
	}
	w.FencingToken++
	return true
}
