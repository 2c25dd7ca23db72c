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

// sendDirectCommands sends a worker what it should not wait a report interval for: starts,
// kills, and our token if it has not shown it; the lock is held.
func (wm *WorkerManager) sendDirectCommands(w *worker.Worker, now time.Time) {
	if w.NoPendingCommands && w.State == worker.TokenAcknowledged && !w.Unresponsive && w.FencingToken <= max(w.AcknowledgedToken, wm.Membership.FencingToken) {
		return // nothing has changed, and there is nothing to ask
	}
	if w.CallInFlight || w.Address == "" || w.State == worker.LeaseExpired || !wm.HasStore() {
		return
	}
	if !wm.recovery.Progress.Done() && len(wm.CallSlots) >= cap(wm.CallSlots)*3/4 {
		return // guards against starts that are taken from the rate and can't go
	}
	var commands []wire.Command
	silent := now.Sub(w.LastHeard) >= wm.SilenceTimeout()
	if !w.NoPendingCommands && w.Incarnation > 0 {
		w.NoPendingCommands = true
		due, postponed := w.Commands(wm.Table.ClaimsByMachine[w.Machine], worker.CommandOptions{
			Channel:     worker.DirectCall,
			AllowStarts: wm.mayStartOn(w.Machine) && !silent,
			Now:         now,
			ResendAfter: wm.Settings.HeartbeatInterval(),
			RepeatAfter: wm.Settings.HeartbeatInterval() * 3 / 2,
			AdmitStart:  wm.recovery.admitStart,
		})
		if postponed {
			w.NoPendingCommands = false
		}
		for _, o := range due {
			if o.Verb == wire.VerbReap {
				continue // see worker.Worker.Commands
			}
			if silent && o.Verb != wire.VerbKill {
				continue // it may only be unable to reach us, and run what was cancelled
			}
			w.NoPendingCommands = false
			if now.Sub(w.SentCommands[worker.KeyOf(o)]) > wm.Settings.HeartbeatInterval() {
				commands = append(commands, o)
			}
		}
	}
	greet := w.State == worker.TokenUnacknowledged && now.Sub(w.LastHeard) > wm.Settings.HeartbeatInterval()*5/4 && now.Sub(wm.MembershipChangedAt) > time.Second/2
	greet = greet || w.Unresponsive && now.Sub(w.LastCall) > tuning.UnresponsivePause
	// A raised token that the worker has not seen: the sooner it shows it, the
	// sooner the starts below it are void.
	greet = greet || w.State == worker.TokenAcknowledged && w.FencingToken > max(w.AcknowledgedToken, wm.Membership.FencingToken)
	if len(commands) == 0 && !greet || len(commands) == 0 && now.Sub(w.LastCall) < tuning.TokenAnnouncePause {
		return
	}
	// Kills go before starts, and those before calls that only ask: each call to
	// a machine that hangs holds its place for two seconds.
	room := cap(wm.CallSlots)
	switch {
	case len(commands) == 0, silent:
		room /= 2
	case !slices.ContainsFunc(commands, func(o wire.Command) bool { return o.Verb == wire.VerbKill }):
		room -= room / 4
	}
	if len(wm.CallSlots) >= room {
		return // the buffer of direct calls is full; the next report carries them
	}
	wm.CallSlots <- struct{}{} // filled with the lock held only
	for c, at := range w.SentCommands {
		if now.Sub(at) > 10*wm.Settings.HeartbeatInterval() {
			delete(w.SentCommands, c)
		}
	}
	for _, o := range commands {
		w.SentCommands[worker.KeyOf(o)] = now
	}
	starts := worker.StartedAttempts(commands)
	w.FencingToken = max(w.FencingToken, wm.Membership.FencingToken)
	w.StartsSent(starts, w.FencingToken)
	w.LastCall, w.CallInFlight = now, true
	if commands == nil {
		commands = []wire.Command{}
	}
	go wm.callWorker(w, w.Address, wire.CommandRequest{FencingToken: w.FencingToken, Incarnation: max(w.Incarnation, 1), Commands: commands}, starts)
}

func (wm *WorkerManager) callWorker(w *worker.Worker, address string, cmd wire.CommandRequest, starts []worker.Attempt) {
	defer func() { <-wm.CallSlots }()
	_, r, err := wm.Client.SendCommands(address, cmd)
	wm.Lock()
	defer wm.Unlock()
	w.CallInFlight = false
	if err != nil {
		// The starts may yet be carried out: they stay unanswered.
		wm.Log.Debug(logging.EventDirectCommandFailed, logging.KeyMachine, w.Machine, logging.KeyError, err)
		return
	}
	w.StartsAnswered(starts, cmd.FencingToken, r.Incarnation, r.Sequence)
	w.CallAnswered()
	if wm.ByMachine[w.Machine] == w && r.Machine == w.Machine && wm.IsMember() && r.FencingToken <= wm.workerToken(w.Machine) {
		wm.applyHeartbeat(w, r, wm.Now())
	}
	cluster.Wake(wm.PassWake)
}

// fencePendingStarts makes void what may yet start tasks of cancelled jobs on
// a machine: a start whose call was not answered may be held in the network or
// by a machine that hangs. The machine's token is raised, which costs nobody
// else anything; once the machine shows it, the start is dead and its claim is
// released. The lock is held.
func (wm *WorkerManager) fencePendingStarts(w *worker.Worker) {
	if w.CallInFlight {
		return // its answer may come yet
	}
	for _, a := range w.ClaimsBlockedByStarts(wm.Table.ClaimsByMachine[w.Machine]) {
		if w.FencePendingStarts(wm.Membership.LastToken()) {
			wm.Log.Debug(logging.EventPendingStartFenced, logging.KeyTask, a.ID, logging.KeyAttempt, a.Number, logging.KeyMachine, w.Machine, logging.KeyToken, w.FencingToken)
		}
	}
}
