package recovery

import "time"

// Phase is the phase of a controller's recovery.
type Phase string

// Phases of a controller's recovery.
const (
	// Loading: the stored state is not read yet, or the controller is not a member.
	Loading Phase = "loading"
	// Reconciling: some machines with claims are not accounted for yet. While the view is
	// incomplete, running tasks are kept, and nothing is stopped, moved or scaled out.
	Reconciling Phase = "reconciling"
	// CatchingUp: every machine is accounted for, and the backlog of commands is sent at a
	// limited rate.
	CatchingUp Phase = "catching up"
	// Recovered: normal operation.
	Recovered Phase = "recovered"
)

// Event is an event that may change the phase of a controller's recovery.
type Event string

// Events of a controller's recovery.
const (
	Loaded         Event = "loaded"    // the stored state is read, and the controller is a member
	AllAccounted   Event = "accounted" // every machine is reconciled or missing
	CaughtUp       Event = "caught up" // no backlog of commands is left
	MembershipLost Event = "lost"      // the controller is not a member any more
)

// Next returns the phase after an event. All changes of the phase go through it.
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

// MachineState is what a controller knows about one of its machines.
type MachineState string

// States of a machine.
const (
	MachineUnknown    MachineState = "unknown"    // no heartbeat since the controller became a member
	HeartbeatReceived MachineState = "reported"   // heartbeats arrive, but our fencing token is not acknowledged yet
	MachineReconciled MachineState = "reconciled" // our fencing token is acknowledged, so what the machine runs is known
	MachineMissing    MachineState = "missing"    // not reconciled within the timeout
)

// MachineStateOf returns the state of a machine. reported says whether heartbeats have arrived
// since the controller became a member, tokenAcknowledged whether the worker has
// acknowledged the controller's fencing token, memberFor how long ago the controller became
// a member, and timeout how long a machine may take to be reconciled.
func MachineStateOf(reported, tokenAcknowledged bool, memberFor, timeout time.Duration) MachineState {
	switch {
	case reported && tokenAcknowledged:
		return MachineReconciled
	case memberFor > timeout:
		return MachineMissing
	case reported:
		return HeartbeatReceived
	}
	return MachineUnknown
}

// MachineCounts is the number of machines by state.
type MachineCounts map[MachineState]int

// AllAccountedFor reports whether every machine is reconciled or missing.
func (c MachineCounts) AllAccountedFor() bool {
	return c[MachineUnknown] == 0 && c[HeartbeatReceived] == 0
}

// Progress is the state of a controller's recovery.
type Progress struct {
	Phase         Phase
	Since         time.Time // when Phase began
	MemberSince   time.Time // when the controller last became a member during its recovery
	Machines      MachineCounts
	PendingStarts Backlog

	sawOpenJobs   bool
	lastPendingAt time.Time // when starts were last seen waiting
}

// NewProgress returns the state of a recovery that begins now.
func NewProgress(now time.Time) *Progress {
	return &Progress{Phase: Loading, Since: now, Machines: MachineCounts{}}
}

// Apply applies an event and reports whether it changed the phase.
func (p *Progress) Apply(e Event, now time.Time) bool {
	next := p.Phase.Next(e)
	if next == p.Phase {
		return false
	}
	p.Phase, p.Since = next, now
	if next == Reconciling {
		p.MemberSince = now
	}
	return true
}

// RecordCounts records the number of machines by state, of open jobs, and of waiting starts.
func (p *Progress) RecordCounts(machines MachineCounts, openJobs int, pending Backlog, now time.Time) {
	p.Machines, p.PendingStarts = machines, pending
	p.sawOpenJobs = p.sawOpenJobs || openJobs > 0
	if pending.Total() > 0 {
		p.lastPendingAt = now
	}
}

// NoStartsPendingFor reports whether the current phase has lasted for quietPeriod and no
// start has waited during that time. Without it, the recovery could end in the moment after
// the claims that an outage ended are released and before their tasks are claimed again. It
// is always true if the controller has seen no open job since its recovery began.
func (p *Progress) NoStartsPendingFor(now time.Time, quietPeriod time.Duration) bool {
	return !p.sawOpenJobs || now.Sub(p.lastPendingAt) >= quietPeriod && now.Sub(p.Since) >= quietPeriod
}

// IsRecovered reports whether the recovery is over.
func (p *Progress) IsRecovered() bool { return p.Phase == Recovered }

// MachinesUnaccounted reports whether machines that may run tasks are not accounted for yet.
func (p *Progress) MachinesUnaccounted() bool { return p.Phase == Loading || p.Phase == Reconciling }
