package worker

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// IsStale reports whether a heartbeat is a late copy of one that this controller
// has answered, or older than it: the network may deliver such copies minutes
// late. It guards against a dead machine that looks alive and a lease that seems
// renewed.
func (w *Worker) IsStale(heartbeat *wire.Heartbeat) bool {
	return w.isNotNewer(heartbeat, w.HeartbeatSequence)
}

// isNotNewer reports whether a message is of an earlier incarnation, or of this one
// with at most the given sequence.
func (w *Worker) isNotNewer(message *wire.Heartbeat, sequence uint64) bool {
	return message.Incarnation < w.Incarnation || message.Incarnation == w.Incarnation && message.Sequence <= sequence
}

// ApplyHeartbeat takes in a message that arrived now, a heartbeat or the answer
// to a direct call, and reports whether it is newer than what is known. token is
// the fencing token of our membership: a worker that carries it, or a higher one
// that was raised for this worker alone (FencePendingStarts), has acknowledged us.
func (w *Worker) ApplyHeartbeat(heartbeat *wire.Heartbeat, token uint64, now time.Time) bool {
	if w.FirstHeard.IsZero() {
		w.FirstHeard = now
	}
	if w.isNotNewer(heartbeat, w.Sequence) {
		return false
	}
	if heartbeat.Incarnation > w.Incarnation {
		w.beginIncarnation()
	}
	w.Machine, w.Address, w.MachineType = heartbeat.Machine, heartbeat.Address, heartbeat.MachineType
	w.Zone, w.Spot = heartbeat.Zone, heartbeat.Spot
	w.Incarnation, w.Sequence, w.LastHeard = heartbeat.Incarnation, heartbeat.Sequence, now
	w.MarkChanged()
	w.applyToken(heartbeat.FencingToken, token, now)
	w.applyTerminationNotice(heartbeat.TerminationNoticeS, now)
	w.applyTasks(heartbeat.Tasks)
	w.updateRunningSince(now)
	return true
}

// beginIncarnation drops what held for the former incarnation. Guards against
// taking its acknowledgement for the new one's, and against waiting for starts
// that the worker now refuses.
func (w *Worker) beginIncarnation() {
	w.State = w.State.Next(EventNewIncarnation)
	clear(w.pendingStarts)
	clear(w.answeredStarts)
	clear(w.SentCommands)
	clear(w.Stopping)
	clear(w.unconfirmedCommands)
	w.HeartbeatSequence = 0
}

// applyToken takes in the fencing token that a message carries, shown; token is
// that of our membership.
func (w *Worker) applyToken(shown, token uint64, now time.Time) {
	w.AcknowledgedToken = max(w.AcknowledgedToken, shown)
	w.FencingToken = max(w.FencingToken, token)
	if token > 0 && shown >= token && w.State == TokenUnacknowledged {
		w.State = w.State.Next(EventTokenAcknowledged)
		w.AcknowledgedAt = now
	}
	// The worker refuses starts under lower tokens from here on, and this message
	// shows the effect of those that arrived. Those under the same token may
	// still arrive: one sent before the acknowledgement may be delayed.
	for start := range w.pendingStarts {
		if start.token < shown {
			delete(w.pendingStarts, start)
		}
	}
}

func (w *Worker) applyTerminationNotice(noticeS *float64, now time.Time) {
	if noticeS == nil {
		w.TerminationAt = time.Time{}
		return
	}
	w.TerminationAt = now.Add(time.Duration(*noticeS * float64(time.Second)))
}

// applyTasks replaces the listed tasks.
func (w *Worker) applyTasks(tasks []wire.TaskStatus) {
	clear(w.Tasks)
	for _, status := range tasks {
		jobID, task, ok := jobs.ParseTaskName(status.Task)
		if !ok {
			continue
		}
		id := jobs.TaskID{Job: jobID, Task: task}
		// The task may be listed with an older, exited attempt too: the newest
		// attempt counts, and an older one is still to be reaped.
		if other, listed := w.Tasks[id]; listed && other.Attempt > status.Attempt {
			continue
		}
		w.Tasks[id] = status
	}
}

// updateRunningSince notes since when the listed tasks have run.
func (w *Worker) updateRunningSince(now time.Time) {
	for id := range w.RunningSince {
		if w.Tasks[id].State != wire.TaskRunning {
			delete(w.RunningSince, id)
		}
	}
	for id, status := range w.Tasks {
		if _, noted := w.RunningSince[id]; status.State == wire.TaskRunning && !noted {
			w.RunningSince[id] = now
		}
	}
}

// HeartbeatAnswered notes that a heartbeat was answered with 200 and these
// commands.
func (w *Worker) HeartbeatAnswered(heartbeat *wire.Heartbeat, commands []wire.Command, now time.Time) {
	w.LastAnswered, w.HeartbeatSequence = now, heartbeat.Sequence
	w.nothingToReconcile = false // answeredStarts changes, and neverRan follows from it
	for attempt, sequence := range w.answeredStarts {
		if sequence < heartbeat.Sequence {
			delete(w.answeredStarts, attempt) // this heartbeat shows its effect
		}
	}
	for _, attempt := range StartedAttempts(commands) {
		w.answeredStarts[attempt] = max(w.answeredStarts[attempt], heartbeat.Sequence)
	}
	w.updateUnconfirmed(commands, now)
}

// updateUnconfirmed follows which commands in answers to heartbeats had an
// effect. One that stays due does not arrive: the machine's heartbeats get
// through to us and our answers not to it.
func (w *Worker) updateUnconfirmed(commands []wire.Command, now time.Time) {
	unconfirmed := make(map[CommandKey]time.Time, len(commands))
	overdue := false
	for _, command := range commands {
		key := CommandKeyOf(command)
		firstSent, repeated := w.unconfirmedCommands[key]
		if !repeated {
			firstSent = now
		}
		unconfirmed[key] = firstSent
		overdue = overdue || now.Sub(firstSent) > tuning.ConfirmAfter
	}
	switch {
	case overdue:
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
