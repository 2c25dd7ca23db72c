package worker

import (
	"time"

	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// IsStale reports whether a heartbeat is no newer than the newest one that this controller has
// answered, or is from an earlier incarnation: the network may deliver copies of heartbeats minutes
// late. Accepting one would make a dead machine look alive and its lease look renewed.
func (w *Worker) IsStale(heartbeat *wire.Heartbeat) bool {
	return w.isNotNewer(heartbeat, w.HeartbeatSequence)
}

// isNotNewer reports whether a message is from an earlier incarnation, or from the current one with a
// sequence number of at most sequence.
func (w *Worker) isNotNewer(message *wire.Heartbeat, sequence uint64) bool {
	return message.Incarnation < w.Incarnation || message.Incarnation == w.Incarnation && message.Sequence <= sequence
}

// ApplyHeartbeat updates the view from a message that arrived now, a heartbeat or the answer to a
// direct call, unless one as new has been applied before, and reports whether it did. membershipToken
// is the first fencing token of our membership: a message that carries it, or a higher one to which
// the token of this worker alone was raised, acknowledges it.
func (w *Worker) ApplyHeartbeat(heartbeat *wire.Heartbeat, membershipToken uint64, now time.Time) bool {
	if w.FirstHeardAt.IsZero() {
		w.FirstHeardAt = now
	}
	if w.isNotNewer(heartbeat, w.Sequence) {
		return false
	}
	if heartbeat.Incarnation > w.Incarnation {
		w.beginIncarnation()
	}
	w.Machine, w.Address, w.MachineType = heartbeat.Machine, heartbeat.Address, heartbeat.MachineType
	w.Zone, w.Spot = heartbeat.Zone, heartbeat.Spot
	w.Incarnation, w.Sequence, w.LastHeardAt = heartbeat.Incarnation, heartbeat.Sequence, now
	w.MarkChanged()
	w.applyToken(heartbeat.FencingToken, membershipToken, now)
	w.applyTerminationNotice(heartbeat.TerminationNoticeS, now)
	w.applyTasks(heartbeat.Tasks)
	w.updateRunningSince(now)
	return true
}

// beginIncarnation discards the state of the former incarnation: its acknowledgement says nothing
// about the new one, and the worker refuses starts that were sent to the former one.
func (w *Worker) beginIncarnation() {
	w.State = w.State.Next(EventNewIncarnation)
	clear(w.pendingStarts)
	clear(w.directStarts)
	clear(w.answeredStarts)
	clear(w.SentCommands)
	clear(w.StopRequested)
	clear(w.unconfirmedCommands)
	w.HeartbeatSequence = 0
}

// applyToken applies the fencing token of a message; membershipToken is the first one of our
// membership.
func (w *Worker) applyToken(workerToken, membershipToken uint64, now time.Time) {
	if workerToken > w.AcknowledgedToken {
		w.AcknowledgedToken = workerToken
		w.dropFencedStarts()
	}
	w.FencingToken = max(w.FencingToken, membershipToken)
	if membershipToken > 0 && workerToken >= membershipToken && w.State == TokenUnacknowledged {
		w.State = w.State.Next(EventTokenAcknowledged)
		w.AcknowledgedAt = now
	}
}

func (w *Worker) applyTerminationNotice(noticeS *float64, now time.Time) {
	if noticeS == nil {
		w.TerminationAt = time.Time{}
		return
	}
	w.TerminationAt = now.Add(time.Duration(*noticeS * float64(time.Second)))
}

// applyTasks replaces the listed tasks by those of a message.
func (w *Worker) applyTasks(tasks []wire.TaskStatus) {
	clear(w.Tasks)
	w.OlderAttempts = w.OlderAttempts[:0]
	for _, status := range tasks {
		id, ok := taskIDOf(status)
		if !ok {
			continue
		}
		// A message may also list older attempts of the task, which have exited and are yet to be
		// reaped.
		other, listed := w.Tasks[id]
		if listed && other.Attempt > status.Attempt {
			w.OlderAttempts = append(w.OlderAttempts, status)
			continue
		}
		if listed {
			w.OlderAttempts = append(w.OlderAttempts, other)
		}
		w.Tasks[id] = status
	}
}

// updateRunningSince records when each listed task was first seen running, and drops tasks that no
// longer run.
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

// RecordHeartbeatAnswered records that a heartbeat was answered with status 200 and these commands.
func (w *Worker) RecordHeartbeatAnswered(heartbeat *wire.Heartbeat, commands []wire.Command, now time.Time) {
	w.LastAnsweredAt, w.HeartbeatSequence = now, heartbeat.Sequence
	w.nothingToReconcile = false // neverStarted depends on answeredStarts, which changes here
	for attempt, sequence := range w.answeredStarts {
		if sequence < heartbeat.Sequence {
			delete(w.answeredStarts, attempt) // this heartbeat shows the effect of the start
		}
	}
	for _, attempt := range StartedAttempts(commands) {
		w.answeredStarts[attempt] = max(w.answeredStarts[attempt], heartbeat.Sequence)
	}
	w.updateUnconfirmed(commands, now)
}

// updateUnconfirmed tracks which commands in answers to heartbeats have had no effect yet. If one is
// still due after tuning.ConfirmAfter, our answers do not reach the worker although its heartbeats
// reach us, and the worker is marked as unresponsive.
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
		w.Unresponsive = false // at least one command was carried out
	}
	w.unconfirmedCommands = unconfirmed
}

// RecordCallAnswered records that the worker answered a direct call: it is responsive.
func (w *Worker) RecordCallAnswered() {
	w.Unresponsive = false
	clear(w.unconfirmedCommands)
}
