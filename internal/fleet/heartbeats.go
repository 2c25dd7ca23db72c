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

// HandleHeartbeat serves a worker's heartbeat request. It takes the lock.
func (wm *WorkerManager) HandleHeartbeat(c *fasthttp.RequestCtx) {
	var heartbeat wire.Heartbeat
	if err := wire.Unmarshal(c.PostBody(), &heartbeat); err != nil || heartbeat.Machine == "" || heartbeat.Incarnation == 0 {
		response.Error(c, fasthttp.StatusBadRequest, "malformed report")
		return
	}
	status, body := wm.lockAndAnswer(&heartbeat)
	if float64(wm.OpenConnections()) > float64(wm.MaxConnections())*tuning.CrowdedConnectionShare {
		// Workers of failed controllers would otherwise keep all connections open between
		// their heartbeats, and users and health checks need some.
		c.SetConnectionClose()
	}
	response.Write(c, status, body)
}

// lockAndAnswer takes the lock and calls ProcessHeartbeat.
func (wm *WorkerManager) lockAndAnswer(heartbeat *wire.Heartbeat) (status int, body any) {
	wm.Lock()
	defer wm.Unlock()
	return wm.ProcessHeartbeat(heartbeat)
}

// ProcessHeartbeat applies a heartbeat, and returns the HTTP status and the body of the
// response. Status 200 renews the worker's lease. Any other status refuses the heartbeat, and
// no part of it is applied. The lock is held.
func (wm *WorkerManager) ProcessHeartbeat(heartbeat *wire.Heartbeat) (int, any) {
	now := wm.Now()
	storeAge := now.Sub(wm.Syncer.LastReadAt())
	if status, body := wm.refuseHeartbeat(heartbeat, storeAge, now); status != 0 {
		return status, body
	}
	w := wm.EnsureWorker(heartbeat.Machine)
	if reason := refusalReason(w, heartbeat); reason != "" {
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: reason}
	}
	wm.applyHeartbeat(w, heartbeat, now)
	wm.fenceExitedAttempts(w, now)
	commands := wm.responseCommands(w, storeAge, now)
	wm.recordResponse(w, heartbeat, commands, now)
	return fasthttp.StatusOK, wire.HeartbeatResponse{FencingToken: w.FencingToken, Commands: commands}
}

// refuseHeartbeat checks whether this controller may serve a machine's heartbeat. If it may
// not, the HTTP status and the body refuse the heartbeat or redirect the worker. Otherwise the
// status is 0. The lock is held.
func (wm *WorkerManager) refuseHeartbeat(heartbeat *wire.Heartbeat, storeAge time.Duration, now time.Time) (status int, body any) {
	if !wm.IsMember() {
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: "not a member"}
	}
	if heartbeat.FencingToken > wm.workerToken(heartbeat.Machine) {
		// A newer membership has fenced out this controller. Status 200 would keep the worker
		// at this controller while its lease expires.
		cluster.Wake(wm.MembershipWake)
		return fasthttp.StatusServiceUnavailable, wire.ErrorResponse{Error: "superseded"}
	}
	if now.Sub(wm.peers.CancellationsKnownUntil()) > wm.Settings.RenewalBound() || storeAge > tuning.StoreStaleAfter && wm.peers.isFencedOut() {
		// Leases renewed by this controller must expire before a cancellation that it can't
		// read has to take effect.
		return fasthttp.StatusMisdirectedRequest, wire.Redirect{}
	}
	if owner := wm.ShardOwner(heartbeat.Machine); owner != wm.Self.Label {
		return fasthttp.StatusMisdirectedRequest, wire.Redirect{Controller: owner}
	}
	return 0, nil
}

// refusalReason returns why a heartbeat is refused, or "" if it is not. The network may
// deliver old copies of heartbeats late, and an incarnation must not continue after its lease
// has expired.
func refusalReason(w *worker.Worker, heartbeat *wire.Heartbeat) string {
	switch {
	case w.IsStale(heartbeat):
		return "a newer report has been seen"
	case w.State == worker.LeaseExpired && heartbeat.Incarnation <= w.Incarnation:
		return "session has ended"
	}
	return ""
}

