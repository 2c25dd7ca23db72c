// Package roles is the role control of the design: for each machine type the
// leader moves single ordinary machines between the batch and the service
// role, toward an adjacent split, behind gates. It is pure.
package roles

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// State of a type's controller.
type State string

// States.
const (
	Steady     State = "steady"     // no move is proposed
	Confirming State = "confirming" // a proposal waits for matching ones
)

// Event changes a controller's state.
type Event string

// Events.
const (
	Proposed Event = "proposed"
	Cleared  Event = "cleared"
	Moved    Event = "moved"
)

// Next is the one function that changes a controller's state.
func (s State) Next(e Event) State {
	if e == Proposed {
		return Confirming
	}
	return Steady
}

// Direction of a move.
type Direction string

// Directions.
const (
	None      Direction = ""
	ToBatch   Direction = "service-to-batch"
	ToService Direction = "batch-to-service"
)

// Rule that makes a move eligible.
type Rule string

// Rules.
const (
	Consolidate Rule = "consolidation"
	Mixed       Rule = "mixed-pressure"
	Floor       Rule = "role-floor"
)

// Gate that blocks a proposal.
type Gate string

// Gates.
const (
	Open       Gate = ""
	NoGain     Gate = "margin"
	SourceBusy Gate = "source-load"
	AtFloor    Gate = "role-floor"
	Confirm    Gate = "confirmations"
	Cooldown   Gate = "cooldown"
	Evidence   Gate = "evidence-window"
	Rising     Gate = "rising-demand"
	NoRoom     Gate = "residents-do-not-fit"
	Advisory   Gate = "advisory"
)

// Split is the ordinary machines of one type.
type Split struct {
	Type           string
	Batch, Service int     // machines per role that are up
	BatchComing    int     // batch machines that still boot; they keep the floor
	ServiceComing  int     // service machines that still boot
	Spot           int     // spot machines: batch only, never split, count for the batch floor
	BatchWork      float64 // queued batch work in machine-seconds
	ServiceBooked  float64 // service demand in machines
	Complete       bool    // demand evidence is complete
}

// batchLoad is predicted start work over the start-time target, with n machines.
func (s Split) batchLoad(n int, target time.Duration) float64 {
	if s.BatchWork <= 0 {
		return 0
	}
	return s.BatchWork / float64(max(n+s.Spot, 0)) / target.Seconds()
}

// serviceLoad is the booked share over the usable share, with n machines.
func (s Split) serviceLoad(n int, usable float64) float64 {
	if s.ServiceBooked <= 0 {
		return 0
	}
	return s.ServiceBooked / (float64(max(n, 0)) * usable)
}

// Proposal is one adjacent split that may be taken.
type Proposal struct {
	Direction Direction
	Rule      Rule
	Complete  bool
	Batch     int // split proposed
	Service   int
}

// Decision is the outcome of one evaluation, kept for operators.
type Decision struct {
	Type          string
	Batch         int
	Service       int
	BatchLoad     float64
	ServiceLoad   float64
	Short, Long   float64
	EvidenceOpen  bool
	Proposal      Proposal
	Confirmations int
	Gate          Gate
	Move          Direction
}

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

// propose finds the eligible adjacent split, or the gate that stops it.
func (c *Controller) propose(s Split) (Proposal, Gate) {
	op := c.settings
	if s.Batch+s.Service >= 2*tuning.RoleFloor {
		if s.Service+s.ServiceComing < tuning.RoleFloor && s.Batch > tuning.RoleFloor {
			return Proposal{ToService, Floor, s.Complete, s.Batch - 1, s.Service + 1}, Open
		}
		if s.Batch+s.BatchComing+s.Spot < tuning.RoleFloor && s.Service > tuning.RoleFloor && s.BatchWork > 0 {
			return Proposal{ToBatch, Floor, s.Complete, s.Batch + 1, s.Service - 1}, Open
		}
	}
	bl, sl := s.batchLoad(s.Batch, op.RoleStartTarget), s.serviceLoad(s.Service, op.RoleUsable)
	worst := max(bl, sl)
	gate := NoGain
	if s.Batch > 0 && s.Batch+s.Spot > tuning.RoleFloor {
		nb, ns := s.batchLoad(s.Batch-1, op.RoleStartTarget), s.serviceLoad(s.Service+1, op.RoleUsable)
		if worstLoadDrop(worst, nb, ns) >= op.RoleMargin {
			if nb <= op.RoleShrink {
				return Proposal{ToService, Consolidate, s.Complete, s.Batch - 1, s.Service + 1}, Open
			}
			gate = SourceBusy
		}
	} else if sl > bl {
		gate = AtFloor
	}
	if s.Service > tuning.RoleFloor {
		nb, ns := s.batchLoad(s.Batch+1, op.RoleStartTarget), s.serviceLoad(s.Service-1, op.RoleUsable)
		if worstLoadDrop(worst, nb, ns) >= op.RoleMargin {
			if ns <= op.RoleShrink {
				return Proposal{ToBatch, Consolidate, s.Complete, s.Batch + 1, s.Service - 1}, Open
			}
			if bl >= op.RoleExpand {
				return Proposal{ToBatch, Mixed, s.Complete, s.Batch + 1, s.Service - 1}, Open
			}
			gate = SourceBusy
		}
	} else if bl > sl {
		gate = AtFloor
	}
	return Proposal{}, gate
}

// worstLoadDrop is how much the worst ratio falls; a load without machines is endless.
func worstLoadDrop(worst, nb, ns float64) float64 {
	next := max(nb, ns)
	if worst > 1e300 {
		if next > 1e300 {
			return 0
		}
		return 1e300
	}
	return worst - next
}

// Victim chooses the service machine to flip: the one with the fewest service
// tasks (ours); names break ties.
func Victim(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(r placement.ClaimedTask) bool { return r.Job.Service() })
}

// Emptiest chooses the batch machine to flip: the one with the fewest tasks.
func Emptiest(machines []*placement.Machine) *placement.Machine {
	return fewestTasks(machines, func(placement.ClaimedTask) bool { return true })
}

func fewestTasks(machines []*placement.Machine, counts func(placement.ClaimedTask) bool) *placement.Machine {
	var best *placement.Machine
	n := 0
	for _, m := range machines {
		k := 0
		for _, r := range m.Tasks {
			if counts(r) {
				k++
			}
		}
		if best == nil || k < n || k == n && m.Name < best.Name {
			best, n = m, k
		}
	}
	return best
}
