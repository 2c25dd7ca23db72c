package worker

import (
	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Attempt is one try of a task.
type Attempt struct {
	ID     jobs.TaskID
	Number uint64
}

// pendingStart is a direct start under a token.
type pendingStart struct {
	Attempt
	token uint64
}

// StartedAttempts lists the attempts that a list of commands starts.
func StartedAttempts(commands []wire.Command) []Attempt {
	var out []Attempt
	for _, o := range commands {
		if o.Verb != wire.VerbStart {
			continue
		}
		if jobID, n, ok := jobs.ParseTaskName(o.Task); ok {
			out = append(out, Attempt{jobs.TaskID{Job: jobID, Task: n}, o.Attempt})
		}
	}
	return out
}

// StartsSent notes direct starts that are about to be sent.
func (w *Worker) StartsSent(starts []Attempt, token uint64) {
	for _, a := range starts {
		w.pendingStarts[pendingStart{a, token}]++
	}
}

// StartsAnswered notes that a direct call with these starts was answered by a
// report with this session and sequence.
func (w *Worker) StartsAnswered(starts []Attempt, token, session, sequence uint64) {
	w.nothingToReconcile = false
	for _, a := range starts {
		k := pendingStart{a, token}
		if w.pendingStarts[k]--; w.pendingStarts[k] <= 0 {
			delete(w.pendingStarts, k)
		}
		if session == w.Incarnation {
			w.answeredStarts[a] = max(w.answeredStarts[a], sequence)
		}
	}
}

// isStartPending reports whether a direct start of the attempt may yet arrive.
func (w *Worker) isStartPending(a Attempt) bool {
	for k := range w.pendingStarts {
		if k.Attempt == a {
			return true
		}
	}
	return false
}

// neverRan reports whether an attempt of the present session that the newest
// message does not list has not begun, and can't any more unless it is started
// anew: the worker has shown our token, so that former owners' starts are dead;
// none of ours is under way; and a report has come since the last that was.
func (w *Worker) neverRan(a Attempt) bool {
	_, sent := w.answeredStarts[a]
	return w.State == TokenAcknowledged && !sent && !w.isStartPending(a)
}

// ClaimsBlockedByStarts lists the claims of cancelled jobs that a start, which may yet arrive,
// keeps from being released.
func (w *Worker) ClaimsBlockedByStarts(claims map[jobs.TaskID]*jobs.Job) []Attempt {
	if len(w.pendingStarts) == 0 {
		return nil
	}
	var out []Attempt
	for id, j := range claims {
		a := Attempt{id, j.Claims[id.Task].Attempt}
		if s, on := w.Tasks[id]; j.Phase == jobs.Cancelled && !(on && s.Attempt == a.Number) && w.isStartPending(a) {
			out = append(out, a)
		}
	}
	return out
}

// FencePendingStarts makes the starts that are under way void, once the worker
// shows the token that it returns or answers a call with it. most bounds the tokens of
// the present membership; false if they are used up. A token that is raised
// already and not shown yet serves.
func (w *Worker) FencePendingStarts(most uint64) bool {
	top := uint64(0)
	for k := range w.pendingStarts {
		top = max(top, k.token)
	}
	if w.FencingToken <= top {
		if w.FencingToken+tuning.FencingStep > most {
			return false
		}
		w.FencingToken, w.NoPendingCommands = w.FencingToken+tuning.FencingStep, false
	}
	return true
}
