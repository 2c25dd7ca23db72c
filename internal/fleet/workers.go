package fleet

import (
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
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
