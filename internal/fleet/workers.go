package fleet

import (
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/membership"
	"wheatspur/internal/response"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// WorkerManager answers the heartbeats of this controller's machines and sends
// them direct commands.
type WorkerManager struct {
	*cluster.State
	peers        *PeerExchange
	machineIndex *machineIndex
	recovery     *recoveryTracker

	ByMachine       map[string]*worker.Worker
	Failing         map[string]*worker.Worker // those whose tasks failed lately
	imageSizes      map[string]float64        // in GB, as the last job that uses the image says
	inheritedImages map[string][]string       // images of machines, as their former owners knew them
	Client          WorkerClient
	CallSlots       chan struct{} // bounds direct calls; filled with the lock held only
	OpenConnections func() int    // connections of users and workers
}

func newWorkerManager(state *cluster.State, client WorkerClient) *WorkerManager {
	return &WorkerManager{
		State:           state,
		ByMachine:       map[string]*worker.Worker{},
		Failing:         map[string]*worker.Worker{},
		imageSizes:      map[string]float64{},
		inheritedImages: map[string][]string{},
		Client:          client,
		CallSlots:       make(chan struct{}, tuning.WorkerCallsMax),
		OpenConnections: func() int { return 0 },
	}
}

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

// workerToken is the highest token that this node has used for a machine; the lock is held.
func (wm *WorkerManager) workerToken(host string) uint64 {
	if w := wm.ByMachine[host]; w != nil {
		return max(w.FencingToken, wm.Membership.FencingToken)
	}
	return wm.Membership.FencingToken
}

// mayStartOn reports whether stored claims on a machine may be started: it is
// not known to be gone; the lock is held.
func (wm *WorkerManager) mayStartOn(host string) bool {
	rec, ok := wm.Inventory.Machines[host]
	return ok && rec.Phase != inventory.Terminated
}

func (wm *WorkerManager) Worker(host string) *worker.Worker {
	w := wm.ByMachine[host]
	if w == nil {
		w = worker.NewWorker(host)
		w.Images = wm.inheritedImages[host]
		wm.ByMachine[host] = w
		wm.machineIndex.MarkChanged(host)
	}
	return w
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

// StopTask notes that a task is wanted off one of this node's machines; the lock is
// held.
func (wm *WorkerManager) StopTask(w *worker.Worker, id jobs.TaskID) {
	w.RequestStop(id)
	wm.machineIndex.MarkChanged(w.Machine)
}

// imageSize is the size of an image in GB, as the last job that uses it says;
// The lock is held.
func (wm *WorkerManager) imageSize(image string) float64 { return wm.imageSizes[image] }

// isQuarantined reports whether a machine should get no tasks for now.
func (wm *WorkerManager) isQuarantined(w *worker.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusal) < tuning.RefusalPause
}

// ApplyMembership enters a new membership; last is the one before it, nil if
// there was none. The lock is held.
func (wm *WorkerManager) ApplyMembership(last *membership.Record) {
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against image pulls beside machines that hold the image.
	clear(wm.inheritedImages)
	for _, s := range wm.peers.Siblings {
		for machine, status := range s.Machines {
			wm.inheritedImages[machine] = status.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: its acknowledgement of the token stands. Guards
	// against a fleet that takes nothing until each machine has sent a
	// heartbeat, with every controller that comes or goes, and against tasks
	// behind a network partition that nobody may release.
	next := wm.Membership
	consecutive := last != nil && next.Follows(last) && last.Contains(wm.Self) && next.Contains(wm.Self)
	for machine, w := range wm.ByMachine {
		wm.inheritedImages[machine] = w.Images
		if wm.ShardOwner(machine) != wm.Self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(wm.ByMachine, machine)
		} else if !consecutive || last.Owner(machine) != wm.Self.Label {
			w.RaiseToken()
		}
	}
}

// CommandWorkers sends workers what is due, and forgets those of machines that are
// gone; the lock is held.
func (wm *WorkerManager) CommandWorkers(workers map[string]*worker.Worker, now time.Time) {
	for host, w := range workers {
		if wm.ShardOwner(host) == wm.Self.Label {
			wm.fencePendingStarts(w)
			wm.sendDirectCommands(w, now)
		} else if wm.Inventory.KeyOf(host) == "" && now.Sub(w.LastHeard) > 2*wm.Settings.WorkerLease() {
			delete(wm.ByMachine, host)
		}
	}
}
