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

// HandleHeartbeat answers a worker's report.
func (wm *WorkerManager) HandleHeartbeat(c *fasthttp.RequestCtx) {
	var r wire.Heartbeat
	if err := wire.Unmarshal(c.PostBody(), &r); err != nil || r.Machine == "" || r.Incarnation == 0 {
		response.Error(c, 400, "malformed report")
		return
	}
	wm.Lock()
	status, body := wm.AnswerHeartbeat(&r)
	wm.Unlock()
	if float64(wm.OpenConnections()) > float64(wm.MaxConnections())*tuning.CrowdedConnShare {
		// Guards against the workers of nodes that are down holding all
		// connections between their reports: users and health checks need some.
		c.SetConnectionClose()
	}
	response.Write(c, status, body)
}

// AnswerHeartbeat decides the answer to a report; the lock is held.
func (wm *WorkerManager) AnswerHeartbeat(r *wire.Heartbeat) (int, any) {
	now := wm.Now()
	if !wm.IsMember() {
		return 503, wire.ErrorResponse{Error: "not a member"}
	}
	if r.FencingToken > wm.workerToken(r.Machine) {
		// Somebody newer is entitled; a 200 of ours would hold the worker here
		// while its lease runs out.
		cluster.Wake(wm.MembershipWake)
		return 503, wire.ErrorResponse{Error: "superseded"}
	}
	stale := now.Sub(wm.Syncer.LastReadAt())
	if now.Sub(wm.peers.CancellationsKnownUntil()) > wm.Settings.RenewalBound() || stale > tuning.StoreStaleAfter && wm.peers.isFencedOut() {
		// Leases that this node renews must end before a cancellation that it
		// can't read is due.
		return 421, wire.Redirect{}
	}
	if owner := wm.ShardOwner(r.Machine); owner != wm.Self.Label {
		return 421, wire.Redirect{Node: owner}
	}
	w := wm.Worker(r.Machine)
	if w.IsStale(r) {
		return 503, wire.ErrorResponse{Error: "a newer report has been seen"}
	}
	if w.State == worker.LeaseExpired && r.Incarnation <= w.Incarnation {
		return 503, wire.ErrorResponse{Error: "session has ended"}
	}
	wm.applyHeartbeat(w, r, now)
	commands, _ := w.Commands(wm.Table.ClaimsByMachine[r.Machine], worker.CommandOptions{
		Channel:     worker.HeartbeatAnswer,
		AllowStarts: stale < tuning.StoreStaleAfter && wm.mayStartOn(r.Machine),
		Now:         now,
		AwaitCall:   !wm.recovery.Progress.Done(),
		AdmitStart:  wm.recovery.admitStart,
	})
	if commands == nil {
		commands = []wire.Command{}
	}
	before := w.Unresponsive
	w.HeartbeatAnswered(r, commands, now)
	if w.Unresponsive != before {
		wm.Log.Info(logging.EventResponsivenessChanged, logging.KeyMachine, w.Machine, logging.KeyUnresponsive, w.Unresponsive)
	}
	return 200, wire.HeartbeatResponse{FencingToken: w.FencingToken, Commands: commands}
}

// applyHeartbeat enters a report and what follows from it; the lock is held.
func (wm *WorkerManager) applyHeartbeat(w *worker.Worker, r *wire.Heartbeat, now time.Time) {
	before := make(map[jobs.TaskID]string, len(w.Tasks))
	for id, s := range w.Tasks {
		before[id] = s.State
	}
	if !w.ApplyHeartbeat(r, wm.Membership.FencingToken, now) {
		return
	}
	wm.machineIndex.MarkChanged(w.Machine)
	for id, s := range w.Tasks {
		j := wm.Table.Jobs[id.Job]
		if before[id] != s.State {
			wm.Log.Debug(logging.EventTaskStateChanged, logging.KeyTask, id, logging.KeyAttempt, s.Attempt, logging.KeyPhase, s.State, logging.KeyExitCause, s.ExitCause, logging.KeyMachine, w.Machine)
		}
		if j == nil || j.Record.Spec == nil {
			continue
		}
		switch s.State {
		case wire.TaskRunning:
			if before[id] != s.State {
				// Once a start. Guards against an order of use that changes with
				// each report: siblings were told of every machine all the time.
				wm.imageSizes[j.Record.Spec.Image] = j.Record.Spec.ImageGB
				w.RecordImage(j.Record.Spec.Image, wm.imageSize, wm.MachineTypes[w.MachineType].LocalGB)
			}
		case wire.TaskExited:
			switch s.ExitCause {
			case wire.ExitCauseDone:
				clear(w.FailedJobs)
			case wire.ExitCauseError:
				w.FailedJobs[id.Job] = true
				wm.Failing[w.Machine] = w
			case wire.ExitCauseNoRoom:
				w.LastRefusal = now
			}
		}
	}
	if !w.TerminationAt.IsZero() {
		// The cloud takes the machine: what can't end in time starts elsewhere.
		left := time.Duration(float64(w.TerminationAt.Sub(now)) * tuning.TerminationNoticeFactor)
		for id, j := range wm.Table.ClaimsByMachine[w.Machine] {
			if wk := j.Record.Spec; wk != nil && (j.Service() || wk.EstimateS > left.Seconds()) {
				wm.StopTask(w, id)
			}
		}
	}
	cluster.Wake(wm.PassWake)
}
