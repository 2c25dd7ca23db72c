// This file holds the direct calls to workers, for commands that should not wait for the
// worker's next heartbeat.

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

// startResendDelay is how long a start that was sent in the response to a heartbeat is not
// also sent in a direct call. The next heartbeat, which is up to a quarter of an interval
// late, shows the effect of the start by then.
func (wm *WorkerManager) startResendDelay() time.Duration {
	return wm.Settings.HeartbeatInterval() * 3 / 2
}

// heartbeatOverdueAfter is how long after a worker's last message its next heartbeat is
// overdue. Heartbeats are up to a quarter of an interval late.
func (wm *WorkerManager) heartbeatOverdueAfter() time.Duration {
	return wm.Settings.HeartbeatInterval() * 5 / 4
}

// sendDirectCommands calls a worker if there are starts or kills that should not wait for its
// next heartbeat, or if the worker should acknowledge the fencing token. If no call slot is
// free, it does nothing, and the commands are sent in the response to the next heartbeat. The
// lock is held.
func (wm *WorkerManager) sendDirectCommands(w *worker.Worker, now time.Time) {
	if !wm.needsCall(w) || !wm.canCall(w) {
		return
	}
	silent := now.Sub(w.LastHeardAt) >= wm.SilenceTimeout()
	commands := wm.directCommands(w, silent, now)
	if len(commands) == 0 && !wm.wantsAcknowledgement(w, now) {
		return
	}
	if len(wm.CallSlots) < wm.callSlotLimit(commands, silent) {
		wm.startCall(w, commands, now)
	}
}

// needsCall reports whether there may be commands to send to a worker, or another reason to
// call it. The lock is held.
func (wm *WorkerManager) needsCall(w *worker.Worker) bool {
	return !w.NoPendingCommands || w.State != worker.TokenAcknowledged || w.Unresponsive || wm.isFencingUnacknowledged(w)
}

// isFencingUnacknowledged reports whether the release of a claim waits for a worker to
// acknowledge a fencing token that was raised above the membership's first one for this worker
// only. Reaps wait for its next heartbeat instead. The lock is held.
func (wm *WorkerManager) isFencingUnacknowledged(w *worker.Worker) bool {
	return w.AwaitedToken > max(w.AcknowledgedToken, wm.Membership.FirstToken())
}

// canCall reports whether a worker may be called now. During recovery it may not be called
// once the call slots for starts are in use. Otherwise starts would be charged to the rate
// limit for starts and then not be sent. The lock is held.
func (wm *WorkerManager) canCall(w *worker.Worker) bool {
	if w.CallInFlight || w.Address == "" || w.State == worker.LeaseExpired || !wm.StoreReadRecently() {
		return false
	}
	return wm.recovery.Progress.IsRecovered() || len(wm.CallSlots) < wm.startSlotLimit()
}

// directCommands returns the commands for a worker that may be sent in a direct call now. It
// also updates w.NoPendingCommands, which stays false while such commands are due or starts
// are postponed. The lock is held.
func (wm *WorkerManager) directCommands(w *worker.Worker, silent bool, now time.Time) []wire.Command {
	if w.NoPendingCommands || w.Incarnation == 0 {
		return nil
	}
	due, postponed := w.Commands(wm.Table.ClaimsByMachine[w.Machine], worker.CommandOptions{
		Channel:           worker.DirectCall,
		AllowStarts:       wm.mayStartOn(w.Machine) && !silent && wm.canStartDirectly(w),
		Now:               now,
		ResendAfterCall:   wm.Settings.HeartbeatInterval(),
		ResendAfterAnswer: wm.startResendDelay(),
		AdmitStart:        wm.recovery.admitStart,
	})
	w.NoPendingCommands = !postponed
	var commands []wire.Command
	for _, command := range due {
		if !canSendDirectly(command, silent) {
			continue
		}
		w.NoPendingCommands = false
		if now.Sub(w.SentCommands[worker.CommandKeyOf(command)]) > wm.Settings.HeartbeatInterval() {
			commands = append(commands, command)
		}
	}
	return commands
}

// canStartDirectly reports whether starts may be sent to a worker in direct calls. The lock is
// held.
func (wm *WorkerManager) canStartDirectly(w *worker.Worker) bool {
	return w.CanStartDirectly(wm.Membership.FirstToken(), wm.Membership.FencingToken)
}

// canSendDirectly reports whether a command may be sent in a direct call. Reaps are never sent
// this way; see worker.Worker.Commands. A silent machine is sent kills only: it may merely be
// unable to reach this controller and still run cancelled tasks.
func canSendDirectly(command wire.Command, silent bool) bool {
	return command.Verb == wire.VerbKill || command.Verb != wire.VerbReap && !silent
}

