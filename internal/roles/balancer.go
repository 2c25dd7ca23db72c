package roles

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

// Balancer decides on role changes for one machine type. Its state is held only in the leader's
// memory, so a new leader starts without it.
type Balancer struct {
	settings          config.OperatorSettings
	state             State
	proposal          Proposal  // the proposal being confirmed
	confirmations     int       // how many evaluations in a row made this proposal
	evidenceSince     time.Time // start of the evidence window
	lastMoveToService time.Time
	arrivals          arrivalLog
	startedAt         time.Time
}

// New returns a Balancer whose evidence window starts now.
func New(settings config.OperatorSettings, now time.Time) *Balancer {
	return &Balancer{settings: settings, state: Steady, evidenceSince: now, startedAt: now}
}

// RecordArrival records the arrival of a service job that requests load, in machines.
func (b *Balancer) RecordArrival(now time.Time, load float64) { b.arrivals.add(now, load) }

// Evaluate compares the split with the two that differ by one machine, and decides whether to move
// a machine now. fits reports whether the tasks of the machine that would leave the service role
// have room on the other machines; it is called only if all other gates are open.
func (b *Balancer) Evaluate(now time.Time, s Split, fits func() bool) Decision {
	current := s.loads(b.settings, s.Batch, s.Service)
	short, shortArrivals := b.arrivalRate(now, tuning.RoleShortWindow)
	long, _ := b.arrivalRate(now, tuning.RoleLongWindow)
	d := Decision{MachineType: s.MachineType, Batch: s.Batch, Service: s.Service, BatchLoad: current.batch, ServiceLoad: current.service,
		ShortRate: short, LongRate: long, EvidenceOpen: !b.evidenceClosed(now)}

	d.Proposal, d.Gate = b.propose(s)
	switch {
	case d.Proposal.Direction == None:
		b.resetProposal(Cleared)
		return d
	case d.Proposal.Rule == RuleFloor:
		// A role below its floor gets a machine without confirmations, one per evaluation.
		return b.acceptProposal(now, d)
	}
	b.countConfirmation(d.Proposal)
	d.Confirmations = b.confirmations
	rising := shortArrivals >= tuning.RoleEvidenceArrivals && short > long*(1+b.settings.RoleDemandRise)
	if d.Gate = b.blockingGate(now, d, rising, fits); d.Gate != GateOpen {
		return d
	}
	return b.acceptProposal(now, d)
}

// countConfirmation counts how many evaluations in a row have made the same proposal.
func (b *Balancer) countConfirmation(p Proposal) {
	if b.state == Confirming && b.proposal == p {
		b.confirmations++
	} else {
		b.proposal, b.confirmations = p, 1
	}
	b.state = b.state.Next(Proposed)
}

// blockingGate returns the first gate that blocks the decision's proposal, or GateOpen. rising says
// whether service demand is rising.
func (b *Balancer) blockingGate(now time.Time, d Decision, rising bool, fits func() bool) Gate {
	toBatch := d.Proposal.Direction == ToBatch
	switch {
	case b.confirmations < b.settings.RoleConfirmations:
		return GateConfirm
	case !toBatch && now.Sub(b.lastMoveToService) < b.settings.RoleCooldown:
		return GateCooldown
	case toBatch && d.EvidenceOpen:
		return GateEvidence
	case toBatch && rising:
		return GateRising
	case toBatch && !fits():
		return GateNoRoom
	}
	return GateOpen
}

// acceptProposal makes the proposal the decision's move, unless the operator has enabled advisory
// mode.
func (b *Balancer) acceptProposal(now time.Time, d Decision) Decision {
	if b.settings.RoleAdvisory {
		d.Gate = GateAdvisory
		return d
	}
	d.Gate, d.Move = GateOpen, d.Proposal.Direction
	b.resetProposal(Moved)
	if d.Move == ToService {
		b.lastMoveToService = now
		// A move to the service role starts a new evidence window.
		b.evidenceSince = now
	}
	return d
}

// resetProposal applies an event and discards the proposal with its confirmations.
func (b *Balancer) resetProposal(e Event) {
	b.state = b.state.Next(e)
	b.proposal, b.confirmations = Proposal{}, 0
}

// arrivalRate returns the service load that arrived per second over a window, and the number of
// arrivals in it. The window is cut to the time since the Balancer was created.
func (b *Balancer) arrivalRate(now time.Time, window time.Duration) (rate float64, count int) {
	window = min(window, max(now.Sub(b.startedAt), time.Second))
	load, count := b.arrivals.loadWithin(now, window)
	return load / window.Seconds(), count
}

// evidenceClosed reports whether the evidence window has closed: MinRoleEvidence has passed and
// enough service jobs have arrived, or MaxRoleEvidence has passed.
func (b *Balancer) evidenceClosed(now time.Time) bool {
	age := now.Sub(b.evidenceSince)
	if age >= b.settings.MaxRoleEvidence {
		return true
	}
	return age >= b.settings.MinRoleEvidence && b.arrivals.countSince(b.evidenceSince) >= tuning.RoleEvidenceArrivals
}
