package controller

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// workerManager answers the heartbeats of this controller's machines and sends
// them direct commands.
type workerManager struct {
	*clusterState
	peers        *peerExchange
	machineIndex *machineIndex
	recovery     *recoveryTracker

	byMachine       map[string]*worker.Worker
	failing         map[string]*worker.Worker // those whose tasks failed lately
	imageSizes      map[string]float64        // in GB, as the last job that uses the image says
	inheritedImages map[string][]string       // images of machines, as their former owners knew them
	client          workerClient
	callSlots       chan struct{} // bounds direct calls; filled with the lock held only
	openConnections func() int    // connections of users and workers
}

func newWorkerManager(state *clusterState, client workerClient) *workerManager {
	return &workerManager{
		clusterState:    state,
		byMachine:       map[string]*worker.Worker{},
		failing:         map[string]*worker.Worker{},
		imageSizes:      map[string]float64{},
		inheritedImages: map[string][]string{},
		client:          client,
		callSlots:       make(chan struct{}, tuning.WorkerCallsMax),
		openConnections: func() int { return 0 },
	}
}

// handleHeartbeat answers a worker's report.
func (wm *workerManager) handleHeartbeat(c *fasthttp.RequestCtx) {
	var r wire.Heartbeat
	if err := wire.Unmarshal(c.PostBody(), &r); err != nil || r.Machine == "" || r.Incarnation == 0 {
		respondError(c, 400, "malformed report")
		return
	}
	wm.Lock()
	status, body := wm.answerHeartbeat(&r)
	wm.Unlock()
	if float64(wm.openConnections()) > float64(wm.maxConnections())*tuning.CrowdedConnShare {
		// Guards against the workers of nodes that are down holding all
		// connections between their reports: users and health checks need some.
		c.SetConnectionClose()
	}
	respond(c, status, body)
}

// answerHeartbeat decides the answer to a report; the lock is held.
func (wm *workerManager) answerHeartbeat(r *wire.Heartbeat) (int, any) {
	now := wm.now()
	if !wm.isMember() {
		return 503, wire.ErrorResponse{Error: "not a member"}
	}
	if r.FencingToken > wm.workerToken(r.Machine) {
		// Somebody newer is entitled; a 200 of ours would hold the worker here
		// while its lease runs out.
		wake(wm.membershipWake)
		return 503, wire.ErrorResponse{Error: "superseded"}
	}
	stale := now.Sub(wm.syncer.LastReadAt())
	if now.Sub(wm.peers.cancellationsKnownUntil()) > wm.settings.RenewalBound() || stale > tuning.StoreStaleAfter && wm.peers.isFencedOut() {
		// Leases that this node renews must end before a cancellation that it
		// can't read is due.
		return 421, wire.Redirect{}
	}
	if owner := wm.shardOwner(r.Machine); owner != wm.self.Label {
		return 421, wire.Redirect{Node: owner}
	}
	w := wm.worker(r.Machine)
	if w.IsStale(r) {
		return 503, wire.ErrorResponse{Error: "a newer report has been seen"}
	}
	if w.State == worker.LeaseExpired && r.Incarnation <= w.Incarnation {
		return 503, wire.ErrorResponse{Error: "session has ended"}
	}
	wm.applyHeartbeat(w, r, now)
	commands, _ := w.Commands(wm.table.ClaimsByMachine[r.Machine], worker.CommandOptions{
		Channel:     worker.HeartbeatAnswer,
		AllowStarts: stale < tuning.StoreStaleAfter && wm.mayStartOn(r.Machine),
		Now:         now,
		AwaitCall:   !wm.recovery.progress.Done(),
		AdmitStart:  wm.recovery.admitStart,
	})
	if commands == nil {
		commands = []wire.Command{}
	}
	before := w.Unresponsive
	w.HeartbeatAnswered(r, commands, now)
	if w.Unresponsive != before {
		wm.log.Info("machine's responsiveness changes", "host", w.Machine, "unresponsive", w.Unresponsive)
	}
	return 200, wire.HeartbeatResponse{FencingToken: w.FencingToken, Commands: commands}
}

