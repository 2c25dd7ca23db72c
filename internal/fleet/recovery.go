// This file carries out what package recovery decides: how far this node is in
// knowing its machines, and which starts may go now.

package fleet

import (
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/logging"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// recoveryTracker follows how far this controller is in knowing its machines
// after a start, and paces its starts meanwhile.
type recoveryTracker struct {
	*cluster.State
	workers *WorkerManager
	peers   *PeerExchange

	Progress *recovery.Progress
	pacer    *recovery.Pacer // of starts while this controller recovers
}

func newRecoveryTracker(state *cluster.State) *recoveryTracker {
	return &recoveryTracker{
		State:    state,
		Progress: recovery.NewProgress(state.Now()),
		pacer:    recovery.NewPacer(float64(state.Settings.Operator.RecoveryStarts), state.Now()),
	}
}

// AdvanceRecovery takes the node's recovery a step on. It looks at all of the node's
// machines, and only until recovery is over; the lock is held.
func (rt *recoveryTracker) AdvanceRecovery(now time.Time) {
	r := rt.Progress
	if r.Done() {
		return
	}
	if !rt.IsMember() {
		rt.recoveryEvent(recovery.Lost, now)
		return
	}
	rt.recoveryEvent(recovery.Loaded, now)
	machines, left := rt.countMachines(now)
	r.RecordCounts(machines, len(rt.Table.Open), left, now)
	rt.pacer.SetBacklog(r.PendingStarts)
	if r.Machines.Accounted() {
		rt.recoveryEvent(recovery.Accounted, now)
	}
	// Starts that can't be sent for a lease are none that a rate would help.
	late := r.Phase == recovery.CatchingUp && now.Sub(r.Since) > rt.Settings.WorkerLease()
	if late || r.Quiet(now, time.Duration(tuning.RecoveryQuietHeartbeats*float64(rt.Settings.HeartbeatInterval()))) {
		rt.recoveryEvent(recovery.CaughtUp, now)
	}
}

// recoveryEvent enters an event and logs what it changes; the lock is held.
func (rt *recoveryTracker) recoveryEvent(e recovery.Event, now time.Time) {
	before, since := rt.Progress.Phase, rt.Progress.Since
	if rt.Progress.Apply(e, now) {
		rt.Log.Info(logging.EventRecoveryPhaseChanged, logging.KeyPhase, string(rt.Progress.Phase), logging.KeyPrevious, string(before), logging.KeyDuration, now.Sub(since).Round(time.Millisecond),
			logging.KeyMachines, len(rt.Inventory.Machines), logging.KeyMissing, rt.Progress.Machines[recovery.Missing], logging.KeyStartsLeft, rt.Progress.PendingStarts.Total())
	}
}

// countMachines counts this node's machines by what is known of them, and the
// starts that are due on those that have been heard; the lock is held.
func (rt *recoveryTracker) countMachines(now time.Time) (count recovery.Count, left recovery.Backlog) {
	count = recovery.Count{}
	waited := now.Sub(rt.Progress.Began)
	patience := time.Duration(tuning.RecoveryHeartbeats * float64(rt.Settings.HeartbeatInterval()))
	for host, rec := range rt.Inventory.Machines {
		if rec.Phase == inventory.Terminated || rt.ShardOwner(host) != rt.Self.Label {
			continue
		}
		w := rt.workers.ByMachine[host]
		heard := w != nil && !w.LastHeard.IsZero()
		state := recovery.StateOf(heard, heard && w.State == worker.TokenAcknowledged, waited, patience)
		count[state]++
		if !heard {
			continue
		}
		for id, j := range rt.Table.ClaimsByMachine[host] {
			t := j.Claims[id.Task]
			if s, on := w.Tasks[id]; j.Phase == jobs.Open && t.Incarnation == w.Incarnation && (!on || s.Attempt < t.Attempt) {
				left[startClass(j)]++
			}
		}
	}
	return count, left
}

// startClass orders the start of a job's tasks among others.
func startClass(j *jobs.Job) recovery.Class {
	if j.Service() {
		return recovery.ServiceStart
	}
	return recovery.ArrayStart
}

// admitStart takes a start from this node's rate of starts while it recovers, if
// operators have set one; the lock is held.
func (rt *recoveryTracker) admitStart(j *jobs.Job) bool {
	class := startClass(j)
	switch {
	case rt.Progress.Done():
		return true
	case rt.Progress.Phase == recovery.Loading && class != recovery.ServiceStart && rt.Settings.Operator.RecoveryStarts > 0:
		return false // what is more urgent has not been counted yet
	}
	return rt.pacer.Admit(class, rt.Now())
}

// MachinesUnknown reports whether decisions that need a whole picture of the machines have
// to wait: this node, or another member, does not know its machines yet. Guards
// against work that is stopped, moved or rented for because free machines have
// not reported yet. The lock is held.
func (rt *recoveryTracker) MachinesUnknown() bool {
	if !rt.Settings.Operator.RecoveryHold {
		return false
	}
	if rt.Membership == nil || rt.Progress.MachinesUnknown() {
		return true
	}
	for _, m := range rt.Membership.Nodes {
		if s := rt.peers.Siblings[m.Label]; s != nil && rt.peers.IsFresh(s) && s.Status.Incarnation == m.Incarnation && s.Status.Recovering {
			return true
		}
	}
	return false
}
