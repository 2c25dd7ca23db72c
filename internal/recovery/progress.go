package recovery

import "time"

// Phase is how far a node is in knowing its machines.
type Phase string

// Phases of a node's recovery.
const (
	// Loading: the stored state is not read yet, or the node is no member.
	Loading Phase = "loading"
	// Reconciling: machines with claims have not all reported yet. What runs is
	// kept; nothing is stopped, moved or rented on a picture with gaps.
	Reconciling Phase = "reconciling"
	// CatchingUp: every machine is accounted for; orders that have piled up go
	// out at a bounded rate.
	CatchingUp Phase = "catching up"
	// Recovered: ordinary operation.
	Recovered Phase = "recovered"
)

// Event changes a node's phase.
type Event string

// Events of a node's recovery.
const (
	Loaded    Event = "loaded"    // the stored state is read, and the node is a member
	Accounted Event = "accounted" // every machine has reported or is missing
	CaughtUp  Event = "caught up" // no orders are left over
	Lost      Event = "lost"      // the node is a member no longer
)

// Next is the one function that changes a node's phase.
func (p Phase) Next(e Event) Phase {
	switch {
	case p == Loading && e == Loaded:
		return Reconciling
	case p == Reconciling && e == Accounted:
		return CatchingUp
	case p == CatchingUp && e == CaughtUp:
		return Recovered
	case (p == Reconciling || p == CatchingUp) && e == Lost:
		return Loading
	}
	return p
}

// MachineState is what a node knows of one of its machines.
type MachineState string

// States of a machine.
const (
	Unknown    MachineState = "unknown"    // not heard since the node began
	Reported   MachineState = "reported"   // heard; its session is not proven yet
	Reconciled MachineState = "reconciled" // heard and proven: what it runs is known
	Missing    MachineState = "missing"    // not heard though it had the time
)

// StateOf is a machine's state. heard says whether it has been heard since the
// node became a member, proven whether its session is, waited how long ago the
// node became a member, and patience how long a machine has time to report.
func StateOf(reported, tokenAcknowledged bool, waited, timeout time.Duration) MachineState {
	switch {
	case reported && tokenAcknowledged:
		return Reconciled
	case waited > timeout:
		return Missing
	case reported:
		return Reported
	}
	return Unknown
}

// Count is how many machines are in each state.
type Count map[MachineState]int

// Accounted reports whether every machine is reconciled or missing.
func (c Count) Accounted() bool { return c[Unknown] == 0 && c[Reported] == 0 }

// Progress is the state of a node's recovery.
type Progress struct {
	Phase         Phase
	Since         time.Time // of the phase
	Began         time.Time // when the node last became a member while it recovered
	Machines      Count
	PendingStarts Backlog   // starts that wait
	sawOpenJobs   bool      // open jobs have been seen
	lastPendingAt time.Time // when starts last waited
}

// NewProgress is the recovery of a node that begins.
func NewProgress(now time.Time) *Progress {
	return &Progress{Phase: Loading, Since: now, Machines: Count{}}
}

// Apply enters an event; true if it has changed the phase.
func (n *Progress) Apply(e Event, now time.Time) bool {
	next := n.Phase.Next(e)
	if next == n.Phase {
		return false
	}
	n.Phase, n.Since = next, now
	if next == Reconciling {
		n.Began = now
	}
	return true
}

// RecordCounts enters how many machines are in each state, how many jobs are open, and
// how many starts wait.
func (n *Progress) RecordCounts(machines Count, jobs int, left Backlog, now time.Time) {
	n.Machines, n.PendingStarts = machines, left
	n.sawOpenJobs = n.sawOpenJobs || jobs > 0
	if left.Total() > 0 {
		n.lastPendingAt = now
	}
}

// Quiet reports whether no start has waited for a time, in the present phase; a
// node that has seen no open job since it began has nothing to wait for.
// Guards against an end in the moment between the release of what an outage has
// ended and its claims.
func (n *Progress) Quiet(now time.Time, d time.Duration) bool {
	return !n.sawOpenJobs || now.Sub(n.lastPendingAt) >= d && now.Sub(n.Since) >= d
}

// Done reports whether ordinary operation goes on.
func (n *Progress) Done() bool { return n.Phase == Recovered }

// MachinesUnknown reports whether machines that may hold work are not accounted for.
func (n *Progress) MachinesUnknown() bool { return n.Phase == Loading || n.Phase == Reconciling }
