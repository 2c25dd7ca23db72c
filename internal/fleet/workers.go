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

// WorkerManager serves the heartbeats of this controller's machines, and sends direct commands
// to their workers.
type WorkerManager struct {
	*cluster.State
	peers        *PeerExchange
	machineIndex *MachineIndex
	recovery     *RecoveryTracker

	ByMachine           map[string]*worker.Worker // by machine: those that this controller owns and has heard, or that the cloud lists as running
	WorkersWithFailures map[string]*worker.Worker // workers whose tasks failed recently, by machine
	imageSizes          map[string]float64        // in GB by image, as specified by the last job that started with it
	inheritedImages     map[string][]string       // images by machine, as its previous owner knew them
	Client              WorkerClient              // set at construction; does not need the lock
	CallSlots           chan struct{}             // holds one value for each direct call in flight; filled with the lock held only
	OpenConnections     func() int                // number of open connections of users and workers; set before the servers run, does not need the lock
}

func newWorkerManager(state *cluster.State, client WorkerClient) *WorkerManager {
	return &WorkerManager{
		State:               state,
		ByMachine:           map[string]*worker.Worker{},
		WorkersWithFailures: map[string]*worker.Worker{},
		imageSizes:          map[string]float64{},
		inheritedImages:     map[string][]string{},
		Client:              client,
		CallSlots:           make(chan struct{}, tuning.WorkerCallsMax),
		OpenConnections:     func() int { return 0 },
	}
}

// EnsureWorker returns the worker of a machine, and creates it if there is none. The lock is
// held.
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

// workersOf returns the workers of the given machines. Machines without a worker are omitted.
// The lock is held.
func (wm *WorkerManager) workersOf(machines map[string]bool) map[string]*worker.Worker {
	workers := make(map[string]*worker.Worker, len(machines))
	for machine := range machines {
		if w := wm.ByMachine[machine]; w != nil {
			workers[machine] = w
		}
	}
	return workers
}

// workerToken returns the highest fencing token that the worker of a machine may have seen
// under this controller's membership: for its own machines the highest that it has used, for
// those of others the membership's last. The lock is held.
func (wm *WorkerManager) workerToken(machine string) uint64 {
	if wm.ShardOwner(machine) != wm.Self.Label {
		return wm.Membership.LastToken()
	}
	if w := wm.ByMachine[machine]; w != nil {
		return max(w.FencingToken, wm.Membership.FirstToken())
	}
	return wm.Membership.FirstToken()
}

// mayStartOn reports whether claimed tasks may be started on a machine: it must be stored, and
// not as terminated. The lock is held.
func (wm *WorkerManager) mayStartOn(machine string) bool {
	record, stored := wm.Inventory.Machines[machine]
	return stored && record.Phase != inventory.Terminated
}

// isQuarantined reports whether a machine is given no tasks for now, because its worker does
// not receive commands, tasks of several jobs failed on it, or it recently refused a task for
// lack of capacity. The lock is held.
func (wm *WorkerManager) isQuarantined(w *worker.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusalAt) < tuning.RefusalPause
}

// imageSize returns the size of an image in GB, or 0 if no job has run with it. The lock is
// held.
func (wm *WorkerManager) imageSize(image string) float64 { return wm.imageSizes[image] }

// StopTask requests that a task on one of this controller's machines be stopped. The lock is
// held.
func (wm *WorkerManager) StopTask(w *worker.Worker, id jobs.TaskID) {
	w.RequestStop(id)
	wm.machineIndex.MarkChanged(w.Machine)
}

// ApplyMembership applies the membership that the state now holds. previous is the membership
// before it, nil if there was none. The lock is held.
func (wm *WorkerManager) ApplyMembership(previous *membership.Record) {
	// A new owner takes over what the previous owner knew about the images of a machine.
	// Otherwise tasks would pull images although other machines already hold them.
	clear(wm.inheritedImages)
	for _, sibling := range wm.peers.Siblings {
		for machine, status := range sibling.Machines {
			wm.inheritedImages[machine] = status.Images
		}
	}
	// A machine that this controller owned in the previous membership and owns in the current
	// one has had no other owner, so its acknowledgement of the token remains valid. Otherwise,
	// whenever a controller joins or leaves, no machine would take tasks before its next
	// heartbeat, and nobody could release tasks behind a network partition.
	current := wm.Membership
	consecutive := previous != nil && current.ImmediatelyFollows(previous) && previous.Contains(wm.Self) && current.Contains(wm.Self)
	for machine, w := range wm.ByMachine {
		wm.inheritedImages[machine] = w.Images
		if wm.ShardOwner(machine) != wm.Self.Label {
			// This view becomes stale with whatever the new owner does.
			delete(wm.ByMachine, machine)
		} else if !consecutive || previous.ShardOwner(machine) != wm.Self.Label {
			w.RequireAcknowledgement()
		} else {
			w.MarkChanged() // starts that the former membership's tokens did not allow in direct calls may go now
		}
	}
}

// SendDueCommands sends workers the commands that are due. It drops workers whose machines are
// neither owned by this controller nor stored, and that have been silent for
// tuning.ForgetLeases leases. The lock is held.
func (wm *WorkerManager) SendDueCommands(workers map[string]*worker.Worker, now time.Time) {
	for machine, w := range workers {
		if wm.ShardOwner(machine) == wm.Self.Label {
			wm.fencePendingStarts(w)
			wm.sendDirectCommands(w, now)
		} else if wm.Inventory.RecordKey(machine) == "" && now.Sub(w.LastHeardAt) > tuning.ForgetLeases*wm.Settings.WorkerLease() {
			delete(wm.ByMachine, machine)
		}
	}
}
