package fleet

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// HandleHeartbeat serves a worker's heartbeat. It takes the lock.
func (wm *WorkerManager) HandleHeartbeat(c *fasthttp.RequestCtx) {
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(c.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		response.Error(c, fasthttp.StatusBadRequest, "malformed report")
		return
	}
	status, body := wm.lockAndAnswer(&heartbeat)
	if float64(wm.OpenConnections()) > float64(wm.MaxConnections())*tuning.CrowdedConnShare {
		// Guards against the workers of controllers that are down holding all
		// connections between their heartbeats: users and health checks need some.
		c.SetConnectionClose()
	}
	response.Write(c, status, body)
}

// lockAndAnswer takes the lock for AnswerHeartbeat.
func (wm *WorkerManager) lockAndAnswer(heartbeat *wire.Heartbeat) (status int, body any) {
	wm.Lock()
	defer wm.Unlock()
	return wm.AnswerHeartbeat(heartbeat)
}

// AnswerHeartbeat enters a heartbeat, and returns the status and the body of its
// answer. Status 200 renews the worker's lease. Any other refuses the heartbeat, and
// nothing of it is entered. The lock is held.
func (wm *WorkerManager) AnswerHeartbeat(heartbeat *wire.Heartbeat) (int, any) {
	now := wm.Now()
	storeAge := now.Sub(wm.Syncer.LastReadAt())
	if status, body := wm.refuseMachine(heartbeat, storeAge, now); status != 0 {
		return status, body
	}
	w := wm.EnsureWorker(heartbeat.Machine)
	if reason := refuseIncarnation(w, heartbeat); reason != "" {
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: reason}
	}
	wm.applyHeartbeat(w, heartbeat, now)
	commands := wm.answerCommands(w, storeAge, now)
	wm.recordAnswer(w, heartbeat, commands, now)
	return fasthttp.StatusOK, wire.HeartbeatResponse{FencingToken: w.FencingToken, Commands: commands}
}

// refuseMachine decides whether this controller may answer for a machine. It returns
// the status and the body that refuse its heartbeat or redirect its worker; status 0
// refuses nothing. The lock is held.
func (wm *WorkerManager) refuseMachine(heartbeat *wire.Heartbeat, storeAge time.Duration, now time.Time) (status int, body any) {
	if !wm.IsMember() {
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: "not a member"}
	}
	if heartbeat.FencingToken > wm.workerToken(heartbeat.Machine) {
		// This controller is fenced out by a newer membership; a 200 would keep
		// the worker here while its lease expires.
		cluster.Wake(wm.MembershipWake)
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: "superseded"}
	}
	if now.Sub(wm.peers.CancellationsKnownUntil()) > wm.Settings.RenewalBound() || storeAge > tuning.StoreStaleAfter && wm.peers.isFencedOut() {
		// Leases that this controller renews must expire before a cancellation
		// that it can't read has to take effect.
		return fasthttp.StatusMisdirectedRequest, wire.Redirect{}
	}
	if owner := wm.ShardOwner(heartbeat.Machine); owner != wm.Self.Label {
		return fasthttp.StatusMisdirectedRequest, wire.Redirect{Controller: owner}
	}
	return 0, nil
}

// refuseIncarnation returns why a heartbeat is refused: the network may deliver old
// copies late, and an incarnation whose lease has expired must not go on. "" refuses
// nothing.
func refuseIncarnation(w *worker.Worker, heartbeat *wire.Heartbeat) string {
	switch {
	case w.IsStale(heartbeat):
		return "a newer report has been seen"
	case w.State == worker.LeaseExpired && heartbeat.Incarnation <= w.Incarnation:
		return "session has ended"
	}
	return ""
}

