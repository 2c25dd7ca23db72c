// This file holds the direct calls to workers: what a worker should not wait for
// its next heartbeat for.

package fleet

import (
	"slices"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// startRepeatPause is how long a start that went with the answer to a heartbeat is
// not sent directly, too: by then the next heartbeat, which comes up to a quarter of
// an interval late, has shown what came of it.
func (wm *WorkerManager) startRepeatPause() time.Duration {
	return wm.Settings.HeartbeatInterval() * 3 / 2
}

// heartbeatOverdue is how long after the last message of a worker its next heartbeat
// is overdue: they come up to a quarter of an interval late.
func (wm *WorkerManager) heartbeatOverdue() time.Duration {
	return wm.Settings.HeartbeatInterval() * 5 / 4
}

// sendDirectCommands calls a worker, if there are starts or kills that should not
// wait for its next heartbeat, or if its acknowledgement of the fencing token is
// wanted. Without a free slot it does nothing: the answer to the next heartbeat then
// carries the commands. The lock is held.
func (wm *WorkerManager) sendDirectCommands(w *worker.Worker, now time.Time) {
	if !wm.needsCall(w) || !wm.canCall(w) {
		return
	}
	silent := now.Sub(w.LastHeard) >= wm.SilenceTimeout()
	commands := wm.directCommands(w, silent, now)
	if len(commands) == 0 && !wm.wantsAcknowledgement(w, now) {
		return
	}
	if len(wm.CallSlots) < wm.callSlotLimit(commands, silent) {
		wm.startCall(w, commands, now)
	}
}

// needsCall reports whether there may be anything to send to a worker or to ask of
// it. The lock is held.
func (wm *WorkerManager) needsCall(w *worker.Worker) bool {
	return !w.NoPendingCommands || w.State != worker.TokenAcknowledged || w.Unresponsive || wm.isTokenUnseen(w)
}

// isTokenUnseen reports whether a worker has yet to acknowledge a fencing token that
// was raised above the membership's for it alone. The lock is held.
func (wm *WorkerManager) isTokenUnseen(w *worker.Worker) bool {
	return w.FencingToken > max(w.AcknowledgedToken, wm.Membership.FencingToken)
}

// canCall reports whether a worker may be called now. While this controller recovers
// it may not once the slots for starts are taken. Guards against starts that use up
// the rate of starts and then can't go. The lock is held.
func (wm *WorkerManager) canCall(w *worker.Worker) bool {
	if w.CallInFlight || w.Address == "" || w.State == worker.LeaseExpired || !wm.StoreReadRecently() {
		return false
	}
	return wm.recovery.Progress.IsRecovered() || len(wm.CallSlots) < wm.startSlotLimit()
}

// directCommands returns the commands that are due for a worker and may go by a
// direct call now, and notes whether any are left for later. The lock is held.
func (wm *WorkerManager) directCommands(w *worker.Worker, silent bool, now time.Time) []wire.Command {
	if w.NoPendingCommands || w.Incarnation == 0 {
		return nil
	}
	due, postponed := w.Commands(wm.Table.ClaimsByMachine[w.Machine], worker.CommandOptions{
		Channel:            worker.DirectCall,
		AllowStarts:        wm.mayStartOn(w.Machine) && !silent,
		Now:                now,
		ResendAfterCall:    wm.Settings.HeartbeatInterval(),
		RestartAfterAnswer: wm.startRepeatPause(),
		AdmitStart:         wm.recovery.admitStart,
	})
	w.NoPendingCommands = !postponed
	var commands []wire.Command
	for _, command := range due {
		if !mayGoDirectly(command, silent) {
			continue
		}
		w.NoPendingCommands = false
		if now.Sub(w.SentCommands[worker.CommandKeyOf(command)]) > wm.Settings.HeartbeatInterval() {
			commands = append(commands, command)
		}
	}
	return commands
}

// mayGoDirectly reports whether a command may go by a direct call. A reap never may:
// see worker.Worker.Commands. A silent machine gets kills only: it may only be unable
// to reach us, and run what was cancelled.
func mayGoDirectly(command wire.Command, silent bool) bool {
	return command.Verb == wire.VerbKill || command.Verb != wire.VerbReap && !silent
}

// wantsAcknowledgement reports whether a worker is called although there is no
// command for it, so that it acknowledges the fencing token, or shows that it hears
// calls. The lock is held.
func (wm *WorkerManager) wantsAcknowledgement(w *worker.Worker, now time.Time) bool {
	if now.Sub(w.LastCall) < tuning.TokenAnnouncePause {
		return false
	}
	switch {
	case w.State == worker.TokenUnacknowledged && now.Sub(w.LastHeard) > wm.heartbeatOverdue() && now.Sub(wm.MembershipChangedAt) > tuning.MembershipSettle:
		return true
	case w.Unresponsive && now.Sub(w.LastCall) > tuning.UnresponsivePause:
		return true
	}
	// The sooner a worker acknowledges a raised token, the sooner the starts under
	// lower ones are void.
	return w.State == worker.TokenAcknowledged && wm.isTokenUnseen(w)
}

// callSlotLimit is how many of the slots for direct calls may be taken before a call
// with these commands goes: kills may take the last one, starts leave some to kills,
// and calls that only ask leave half to both, since each call to a machine that hangs
// holds its slot for tuning.WorkerCallTimeout.
func (wm *WorkerManager) callSlotLimit(commands []wire.Command, silent bool) int {
	switch {
	case len(commands) == 0, silent:
		return cap(wm.CallSlots) / 2
	case !slices.ContainsFunc(commands, func(command wire.Command) bool { return command.Verb == wire.VerbKill }):
		return wm.startSlotLimit()
	}
	return cap(wm.CallSlots)
}

// startSlotLimit is how many of the slots for direct calls may be taken before a call
// that holds starts goes.
func (wm *WorkerManager) startSlotLimit() int { return cap(wm.CallSlots) * 3 / 4 }

// startCall notes what a direct call to a worker sends, and makes the call in a
// goroutine of its own. There are at most as many as slots, and each ends within the
// client's timeout. A clean stop waits until all slots are free; nothing else waits
// for them, since a worker that hangs would hold up the end of the process. The lock
// is held.
func (wm *WorkerManager) startCall(w *worker.Worker, commands []wire.Command, now time.Time) {
	wm.CallSlots <- struct{}{} // does not wait: filled with the lock held only, after a look at how many are taken
	wm.recordSentCommands(w, commands, now)
	starts := worker.StartedAttempts(commands)
	w.FencingToken = max(w.FencingToken, wm.Membership.FencingToken)
	w.StartsSent(starts, w.FencingToken)
	w.LastCall, w.CallInFlight = now, true
	if commands == nil {
		commands = []wire.Command{} // an empty list on the wire, not null
	}
	go wm.callWorker(w, w.Address, wire.CommandRequest{FencingToken: w.FencingToken, Incarnation: max(w.Incarnation, 1), Commands: commands}, starts)
}

// recordSentCommands notes when direct commands went, and forgets those sent long
// ago. The lock is held.
func (wm *WorkerManager) recordSentCommands(w *worker.Worker, commands []wire.Command, now time.Time) {
	for key, sentAt := range w.SentCommands {
		if now.Sub(sentAt) > tuning.SentCommandHeartbeats*wm.Settings.HeartbeatInterval() {
			delete(w.SentCommands, key)
		}
	}
	for _, command := range commands {
		w.SentCommands[worker.CommandKeyOf(command)] = now
	}
}

// callWorker makes a direct call, enters what came of it, and then frees the slot. It
// takes the lock.
func (wm *WorkerManager) callWorker(w *worker.Worker, address string, request wire.CommandRequest, starts []worker.Attempt) {
	defer func() { <-wm.CallSlots }()
	_, heartbeat, err := wm.Client.SendCommands(address, request)
	wm.finishCall(w, request, starts, heartbeat, err)
}

// finishCall enters the outcome of a direct call. It takes the lock.
func (wm *WorkerManager) finishCall(w *worker.Worker, request wire.CommandRequest, starts []worker.Attempt, heartbeat *wire.Heartbeat, err error) {
	wm.Lock()
	defer wm.Unlock()
	w.CallInFlight = false
	if err != nil {
		// The starts may yet be carried out: they stay pending.
		wm.Log.Debug(logging.EventDirectCommandFailed, logging.KeyMachine, w.Machine, logging.KeyError, err)
		return
	}
	w.StartsAnswered(starts, request.FencingToken, heartbeat.Incarnation, heartbeat.Sequence)
	w.CallAnswered()
	if wm.ByMachine[w.Machine] == w && heartbeat.Machine == w.Machine && wm.IsMember() && heartbeat.FencingToken <= wm.workerToken(w.Machine) {
		wm.applyHeartbeat(w, heartbeat, wm.Now())
	}
	cluster.Wake(wm.PassWake)
}

// fencePendingStarts makes void what may yet start tasks of cancelled jobs on a
// machine: a start whose call was not answered may be delayed in the network, or by a
// machine that hangs. The machine's fencing token is raised, which costs nobody else
// anything; once its worker acknowledges it, the start is void and its claim is
// released. The lock is held.
func (wm *WorkerManager) fencePendingStarts(w *worker.Worker) {
	if w.CallInFlight {
		return // its answer may come yet
	}
	for _, attempt := range w.ClaimsBlockedByStarts(wm.Table.ClaimsByMachine[w.Machine]) {
		if w.FencePendingStarts(wm.Membership.LastToken()) {
			wm.Log.Debug(logging.EventPendingStartFenced, logging.KeyTask, attempt.ID, logging.KeyAttempt, attempt.Number, logging.KeyMachine, w.Machine, logging.KeyToken, w.FencingToken)
		}
	}
}