// workerToken is the highest token that this node has used for a machine; the lock is held.
func (wm *workerManager) workerToken(host string) uint64 {
	if w := wm.byMachine[host]; w != nil {
		return max(w.FencingToken, wm.membership.FencingToken)
	}
	return wm.membership.FencingToken
}

// mayStartOn reports whether stored claims on a machine may be started: it is
// not known to be gone; the lock is held.
func (wm *workerManager) mayStartOn(host string) bool {
	rec, ok := wm.inventory.Machines[host]
	return ok && rec.Phase != inventory.Terminated
}

func (wm *workerManager) worker(host string) *worker.Worker {
	w := wm.byMachine[host]
	if w == nil {
		w = worker.NewWorker(host)
		w.Images = wm.inheritedImages[host]
		wm.byMachine[host] = w
		wm.machineIndex.markChanged(host)
	}
	return w
}

// applyHeartbeat enters a report and what follows from it; the lock is held.
func (wm *workerManager) applyHeartbeat(w *worker.Worker, r *wire.Heartbeat, now time.Time) {
	before := make(map[jobs.TaskID]string, len(w.Tasks))
	for id, s := range w.Tasks {
		before[id] = s.State
	}
	if !w.ApplyHeartbeat(r, wm.membership.FencingToken, now) {
		return
	}
	wm.machineIndex.markChanged(w.Machine)
	for id, s := range w.Tasks {
		j := wm.table.Jobs[id.Job]
		if before[id] != s.State {
			wm.log.Debug("task changes", "task", id, "try", s.Attempt, "phase", s.State, "cause", s.ExitCause, "host", w.Machine)
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
				w.RecordImage(j.Record.Spec.Image, wm.imageSize, wm.machineTypes[w.MachineType].LocalGB)
			}
		case wire.TaskExited:
			switch s.ExitCause {
			case wire.ExitCauseDone:
				clear(w.FailedJobs)
			case wire.ExitCauseError:
				w.FailedJobs[id.Job] = true
				wm.failing[w.Machine] = w
			case wire.ExitCauseNoRoom:
				w.LastRefusal = now
			}
		}
	}
	if !w.TerminationAt.IsZero() {
		// The cloud takes the machine: what can't end in time starts elsewhere.
		left := time.Duration(float64(w.TerminationAt.Sub(now)) * tuning.TerminationNoticeFactor)
		for id, j := range wm.table.ClaimsByMachine[w.Machine] {
			if wk := j.Record.Spec; wk != nil && (j.Service() || wk.EstimateS > left.Seconds()) {
				wm.stopTask(w, id)
			}
		}
	}
	wake(wm.passWake)
}

// stopTask notes that a task is wanted off one of this node's machines; the lock is
// held.
func (wm *workerManager) stopTask(w *worker.Worker, id jobs.TaskID) {
	w.RequestStop(id)
	wm.machineIndex.markChanged(w.Machine)
}

// imageSize is the size of an image in GB, as the last job that uses it says;
// The lock is held.
func (wm *workerManager) imageSize(image string) float64 { return wm.imageSizes[image] }

// isQuarantined reports whether a machine should get no tasks for now.
func (wm *workerManager) isQuarantined(w *worker.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusal) < tuning.RefusalPause
}

// applyMembership enters a new membership; last is the one before it, nil if
// there was none. The lock is held.
func (wm *workerManager) applyMembership(last *membership.Record) {
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against image pulls beside machines that hold the image.
	clear(wm.inheritedImages)
	for _, s := range wm.peers.siblings {
		for machine, status := range s.machines {
			wm.inheritedImages[machine] = status.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: its acknowledgement of the token stands. Guards
	// against a fleet that takes nothing until each machine has sent a
	// heartbeat, with every controller that comes or goes, and against tasks
	// behind a network partition that nobody may release.
	next := wm.membership
	consecutive := last != nil && next.Follows(last) && last.Contains(wm.self) && next.Contains(wm.self)
	for machine, w := range wm.byMachine {
		wm.inheritedImages[machine] = w.Images
		if wm.shardOwner(machine) != wm.self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(wm.byMachine, machine)
		} else if !consecutive || last.Owner(machine) != wm.self.Label {
			w.RaiseToken()
		}
	}
}
