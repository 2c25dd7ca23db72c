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

// WorkerManager answers the heartbeats of this controller's machines, and sends their
// workers direct commands.
type WorkerManager struct {
	*cluster.State
	peers        *PeerExchange
	machineIndex *MachineIndex
	recovery     *RecoveryTracker

	ByMachine       map[string]*worker.Worker // by machine: those that this controller owns and has heard, or that the cloud lists as running
	Failing         map[string]*worker.Worker // those whose tasks failed lately
	imageSizes      map[string]float64        // in GB by image, as the last job that uses it says
	inheritedImages map[string][]string       // images by machine, as its former owner knew them
	Client          WorkerClient              // set when built; does not need the lock
	CallSlots       chan struct{}             // holds one value for each direct call; filled with the lock held only
	OpenConnections func() int                // connections of users and workers; set before the servers run, does not need the lock
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

// EnsureWorker returns the view of a machine's worker, a new one if there is none. The lock
// is held.
func (wm *WorkerManager) EnsureWorker(machine string) *worker.Worker {
	w := wm.ByMachine[machine]
	if w == nil {
		w = worker.NewWorker(machine)
		w.Images = wm.inheritedImages[machine]
		wm.ByMachine[machine] = w
		wm.machineIndex.MarkChanged(machine)
	}
	return w
}

// workersOf returns the workers of those machines that have one. The lock is held.
func (wm *WorkerManager) workersOf(machines map[string]bool) map[string]*worker.Worker {
	workers := make(map[string]*worker.Worker, len(machines))
	for machine := range machines {
		if w := wm.ByMachine[machine]; w != nil {
			workers[machine] = w
		}
	}
	return workers
}

// workerToken is the highest fencing token that this controller has used for a
// machine. The lock is held.
func (wm *WorkerManager) workerToken(machine string) uint64 {
	if w := wm.ByMachine[machine]; w != nil {
		return max(w.FencingToken, wm.Membership.FencingToken)
	}
	return wm.Membership.FencingToken
}

// mayStartOn reports whether claims on a machine may be started: it is stored, and
// not as terminated. The lock is held.
func (wm *WorkerManager) mayStartOn(machine string) bool {
	record, stored := wm.Inventory.Machines[machine]
	return stored && record.Phase != inventory.Terminated
}

// isQuarantined reports whether a machine is given no tasks for now: its worker does
// not hear its commands, tasks of several jobs failed there, or it refused one for
// want of room. The lock is held.
func (wm *WorkerManager) isQuarantined(w *worker.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusal) < tuning.RefusalPause
}

// imageSize returns the size of an image in GB, 0 if no job has run with it. The lock
// is held.
func (wm *WorkerManager) imageSize(image string) float64 { return wm.imageSizes[image] }

// StopTask requests that a task on one of this controller's machines stops. The lock
// is held.
func (wm *WorkerManager) StopTask(w *worker.Worker, id jobs.TaskID) {
	w.RequestStop(id)
	wm.machineIndex.MarkChanged(w.Machine)
}

// ApplyMembership enters the membership that the state now holds; last is the one
// before it, nil if there was none. The lock is held.
func (wm *WorkerManager) ApplyMembership(last *membership.Record) {
	// A new owner knows the images of a machine from its former owner. Guards
	// against image pulls beside machines that hold the image.
	clear(wm.inheritedImages)
	for _, sibling := range wm.peers.Siblings {
		for machine, status := range sibling.Machines {
			wm.inheritedImages[machine] = status.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: its acknowledgement of the token stands. Guards
	// against a fleet that takes nothing until each machine has sent a
	// heartbeat, with every controller that comes or goes, and against tasks
	// behind a network partition that nobody may release.
	next := wm.Membership
	consecutive := last != nil && next.ImmediatelyFollows(last) && last.Contains(wm.Self) && next.Contains(wm.Self)
	for machine, w := range wm.ByMachine {
		wm.inheritedImages[machine] = w.Images
		if wm.ShardOwner(machine) != wm.Self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(wm.ByMachine, machine)
		} else if !consecutive || last.ShardOwner(machine) != wm.Self.Label {
			w.RequireAcknowledgement()
		}
	}
}

// CommandWorkers sends workers what is due, and forgets those of machines that are
// neither ours nor stored and have long been silent. The lock is held.
func (wm *WorkerManager) CommandWorkers(workers map[string]*worker.Worker, now time.Time) {
	for machine, w := range workers {
		if wm.ShardOwner(machine) == wm.Self.Label {
			wm.fencePendingStarts(w)
			wm.sendDirectCommands(w, now)
		} else if wm.Inventory.KeyOf(machine) == "" && now.Sub(w.LastHeard) > tuning.ForgetLeases*wm.Settings.WorkerLease() {
			delete(wm.ByMachine, machine)
		}
	}
}
