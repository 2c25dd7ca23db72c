// This file carries out what package recovery decides: how far this node is in
// knowing its machines, and which starts may go now.

package controller

import (
	"fmt"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
)

// advanceRecovery takes the node's recovery a step on. It looks at all of the node's
// machines, and only until recovery is over; mu is held.
func (n *Controller) advanceRecovery(now time.Time) {
	r := n.recoveryProgress
	if r.Done() {
		return
	}
	if !n.isMember() {
		n.recoveryEvent(recovery.Lost, now)
		return
	}
	n.recoveryEvent(recovery.Loaded, now)
	machines, left := n.countMachines(now)
	r.RecordCounts(machines, len(n.table.Open), left, now)
	n.pacer.SetBacklog(r.PendingStarts)
	if r.Machines.Accounted() {
		n.recoveryEvent(recovery.Accounted, now)
	}
	// Starts that can't be sent for a lease are none that a rate would help.
	late := r.Phase == recovery.CatchingUp && now.Sub(r.Since) > n.settings.WorkerLease()
	if late || r.Quiet(now, time.Duration(tuning.RecoveryQuietHeartbeats*float64(n.settings.HeartbeatInterval()))) {
		n.recoveryEvent(recovery.CaughtUp, now)
	}
}

// recoveryEvent enters an event and logs what it changes; mu is held.
func (n *Controller) recoveryEvent(e recovery.Event, now time.Time) {
	before, since := n.recoveryProgress.Phase, n.recoveryProgress.Since
	if n.recoveryProgress.Apply(e, now) {
		n.log.Info("recovery", "phase", string(n.recoveryProgress.Phase), "after", string(before), "took", now.Sub(since).Round(time.Millisecond),
			"machines", len(n.inventory.Machines), "missing", n.recoveryProgress.Machines[recovery.Missing], "starts_left", n.recoveryProgress.PendingStarts.Total())
	}
}

// countMachines counts this node's machines by what is known of them, and the
// starts that are due on those that have been heard; mu is held.
func (n *Controller) countMachines(now time.Time) (count recovery.Count, left recovery.Backlog) {
	count = recovery.Count{}
	waited := now.Sub(n.recoveryProgress.Began)
	patience := time.Duration(tuning.RecoveryHeartbeats * float64(n.settings.HeartbeatInterval()))
	for host, rec := range n.inventory.Machines {
		if rec.Phase == inventory.Terminated || n.shardOwner(host) != n.self.Label {
			continue
		}
		w := n.workers[host]
		heard := w != nil && !w.LastHeard.IsZero()
		state := recovery.StateOf(heard, heard && w.State == worker.TokenAcknowledged, waited, patience)
		count[state]++
		if !heard {
			continue
		}
		for id, j := range n.table.ClaimsByMachine[host] {
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
// operators have set one; mu is held.
func (n *Controller) admitStart(j *jobs.Job) bool {
	class := startClass(j)
	switch {
	case n.recoveryProgress.Done():
		return true
	case n.recoveryProgress.Phase == recovery.Loading && class != recovery.ServiceStart && n.settings.Operator.RecoveryStarts > 0:
		return false // what is more urgent has not been counted yet
	}
	return n.pacer.Admit(class, n.now())
}

// machinesUnknown reports whether decisions that need a whole picture of the machines have
// to wait: this node, or another member, does not know its machines yet. Guards
// against work that is stopped, moved or rented for because free machines have
// not reported yet. mu is held.
func (n *Controller) machinesUnknown() bool {
	if !n.settings.Operator.RecoveryHold {
		return false
	}
	if n.membership == nil || n.recoveryProgress.MachinesUnknown() {
		return true
	}
	for _, m := range n.membership.Nodes {
		if s := n.siblings[m.Label]; s != nil && n.isFresh(s) && s.status.Incarnation == m.Incarnation && s.status.Recovering {
			return true
		}
	}
	return false
}

// writeRecoveryStatus shows operators how far recovery is; mu is held.
func (n *Controller) writeRecoveryStatus(b *strings.Builder) {
	r := n.recoveryProgress
	fmt.Fprintf(b, "recovery %q for %.0f s machines unknown %d reported %d reconciled %d missing %d starts_left services %d arrays %d hold %v\n",
		r.Phase, n.now().Sub(r.Since).Seconds(), r.Machines[recovery.Unknown], r.Machines[recovery.Reported], r.Machines[recovery.Reconciled],
		r.Machines[recovery.Missing], r.PendingStarts[recovery.ServiceStart], r.PendingStarts[recovery.ArrayStart], n.machinesUnknown())
}

var (
	descRecoveryPhase    = desc("recovery_phase", "1 for the phase of this node's recovery.", "phase")
	descRecoveryMachines = desc("recovery_machines", "This node's machines by what was known of them when it last recovered.", "state")
	descRecoveryStarts   = desc("recovery_starts_left", "Starts that wait while this node recovers.", "class")
)

// collectRecovery gathers the metrics of recovery; mu is held.
func (n *Controller) collectRecovery(gauge func(d *prometheus.Desc, v float64, labels ...string)) {
	r := n.recoveryProgress
	gauge(descRecoveryPhase, 1, string(r.Phase))
	for _, state := range []recovery.MachineState{recovery.Unknown, recovery.Reported, recovery.Reconciled, recovery.Missing} {
		gauge(descRecoveryMachines, float64(r.Machines[state]), string(state))
	}
	gauge(descRecoveryStarts, float64(r.PendingStarts[recovery.ServiceStart]), "service")
	gauge(descRecoveryStarts, float64(r.PendingStarts[recovery.ArrayStart]), "array")
}