// answerCommands returns the commands that go with the answer to a heartbeat, never
// nil. The lock is held.
func (wm *WorkerManager) answerCommands(w *worker.Worker, storeAge time.Duration, now time.Time) []wire.Command {
	commands, _ := w.Commands(wm.Table.ClaimsByMachine[w.Machine], worker.CommandOptions{
		Channel:     worker.HeartbeatAnswer,
		AllowStarts: storeAge < tuning.StoreStaleAfter && wm.mayStartOn(w.Machine),
		Now:         now,
		AwaitCall:   !wm.recovery.Progress.IsRecovered(),
		AdmitStart:  wm.recovery.admitStart,
	})
	if commands == nil {
		commands = []wire.Command{} // an empty list on the wire, not null
	}
	return commands
}

// recordAnswer notes that a heartbeat is answered with 200 and these commands. The
// lock is held.
func (wm *WorkerManager) recordAnswer(w *worker.Worker, heartbeat *wire.Heartbeat, commands []wire.Command, now time.Time) {
	before := w.Unresponsive
	w.HeartbeatAnswered(heartbeat, commands, now)
	if w.Unresponsive != before {
		wm.Log.Info(logging.EventResponsivenessChanged, logging.KeyMachine, w.Machine, logging.KeyUnresponsive, w.Unresponsive)
	}
}

// applyHeartbeat enters a heartbeat, or the one in the answer to a direct call, and
// what follows from it, unless a newer one has been entered. The lock is held.
func (wm *WorkerManager) applyHeartbeat(w *worker.Worker, heartbeat *wire.Heartbeat, now time.Time) {
	before := make(map[jobs.TaskID]string, len(w.Tasks))
	for id, status := range w.Tasks {
		before[id] = status.State
	}
	if !w.ApplyHeartbeat(heartbeat, wm.Membership.FencingToken, now) {
		return
	}
	wm.machineIndex.MarkChanged(w.Machine)
	for id, status := range w.Tasks {
		changed := before[id] != status.State
		if changed {
			wm.Log.Debug(logging.EventTaskStateChanged, logging.KeyTask, id, logging.KeyAttempt, status.Attempt, logging.KeyPhase, status.State, logging.KeyExitCause, status.ExitCause, logging.KeyMachine, w.Machine)
		}
		if job := wm.Table.Jobs[id.Job]; job != nil && job.Record.Spec != nil {
			wm.applyTaskStatus(w, job, status, changed, now)
		}
	}
	wm.stopTasksBeforeTermination(w, now)
	cluster.Wake(wm.PassWake)
}

// applyTaskStatus enters what the status of a task says about its machine: the images
// that it holds, and whether tasks fail there or are refused. changed says that the
// task's state is another than before. The lock is held.
func (wm *WorkerManager) applyTaskStatus(w *worker.Worker, job *jobs.Job, status wire.TaskStatus, changed bool, now time.Time) {
	switch status.State {
	case wire.TaskRunning:
		if changed {
			// Once a start. Guards against an order of use that changes with each
			// heartbeat: siblings were sent every machine all the time.
			spec := job.Record.Spec
			wm.imageSizes[spec.Image] = spec.ImageGB
			w.RecordImage(spec.Image, wm.imageSize, wm.MachineTypes[w.MachineType].LocalGB)
		}
	case wire.TaskExited:
		switch status.ExitCause {
		case wire.ExitCauseDone:
			clear(w.FailedJobs)
		case wire.ExitCauseError:
			w.FailedJobs[job.ID] = true
			wm.Failing[w.Machine] = w
		case wire.ExitCauseNoRoom:
			w.LastRefusal = now
		}
	}
}

// stopTasksBeforeTermination stops the tasks that can't end before the cloud
// terminates the machine, so that they start elsewhere. The lock is held.
func (wm *WorkerManager) stopTasksBeforeTermination(w *worker.Worker, now time.Time) {
	if w.TerminationAt.IsZero() {
		return
	}
	left := time.Duration(float64(w.TerminationAt.Sub(now)) * tuning.TerminationNoticeFactor)
	for id, job := range wm.Table.ClaimsByMachine[w.Machine] {
		if spec := job.Record.Spec; spec != nil && (job.Service() || spec.EstimateS > left.Seconds()) {
			wm.StopTask(w, id)
		}
	}
}
