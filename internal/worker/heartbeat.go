package worker

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// IsStale reports whether a report is a late copy of one that this node has seen,
// or older: the network may deliver such copies minutes late. It guards against
// a dead machine that looks alive and a lease that seems renewed.
func (w *Worker) IsStale(r *wire.Heartbeat) bool {
	return r.Incarnation < w.Incarnation || r.Incarnation == w.Incarnation && r.Sequence <= w.HeartbeatSequence
}

// ApplyHeartbeat enters a report that arrived now, if it is newer than what is known.
// token is the one of our membership; a worker that has shown it or one that
// stands above it for this worker alone (InvalidateStarts) has heard us.
func (w *Worker) ApplyHeartbeat(r *wire.Heartbeat, token uint64, now time.Time) bool {
	if w.FirstHeard.IsZero() {
		w.FirstHeard = now
	}
	if r.Incarnation < w.Incarnation || r.Incarnation == w.Incarnation && r.Sequence <= w.Sequence {
		return false
	}
	if r.Incarnation > w.Incarnation {
		// Guards against taking an old session's proof for the new one's, and
		// against waiting for starts that the worker now refuses.
		w.State = w.State.Next(EventNewIncarnation)
		clear(w.pendingStarts)
		clear(w.answeredStarts)
		clear(w.SentCommands)
		clear(w.Stopping)
		clear(w.unconfirmedCommands)
		w.HeartbeatSequence = 0
	}
	w.Machine, w.Address, w.MachineType, w.Zone, w.Spot = r.Machine, r.Address, r.MachineType, r.Zone, r.Spot
	w.Incarnation, w.Sequence, w.LastHeard = r.Incarnation, r.Sequence, now
	w.MarkChanged()
	w.AcknowledgedToken = max(w.AcknowledgedToken, r.FencingToken)
	w.FencingToken = max(w.FencingToken, token)
	if token > 0 && r.FencingToken >= token {
		if w.State == TokenUnacknowledged {
			w.State = w.State.Next(EventTokenAcknowledged)
			w.AcknowledgedAt = now
		}
	}
	// Starts under lower tokens than the worker has shown are dead from here on,
	// and this message shows what came of them. Those under the same are not:
	// one sent before the proof may still be held somewhere.
	for k := range w.pendingStarts {
		if k.token < r.FencingToken {
			delete(w.pendingStarts, k)
		}
	}
	if r.TerminationNoticeS == nil {
		w.TerminationAt = time.Time{}
	} else {
		w.TerminationAt = now.Add(time.Duration(*r.TerminationNoticeS * float64(time.Second)))
	}
	clear(w.Tasks)
	for _, s := range r.Tasks {
		jobID, n, ok := jobs.ParseTaskName(s.Task)
		if !ok {
			continue
		}
		id := jobs.TaskID{Job: jobID, Task: n}
		// The task may be listed with an older, exited attempt too: the newest
		// attempt counts, and an older one is still to be reaped.
		if old, dup := w.Tasks[id]; dup && old.Attempt > s.Attempt {
			continue
		}
		w.Tasks[id] = s
	}
	w.updateRunningSince(now)
	return true
}

// updateRunningSince notes since when the listed tasks have run.
func (w *Worker) updateRunningSince(now time.Time) {
	for id := range w.RunningSince {
		if w.Tasks[id].State != wire.TaskRunning {
			delete(w.RunningSince, id)
		}
	}
	for id, s := range w.Tasks {
		if _, noted := w.RunningSince[id]; s.State == wire.TaskRunning && !noted {
			w.RunningSince[id] = now
		}
	}
}

// HeartbeatAnswered notes that a report was answered with 200 and these commands. A
// command that is due again and again is not heard: the machine's reports get
// through to us and our answers not to it.
func (w *Worker) HeartbeatAnswered(r *wire.Heartbeat, commands []wire.Command, now time.Time) {
	w.LastAnswered, w.HeartbeatSequence = now, r.Sequence
	w.nothingToReconcile = false // a start that this report shows the end of may be forgotten
	for a, sequence := range w.answeredStarts {
		if sequence < r.Sequence {
			delete(w.answeredStarts, a) // this report shows what came of it
		}
	}
	for _, a := range StartedAttempts(commands) {
		w.answeredStarts[a] = max(w.answeredStarts[a], r.Sequence)
	}
	unconfirmed := make(map[CommandKey]time.Time, len(commands))
	late := false
	for _, o := range commands {
		c := KeyOf(o)
		at, before := w.unconfirmedCommands[c]
		if !before {
			at = now
		}
		unconfirmed[c] = at
		late = late || now.Sub(at) > tuning.ConfirmAfter
	}
	switch {
	case late:
		w.Unresponsive = true
	case len(unconfirmed) < len(w.unconfirmedCommands):
		w.Unresponsive = false // something was carried out
	}
	w.unconfirmedCommands = unconfirmed
}

// CallAnswered notes that the worker answered a direct call.
func (w *Worker) CallAnswered() {
	w.Unresponsive = false
	clear(w.unconfirmedCommands)
}
