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
func (c *Balancer) Arrive(now time.Time, load float64) { c.arrivals.add(now, load) }

// Evaluate prices the adjacent splits and says whether to move one machine
// now. fits reports whether the tasks of the machine that would leave the
// service role have room on the others; it is asked only if nothing else is in
// the way.
func (c *Balancer) Evaluate(now time.Time, s Split, fits func() bool) Decision {
	current := s.loads(c.settings, s.Batch, s.Service)
	short, shortArrivals := c.arrivalRate(now, tuning.RoleShortWindow)
	long, _ := c.arrivalRate(now, tuning.RoleLongWindow)
	d := Decision{Type: s.Type, Batch: s.Batch, Service: s.Service, BatchLoad: current.batch, ServiceLoad: current.service,
		Short: short, Long: long, EvidenceOpen: !c.evidenceClosed(now)}

	d.Proposal, d.Gate = c.propose(s)
	switch {
	case d.Proposal.Direction == None:
		c.forgetProposal(Cleared)
		return d
	case d.Proposal.Rule == Floor:
		// A role without a machine is restored at once, one per evaluation.
		return c.move(now, d)
	}
	c.confirm(d.Proposal)
	d.Confirmations = c.confirmations
	rising := shortArrivals >= tuning.RoleEvidenceArrivals && short > long*(1+c.settings.RoleDemandRise)
	if d.Gate = c.gate(now, d, rising, fits); d.Gate != Open {
		return d
	}
	return c.move(now, d)
}

// confirm counts how often the same proposal comes in a row.
func (c *Balancer) confirm(p Proposal) {
	if c.state == Confirming && c.proposal == p {
		c.confirmations++
	} else {
		c.proposal, c.confirmations = p, 1
	}
	c.state = c.state.Next(Proposed)
}

// gate is what blocks the decision's proposal. rising says whether service demand
// rises.
func (c *Balancer) gate(now time.Time, d Decision, rising bool, fits func() bool) Gate {
	toBatch := d.Proposal.Direction == ToBatch
	switch {
	case c.confirmations < c.settings.RoleConfirm:
		return Confirm
	case !toBatch && now.Sub(c.lastMoveToService) < c.settings.RoleCooldown:
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

// move carries the proposal into the decision, unless operators want advice only.
func (c *Balancer) move(now time.Time, d Decision) Decision {
	if c.settings.RoleAdvisory {
		d.Gate = Advisory
		return d
	}
	d.Gate, d.Move = Open, d.Proposal.Direction
	c.forgetProposal(Moved)
	if d.Move == ToService {
		c.lastMoveToService = now
		// A move toward services restarts the evidence.
		c.evidenceSince = now
	}
	return d
}

// forgetProposal ends the confirmations, by an event.
func (c *Balancer) forgetProposal(e Event) {
	c.state = c.state.Next(e)
	c.proposal, c.confirmations = Proposal{}, 0
}

// arrivalRate is the arriving service load per second over a window, and the
// number of arrivals in it. The window is no longer than the controller's life.
func (c *Balancer) arrivalRate(now time.Time, window time.Duration) (rate float64, count int) {
	window = min(window, max(now.Sub(c.startedAt), time.Second))
	load, count := c.arrivals.during(now, window)
	return load / window.Seconds(), count
}

// evidenceClosed reports whether the evidence window has closed: enough service
// arrivals are known, or it has lasted long enough without them.
func (c *Balancer) evidenceClosed(now time.Time) bool {
	age := now.Sub(c.evidenceSince)
	if age >= c.settings.RoleEvidenceMax {
		return true
	}
	return age >= c.settings.RoleEvidenceMin && c.arrivals.countSince(c.evidenceSince) >= tuning.RoleEvidenceArrivals
}