// fenceExitedAttempts raises the fencing token of a machine, with the response to its
// heartbeat, if exited attempts wait for that to be reaped. While a direct call has just been
// sent, it waits for the next heartbeat: the worker may receive the call after the response and
// would refuse it. The lock is held.
func (wm *WorkerManager) fenceExitedAttempts(w *worker.Worker, now time.Time) {
	if w.CallInFlight && now.Sub(w.LastCallAt) < tuning.StartCallGrace {
		return
	}
	if w.FenceExitedAttempts(wm.Membership.FencingToken) {
		wm.Log.Debug(logging.EventExitedAttemptsFenced, logging.KeyMachine, w.Machine, logging.KeyToken, w.FencingToken)
	}
}

// responseCommands returns the commands to send in the response to a heartbeat. The result is
// never nil. The lock is held.
func (wm *WorkerManager) responseCommands(w *worker.Worker, storeAge time.Duration, now time.Time) []wire.Command {
	commands, _ := w.Commands(wm.Table.ClaimsByMachine[w.Machine], worker.CommandOptions{
		Channel:          worker.HeartbeatAnswer,
		AllowStarts:      storeAge < tuning.StoreStaleAfter && wm.mayStartOn(w.Machine),
		Now:              now,
		OmitStartsInCall: !wm.recovery.Progress.IsRecovered(),
		AdmitStart:       wm.recovery.admitStart,
	})
	if commands == nil {
		commands = []wire.Command{} // encoded as an empty list, not as null
	}
	return commands
}

// recordResponse records that a heartbeat is answered with status 200 and these commands. The
// lock is held.
func (wm *WorkerManager) recordResponse(w *worker.Worker, heartbeat *wire.Heartbeat, commands []wire.Command, now time.Time) {
	wasUnresponsive := w.Unresponsive
	w.RecordHeartbeatAnswered(heartbeat, commands, now)
	if w.Unresponsive != wasUnresponsive {
		wm.Log.Info(logging.EventResponsivenessChanged, logging.KeyMachine, w.Machine, logging.KeyUnresponsive, w.Unresponsive)
	}
}

// applyHeartbeat applies a heartbeat, or the one in the response to a direct call, unless a
// newer one has already been applied. The lock is held.
func (wm *WorkerManager) applyHeartbeat(w *worker.Worker, heartbeat *wire.Heartbeat, now time.Time) {
	previousStates := make(map[jobs.TaskID]string, len(w.Tasks))
	for id, status := range w.Tasks {
		previousStates[id] = status.State
	}
	if !w.ApplyHeartbeat(heartbeat, wm.Membership.FirstToken(), now) {
		return
	}
	wm.machineIndex.MarkChanged(w.Machine)
	for id, status := range w.Tasks {
		changed := previousStates[id] != status.State
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

// applyTaskStatus updates what is known about a machine from the status of one of its tasks:
// the images on the machine, and whether tasks fail or are refused there. changed reports
// whether the task's state differs from the previous heartbeat. The lock is held.
func (wm *WorkerManager) applyTaskStatus(w *worker.Worker, job *jobs.Job, status wire.TaskStatus, changed bool, now time.Time) {
	switch status.State {
	case wire.TaskRunning:
		if changed {
			// The image is recorded once per start. Recording it with every heartbeat would
			// reorder the images each time, and siblings would be sent every machine's status.
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
			wm.WorkersWithFailures[w.Machine] = w
		case wire.ExitCauseNoRoom:
			w.LastRefusalAt = now
		}
	}
}

// stopTasksBeforeTermination stops the tasks that are not expected to end before the cloud
// terminates the machine, so that they start on another one. The lock is held.
func (wm *WorkerManager) stopTasksBeforeTermination(w *worker.Worker, now time.Time) {
	if w.TerminationAt.IsZero() {
		return
	}
	remaining := time.Duration(float64(w.TerminationAt.Sub(now)) * tuning.TerminationNoticeFactor)
	for id, job := range wm.Table.ClaimsByMachine[w.Machine] {
		if spec := job.Record.Spec; spec != nil && (job.IsService() || spec.EstimateS > remaining.Seconds()) {
			wm.StopTask(w, id)
		}
	}
}
