package roles

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

// Balancer is the role controller of one machine type. Its counters live in the
// leader's memory and restart empty after a failover.
type Balancer struct {
	settings          config.Operator
	state             State
	proposal          Proposal // the last one that is not confirmed yet
	confirmations     int      // how often it came in a row
	evidenceSince     time.Time
	lastMoveToService time.Time
	arrivals          arrivalLog
	startedAt         time.Time
}

// New returns a controller whose evidence window starts now.
func New(settings config.Operator, now time.Time) *Balancer {
	return &Balancer{settings: settings, state: Steady, evidenceSince: now, startedAt: now}
}

// Arrive notes a service arrival that asks for load machines.
func (b *Balancer) Arrive(now time.Time, load float64) { b.arrivals.add(now, load) }

// Evaluate prices the adjacent splits and says whether to move one machine
// now. fits reports whether the tasks of the machine that would leave the
// service role have room on the others; it is asked only if nothing else is in
// the way.
func (b *Balancer) Evaluate(now time.Time, s Split, fits func() bool) Decision {
	current := s.loads(b.settings, s.Batch, s.Service)
	short, shortArrivals := b.arrivalRate(now, tuning.RoleShortWindow)
	long, _ := b.arrivalRate(now, tuning.RoleLongWindow)
	d := Decision{Type: s.Type, Batch: s.Batch, Service: s.Service, BatchLoad: current.batch, ServiceLoad: current.service,
		Short: short, Long: long, EvidenceOpen: !b.evidenceClosed(now)}

	d.Proposal, d.Gate = b.propose(s)
	switch {
	case d.Proposal.Direction == None:
		b.resetProposal(Cleared)
		return d
	case d.Proposal.Rule == Floor:
		// A role without a machine is restored at once, one per evaluation.
		return b.acceptProposal(now, d)
	}
	b.countConfirmation(d.Proposal)
	d.Confirmations = b.confirmations
	rising := shortArrivals >= tuning.RoleEvidenceArrivals && short > long*(1+b.settings.RoleDemandRise)
	if d.Gate = b.blockingGate(now, d, rising, fits); d.Gate != Open {
		return d
	}
	return b.acceptProposal(now, d)
}

// countConfirmation counts how often the same proposal comes in a row.
func (b *Balancer) countConfirmation(p Proposal) {
	if b.state == Confirming && b.proposal == p {
		b.confirmations++
	} else {
		b.proposal, b.confirmations = p, 1
	}
	b.state = b.state.Next(Proposed)
}

// blockingGate is what blocks the decision's proposal. rising says whether service demand
// rises.
func (b *Balancer) blockingGate(now time.Time, d Decision, rising bool, fits func() bool) Gate {
	toBatch := d.Proposal.Direction == ToBatch
	switch {
	case b.confirmations < b.settings.RoleConfirm:
		return Confirm
	case !toBatch && now.Sub(b.lastMoveToService) < b.settings.RoleCooldown:
		return Cooldown
	case toBatch && d.EvidenceOpen:
		return Evidence
	case toBatch && rising:
		return Rising
	case toBatch && !fits():
		return NoRoom
	}
	return Open
}

// acceptProposal carries the proposal into the decision, unless operators want advice only.
func (b *Balancer) acceptProposal(now time.Time, d Decision) Decision {
	if b.settings.RoleAdvisory {
		d.Gate = Advisory
		return d
	}
	d.Gate, d.Move = Open, d.Proposal.Direction
	b.resetProposal(Moved)
	if d.Move == ToService {
		b.lastMoveToService = now
		// A move toward services restarts the evidence.
		b.evidenceSince = now
	}
	return d
}

// resetProposal ends the confirmations, by an event.
func (b *Balancer) resetProposal(e Event) {
	b.state = b.state.Next(e)
	b.proposal, b.confirmations = Proposal{}, 0
}

// arrivalRate is the arriving service load per second over a window, and the
// number of arrivals in it. The window is no longer than the controller's life.
func (b *Balancer) arrivalRate(now time.Time, window time.Duration) (rate float64, count int) {
	window = min(window, max(now.Sub(b.startedAt), time.Second))
	load, count := b.arrivals.loadWithin(now, window)
	return load / window.Seconds(), count
}

// evidenceClosed reports whether the evidence window has closed: enough service
// arrivals are known, or it has lasted long enough without them.
func (b *Balancer) evidenceClosed(now time.Time) bool {
	age := now.Sub(b.evidenceSince)
	if age >= b.settings.RoleEvidenceMax {
		return true
	}
	return age >= b.settings.RoleEvidenceMin && b.arrivals.countSince(b.evidenceSince) >= tuning.RoleEvidenceArrivals
}
