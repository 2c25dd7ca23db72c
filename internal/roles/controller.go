package roles

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/tuning"
)

type arrival struct {
	at   time.Time
	load float64
}

// Controller is the role controller of one type. Its counters live in the
// leader's memory and restart empty with a new leader.
type Controller struct {
	settings          config.Operator
	state             State
	proposal          Proposal
	confirmations     int
	evidenceSince     time.Time // start of the evidence window
	lastMoveToService time.Time
	arrivals          []arrival // service arrivals
	startedAt         time.Time
}

// New returns a controller whose evidence window starts now.
func New(op config.Operator, now time.Time) *Controller {
	return &Controller{settings: op, state: Steady, evidenceSince: now, startedAt: now}
}

// Arrive notes a service arrival that asks for load machines.
func (c *Controller) Arrive(now time.Time, load float64) {
	c.arrivals = append(c.arrivals, arrival{now, load})
	cut := 0
	for cut < len(c.arrivals) && now.Sub(c.arrivals[cut].at) > tuning.RoleLongWindow {
		cut++
	}
	c.arrivals = c.arrivals[cut:]
}

// arrivalRate is the arriving service load per second over a horizon, and the
// number of arrivals in it.
func (c *Controller) arrivalRate(now time.Time, window time.Duration) (float64, int) {
	window = min(window, max(now.Sub(c.startedAt), time.Second))
	sum, n := 0.0, 0
	for _, a := range c.arrivals {
		if now.Sub(a.at) <= window {
			sum += a.load
			n++
		}
	}
	return sum / window.Seconds(), n
}

// evidenceClosed reports whether the arrival-evidence window has closed.
func (c *Controller) evidenceClosed(now time.Time) bool {
	age := now.Sub(c.evidenceSince)
	if age >= c.settings.RoleEvidenceMax {
		return true
	}
	n := 0
	for _, a := range c.arrivals {
		if !a.at.Before(c.evidenceSince) {
			n++
		}
	}
	return age >= c.settings.RoleEvidenceMin && n >= tuning.RoleEvidenceArrivals
}

// Evaluate prices the adjacent splits and says whether to move one machine
// now. fits reports whether the tasks of the machine that would leave the
// service role have room on the others.
func (c *Controller) Evaluate(now time.Time, s Split, fits func() bool) Decision {
	op := c.settings
	bl, sl := s.batchLoad(s.Batch, op.RoleStartTarget), s.serviceLoad(s.Service, op.RoleUsable)
	short, shortN := c.arrivalRate(now, tuning.RoleShortWindow)
	long, _ := c.arrivalRate(now, tuning.RoleLongWindow)
	d := Decision{Type: s.Type, Batch: s.Batch, Service: s.Service, BatchLoad: bl, ServiceLoad: sl,
		Short: short, Long: long, EvidenceOpen: !c.evidenceClosed(now)}

	p, gate := c.propose(s)
	d.Proposal, d.Gate = p, gate
	if p.Direction == None {
		c.clear()
		return d
	}
	if p.Rule == Floor {
		// A role without a machine is restored at once, one per evaluation.
		return c.move(now, d)
	}
	if c.state == Confirming && c.proposal == p {
		c.confirmations++
	} else {
		c.proposal, c.confirmations = p, 1
	}
	c.state = c.state.Next(Proposed)
	d.Confirmations = c.confirmations
	if c.confirmations < op.RoleConfirm {
		d.Gate = Confirm
		return d
	}
	switch p.Direction {
	case ToService:
		if now.Sub(c.lastMoveToService) < op.RoleCooldown {
			d.Gate = Cooldown
			return d
		}
	case ToBatch:
		if d.EvidenceOpen {
			d.Gate = Evidence
			return d
		}
		if shortN >= tuning.RoleEvidenceArrivals && short > long*(1+op.RoleDemandRise) {
			d.Gate = Rising
			return d
		}
		if !fits() {
			d.Gate = NoRoom
			return d
		}
	}
	return c.move(now, d)
}

func (c *Controller) move(now time.Time, d Decision) Decision {
	if c.settings.RoleAdvisory {
		d.Gate = Advisory
		return d
	}
	d.Gate, d.Move = Open, d.Proposal.Direction
	c.state = c.state.Next(Moved)
	c.proposal, c.confirmations = Proposal{}, 0
	if d.Move == ToService {
		c.lastMoveToService = now
		// A recovery toward services restarts the evidence.
		c.evidenceSince = now
	}
	return d
}

func (c *Controller) clear() {
	c.state = c.state.Next(Cleared)
	c.proposal, c.confirmations = Proposal{}, 0
}
