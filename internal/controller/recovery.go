// This file carries out what package recovery decides: how far this node is in
// knowing its machines, and which starts may go now.

package controller

import (
	"time"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// recoveryTracker follows how far this controller is in knowing its machines
// after a start, and paces its starts meanwhile.
type recoveryTracker struct {
	*clusterState
	workers *workerManager
	peers   *peerExchange

	progress *recovery.Progress
	pacer    *recovery.Pacer // of starts while this controller recovers
}

func newRecoveryTracker(state *clusterState) *recoveryTracker {
	return &recoveryTracker{
		clusterState: state,
		progress:     recovery.NewProgress(state.now()),
		pacer:        recovery.NewPacer(float64(state.settings.Operator.RecoveryStarts), state.now()),
	}
}

// advanceRecovery takes the node's recovery a step on. It looks at all of the node's
// machines, and only until recovery is over; the lock is held.
func (rt *recoveryTracker) advanceRecovery(now time.Time) {
	r := rt.progress
	if r.Done() {
		return
	}
	if !rt.isMember() {
		rt.recoveryEvent(recovery.Lost, now)
		return
	}
	rt.recoveryEvent(recovery.Loaded, now)
	machines, left := rt.countMachines(now)
	r.RecordCounts(machines, len(rt.table.Open), left, now)
	rt.pacer.SetBacklog(r.PendingStarts)
	if r.Machines.Accounted() {
		rt.recoveryEvent(recovery.Accounted, now)
	}
	// Starts that can't be sent for a lease are none that a rate would help.
	late := r.Phase == recovery.CatchingUp && now.Sub(r.Since) > rt.settings.WorkerLease()
	if late || r.Quiet(now, time.Duration(tuning.RecoveryQuietHeartbeats*float64(rt.settings.HeartbeatInterval()))) {
		rt.recoveryEvent(recovery.CaughtUp, now)
	}
}

// recoveryEvent enters an event and logs what it changes; the lock is held.
func (rt *recoveryTracker) recoveryEvent(e recovery.Event, now time.Time) {
	before, since := rt.progress.Phase, rt.progress.Since
	if rt.progress.Apply(e, now) {
		rt.log.Info("recovery", "phase", string(rt.progress.Phase), "after", string(before), "took", now.Sub(since).Round(time.Millisecond),
			"machines", len(rt.inventory.Machines), "missing", rt.progress.Machines[recovery.Missing], "starts_left", rt.progress.PendingStarts.Total())
	}
}

// countMachines counts this node's machines by what is known of them, and the
// starts that are due on those that have been heard; the lock is held.
func (rt *recoveryTracker) countMachines(now time.Time) (count recovery.Count, left recovery.Backlog) {
	count = recovery.Count{}
	waited := now.Sub(rt.progress.Began)
	patience := time.Duration(tuning.RecoveryHeartbeats * float64(rt.settings.HeartbeatInterval()))
	for host, rec := range rt.inventory.Machines {
		if rec.Phase == inventory.Terminated || rt.shardOwner(host) != rt.self.Label {
			continue
		}
		w := rt.workers.byMachine[host]
		heard := w != nil && !w.LastHeard.IsZero()
		state := recovery.StateOf(heard, heard && w.State == worker.TokenAcknowledged, waited, patience)
		count[state]++
		if !heard {
			continue
		}
		for id, j := range rt.table.ClaimsByMachine[host] {
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
	case rt.progress.Done():
		return true
	case rt.progress.Phase == recovery.Loading && class != recovery.ServiceStart && rt.settings.Operator.RecoveryStarts > 0:
		return false // what is more urgent has not been counted yet
	}
	return rt.pacer.Admit(class, rt.now())
}

// machinesUnknown reports whether decisions that need a whole picture of the machines have
// to wait: this node, or another member, does not know its machines yet. Guards
// against work that is stopped, moved or rented for because free machines have
// not reported yet. The lock is held.
func (rt *recoveryTracker) machinesUnknown() bool {
	if !rt.settings.Operator.RecoveryHold {
		return false
	}
	if rt.membership == nil || rt.progress.MachinesUnknown() {
		return true
	}
	for _, m := range rt.membership.Nodes {
		if s := rt.peers.siblings[m.Label]; s != nil && rt.peers.isFresh(s) && s.status.Incarnation == m.Incarnation && s.status.Recovering {
			return true
		}
	}
	return false
}
