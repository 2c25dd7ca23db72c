package recovery

import "time"

// Phase is how far a controller is in knowing its machines.
type Phase string

// Phases of a controller's recovery.
const (
	// Loading: the stored state is not read yet, or the controller is no member.
	Loading Phase = "loading"
	// Reconciling: not all machines with claims have sent a heartbeat yet. What
	// runs is kept; nothing is stopped or moved, and nothing is scaled out, on a
	// view with gaps.
	Reconciling Phase = "reconciling"
	// CatchingUp: every machine is accounted for; commands that have piled up go
	// out at a bounded rate.
	CatchingUp Phase = "catching up"
	// Recovered: ordinary operation.
	Recovered Phase = "recovered"
)

// Event changes a controller's phase.
type Event string

// Events of a controller's recovery.
const (
	Loaded         Event = "loaded"    // the stored state is read, and the controller is a member
	AllAccounted   Event = "accounted" // every machine is reconciled or missing
	CaughtUp       Event = "caught up" // no commands are left over
	MembershipLost Event = "lost"      // the controller is a member no longer
)

// Next is the one function that changes a controller's phase.
func (p Phase) Next(e Event) Phase {
	switch {
	case p == Loading && e == Loaded:
		return Reconciling
	case p == Reconciling && e == AllAccounted:
		return CatchingUp
	case p == CatchingUp && e == CaughtUp:
		return Recovered
	case (p == Reconciling || p == CatchingUp) && e == MembershipLost:
		return Loading
	}
	return p
}

// MachineState is what a controller knows of one of its machines.
type MachineState string

// States of a machine.
const (
	Unknown           MachineState = "unknown"    // no heartbeat since the controller became a member
	HeartbeatReceived MachineState = "reported"   // heartbeats come; our fencing token is not acknowledged yet
	Reconciled        MachineState = "reconciled" // our fencing token is acknowledged: what the machine runs is known
	Missing           MachineState = "missing"    // not reconciled though it had the time
)

// StateOf is a machine's state. reported says whether heartbeats have come since
// the controller became a member, tokenAcknowledged whether the worker has
// acknowledged its fencing token, waited how long ago the controller became a
// member, and timeout how long a machine has time to be reconciled.
func StateOf(reported, tokenAcknowledged bool, memberFor, timeout time.Duration) MachineState {
	switch {
	case reported && tokenAcknowledged:
		return Reconciled
	case memberFor > timeout:
		return Missing
	case reported:
		return HeartbeatReceived
	}
	return Unknown
}

// Count is how many machines are in each state.
type Count map[MachineState]int

// Accounted reports whether every machine is reconciled or missing.
func (c Count) Accounted() bool { return c[Unknown] == 0 && c[HeartbeatReceived] == 0 }

// Progress is the state of a controller's recovery.
type Progress struct {
	Phase         Phase
	Since         time.Time // of the phase
	Began         time.Time // when the controller last became a member while it recovered
	Machines      Count
	PendingStarts Backlog

	sawOpenJobs   bool
	lastPendingAt time.Time // when starts last waited
}

// NewProgress is the recovery of a controller that begins.
func NewProgress(now time.Time) *Progress {
	return &Progress{Phase: Loading, Since: now, Machines: Count{}}
}

// Apply enters an event; true if it has changed the phase.
func (p *Progress) Apply(e Event, now time.Time) bool {
	next := p.Phase.Next(e)
	if next == p.Phase {
		return false
	}
	p.Phase, p.Since = next, now
	if next == Reconciling {
		p.Began = now
	}
	return true
}

// RecordCounts enters how many machines are in each state, how many jobs are open, and
// how many starts wait.
func (p *Progress) RecordCounts(machines Count, openJobs int, pending Backlog, now time.Time) {
	p.Machines, p.PendingStarts = machines, pending
	p.sawOpenJobs = p.sawOpenJobs || openJobs > 0
	if pending.Total() > 0 {
		p.lastPendingAt = now
	}
}

// Quiet reports whether no start has waited for a time, in the present phase; a
// controller that has seen no open job since it began has nothing to wait for.
// Guards against an end of the recovery in the moment between the release of what
// an outage has ended and its new claims.
func (p *Progress) Quiet(now time.Time, quietPeriod time.Duration) bool {
	return !p.sawOpenJobs || now.Sub(p.lastPendingAt) >= quietPeriod && now.Sub(p.Since) >= quietPeriod
}

// Done reports whether ordinary operation goes on.
func (p *Progress) Done() bool { return p.Phase == Recovered }

// MachinesUnknown reports whether machines that may hold work are not accounted for.
func (p *Progress) MachinesUnknown() bool { return p.Phase == Loading || p.Phase == Reconciling }