// wantsAcknowledgement reports whether a worker is called even without commands, so that it
// acknowledges the fencing token or shows that it receives calls. The lock is held.
func (wm *WorkerManager) wantsAcknowledgement(w *worker.Worker, now time.Time) bool {
	if now.Sub(w.LastCallAt) < tuning.TokenAnnouncePause {
		return false
	}
	switch {
	case w.State == worker.TokenUnacknowledged && now.Sub(w.LastHeardAt) > wm.heartbeatOverdueAfter() && now.Sub(wm.MembershipChangedAt) > tuning.MembershipSettle:
		return true
	case w.Unresponsive && now.Sub(w.LastCallAt) > tuning.UnresponsivePause:
		return true
	}
	// The call speeds up the acknowledgement of the raised token, which voids all starts with
	// lower tokens.
	return w.State == worker.TokenAcknowledged && wm.isFencingUnacknowledged(w)
}

// callSlotLimit returns how many call slots may be in use at most, including the slot of a
// call with these commands. Kills may use the last slot, starts leave a quarter of the slots
// to kills, and calls without commands or to silent machines leave half of the slots to both,
// because each call to a machine that hangs occupies its slot for tuning.WorkerCallTimeout.
func (wm *WorkerManager) callSlotLimit(commands []wire.Command, silent bool) int {
	switch {
	case len(commands) == 0, silent:
		return cap(wm.CallSlots) / 2
	case !slices.ContainsFunc(commands, func(command wire.Command) bool { return command.Verb == wire.VerbKill }):
		return wm.startSlotLimit()
	}
	return cap(wm.CallSlots)
}

// startSlotLimit returns how many call slots may be in use at most, including the slot of a
// call with starts and no kills.
func (wm *WorkerManager) startSlotLimit() int { return cap(wm.CallSlots) * 3 / 4 }

// startCall records the commands of a direct call to a worker and makes the call in a new
// goroutine. The number of these goroutines is bounded by the number of call slots, and each
// ends within the client's timeout. A graceful shutdown waits until all slots are free.
// Nothing else waits for the goroutines, since a worker that hangs would delay the exit of the
// process. The lock is held.
func (wm *WorkerManager) startCall(w *worker.Worker, commands []wire.Command, now time.Time) {
	wm.CallSlots <- struct{}{} // never blocks: slots are taken with the lock held only, after a check that one is free
	wm.recordSentCommands(w, commands, now)
	starts := worker.StartedAttempts(commands)
	w.FencingToken = max(w.FencingToken, wm.Membership.FirstToken())
	w.RecordStartsSent(starts, w.FencingToken)
	w.LastCallAt, w.CallInFlight = now, true
	if commands == nil {
		commands = []wire.Command{} // encoded as an empty list, not as null
	}
	go wm.callWorker(w, w.Address, wire.CommandRequest{FencingToken: w.FencingToken, Incarnation: max(w.Incarnation, 1), Commands: commands}, starts)
}

// recordSentCommands records when direct commands were sent, and drops records that are too
// old to matter. The lock is held.
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

// callWorker makes a direct call, records its outcome, and then frees the call slot. It takes
// the lock.
func (wm *WorkerManager) callWorker(w *worker.Worker, address string, request wire.CommandRequest, starts []worker.Attempt) {
	defer func() { <-wm.CallSlots }()
	_, heartbeat, err := wm.Client.SendCommands(address, request)
	wm.finishCall(w, request, starts, heartbeat, err)
}

// finishCall records the outcome of a direct call. It takes the lock.
func (wm *WorkerManager) finishCall(w *worker.Worker, request wire.CommandRequest, starts []worker.Attempt, heartbeat *wire.Heartbeat, err error) {
	wm.Lock()
	defer wm.Unlock()
	w.CallInFlight = false
	if err != nil {
		// The worker may still execute the starts, so they stay pending.
		wm.Log.Debug(logging.EventDirectCommandFailed, logging.KeyMachine, w.Machine, logging.KeyError, err)
		return
	}
	w.RecordStartsAnswered(starts, request.FencingToken, heartbeat.Incarnation, heartbeat.Sequence)
	w.RecordCallAnswered()
	if wm.ByMachine[w.Machine] == w && heartbeat.Machine == w.Machine && wm.IsMember() && heartbeat.FencingToken <= wm.workerToken(w.Machine) {
		wm.applyHeartbeat(w, heartbeat, wm.Now())
	}
	cluster.Wake(wm.PassWake)
}

// fencePendingStarts fences off starts that may still launch tasks of cancelled jobs on a
// machine: a start whose call got no response may be delayed in the network or by a machine
// that hangs. It raises the fencing token of this machine, which affects no other machine.
// Once the worker acknowledges the raised token, the start is void and its claim is released.
// The lock is held.
func (wm *WorkerManager) fencePendingStarts(w *worker.Worker) {
	if w.CallInFlight {
		return // the response may still arrive
	}
	for _, attempt := range w.UnreleasableClaims(wm.Table.ClaimsByMachine[w.Machine]) {
		if w.FencePendingStarts(wm.Membership.FencingToken) {
			wm.Log.Debug(logging.EventPendingStartFenced, logging.KeyTask, attempt.Task, logging.KeyAttempt, attempt.Number, logging.KeyMachine, w.Machine, logging.KeyToken, w.FencingToken)
		}
	}
}
