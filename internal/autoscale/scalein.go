package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// scaleIn chooses machines to terminate: those that are of no use, and those
// whose loss leaves the headroom and the role floors. unplaced are the roles of
// tasks that a pass could not place.
func (p *planner) scaleIn(unplaced map[placement.Role]bool) []ScaleIn {
	useless, candidates := p.scaleInCandidates()
	p.sortCandidates(candidates)
	choice := p.newScaleInChoice(unplaced)
	for _, m := range candidates {
		choice.consider(m)
	}
	p.pruneSurplus(choice.surplus)
	out := append(useless, choice.busy...)
	return append(out, choice.idleMachines()...)
}

// scaleInCandidates lists the machines that are of no use, with the reason, and
// those that might be spared.
func (p *planner) scaleInCandidates() (useless []ScaleIn, candidates []Machine) {
	for _, m := range p.input.Machines {
		if reason := p.uselessReason(m); reason != "" {
			useless = append(useless, ScaleIn{m.Name, reason})
		} else if m.Schedulable && p.canBeEmptied(m) {
			candidates = append(candidates, m)
		}
	}
	return useless, candidates
}

// uselessReason is the reason for terminating a machine whatever the demand is,
// "" if there is none.
func (p *planner) uselessReason(m Machine) string {
	slowBoot := max(time.Duration(tuning.SlowBootFactor*float64(p.bootTime(m))), tuning.MinSlowBoot)
	switch {
	case m.Booting && m.Age > slowBoot:
		return ReasonSlowBoot
	case m.Missing:
		return ReasonNotListed
	case m.Silent:
		return ReasonSilent
	case m.Quarantined:
		return ReasonQuarantined
	}
	return ""
}

// canBeEmptied reports whether a schedulable machine is idle, or could be
// emptied: an on-demand one of batch work, whose tasks end by themselves, or one
// whose service tasks can move.
func (p *planner) canBeEmptied(m Machine) bool {
	if m.Claims == 0 {
		return true
	}
	if m.Role == placement.Batch {
		return !m.Kind.Spot
	}
	return m.Role == placement.Service && m.Movable && p.input.Draining < max(p.input.MaxDraining, 1)
}

// sortCandidates puts idle machines first, then the dearest, then those with the
// fewest claims.
func (p *planner) sortCandidates(candidates []Machine) {
	slices.SortFunc(candidates, func(a, b Machine) int {
		if aIdle, bIdle := a.Claims == 0, b.Claims == 0; aIdle != bIdle {
			if aIdle {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(p.price(b.Kind), p.price(a.Kind)),
			cmp.Compare(a.Claims, b.Claims),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

// pruneSurplus ends the surplus of the machines that are not in it any more.
func (p *planner) pruneSurplus(surplus map[string]bool) {
	maps.DeleteFunc(p.input.SurplusSince, func(machine string, _ time.Time) bool { return !surplus[machine] })
}

// typeRole is what a role's floor is kept of: machines of one type.
type typeRole struct {
	machineType string
	role        placement.Role
}

func (m Machine) typeRole() typeRole {
	return typeRole{m.Kind.MachineType, m.Role}
}

// scaleInChoice is the choice among the machines that might be spared, given
// those that were chosen before.
type scaleInChoice struct {
	planner       *planner
	unplaced      map[placement.Role]bool   // roles with tasks without a place
	counts        map[typeRole]int          // machines that keep a role's floor
	slots         map[placement.Role]*slots // for the headroom of each role
	onDemandSlots *slots                    // for the headroom of batch work that may not use spot machines
	surplus       map[string]bool           // machines that the plan could do without, by name
	busyChosen    map[placement.Role]bool   // roles of which a busy machine was chosen
	busy          []ScaleIn                 // chosen, to be emptied
	idle          map[string][]Machine      // chosen, empty, by group
}

func (p *planner) newScaleInChoice(unplaced map[placement.Role]bool) *scaleInChoice {
	c := &scaleInChoice{
		planner:  p,
		unplaced: unplaced,
		counts:   map[typeRole]int{},
		slots: map[placement.Role]*slots{
			placement.Batch:   p.newSlots(p.input.Batch, p.input.Operator.BatchHeadroom),
			placement.Service: p.newSlots(p.input.Service, p.input.Operator.ServiceHeadroom),
		},
		onDemandSlots: p.newSlots(p.input.OnDemand, p.input.Operator.BatchHeadroom),
		surplus:       map[string]bool{},
		busyChosen:    map[placement.Role]bool{},
		idle:          map[string][]Machine{},
	}
	for _, m := range p.input.Machines {
		if m.Schedulable && m.isHealthy() {
			c.counts[m.typeRole()]++
		}
	}
	return c
}

// consider chooses the machine if it can be spared now, and notes it as
// surplus if it could be.
func (c *scaleInChoice) consider(m Machine) {
	if c.isNeeded(m) {
		return
	}
	c.surplus[m.Name] = true
	if !c.isSurplusForLong(m) || c.unplaced[m.Role] || len(c.planner.scaleOut) > 0 {
		return
	}
	if m.Claims > 0 && c.busyChosen[m.Role] {
		return // a plan empties one busy machine of each role
	}
	c.choose(m)
}

// isNeeded reports whether the role floors or the headroom need the machine.
func (c *scaleInChoice) isNeeded(m Machine) bool {
	// Guards against short work that may not use spot machines waiting for a
	// boot each time, since spot machines hold the role's floor.
	if m.Role == placement.Batch && !m.Kind.Spot && !c.onDemandSlots.canSpare(m) {
		return true
	}
	active := c.planner.input.ActiveRoles[m.Role]
	if active && c.counts[m.typeRole()] <= tuning.RoleFloor {
		return true
	}
	// A machine that would not be added for headroom is not kept for it. Guards
	// against idle on-demand machines, several times as dear, that stand in for
	// the spot machines of which the cloud has no more.
	if c.replacesSpot(m) {
		return false
	}
	return (active || m.Claims > 0) && !c.slots[m.Role].canSpare(m)
}

// replacesSpot reports whether the machine is an idle on-demand one, though
// the typical batch work may use spot machines.
func (c *scaleInChoice) replacesSpot(m Machine) bool {
	typical := c.planner.input.Batch.Spec
	return m.Claims == 0 && m.Role == placement.Batch && !m.Kind.Spot && typical != nil && typical.Spot
}

// isSurplusForLong reports whether an idle machine has been idle for long
// enough to be terminated. A busy one must be surplus for as long as an idle one
// must be idle. It notes since when the machine is surplus.
func (c *scaleInChoice) isSurplusForLong(m Machine) bool {
	in := &c.planner.input
	since, known := in.SurplusSince[m.Name]
	if !known {
		since = in.Now
		in.SurplusSince[m.Name] = since
	}
	limit := in.Operator.IdleOnDemand
	if m.Kind.Spot {
		limit = in.Operator.IdleSpot
	}
	rest := m.Idle
	if m.Claims > 0 {
		rest = in.Now.Sub(since)
	}
	return rest >= limit
}

// choose lists the machine to be terminated, and takes it out of what is left.
func (c *scaleInChoice) choose(m Machine) {
	c.counts[m.typeRole()]--
	c.slots[m.Role].remove(m)
	c.onDemandSlots.remove(m)
	if m.Claims > 0 {
		c.busyChosen[m.Role] = true
		c.busy = append(c.busy, ScaleIn{m.Name, ReasonSurplus})
		return
	}
	c.idle[m.Group] = append(c.idle[m.Group], m)
}

// idleMachines lists the idle machines that were chosen. The groups with the
// most of them go first, a few a plan: each group costs a write, however many of
// its machines change.
func (c *scaleInChoice) idleMachines() []ScaleIn {
	groups := slices.SortedFunc(maps.Keys(c.idle), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(c.idle[b]), len(c.idle[a])), cmp.Compare(a, b))
	})
	most := max(c.planner.input.MaxGroups, tuning.DrainGroups)
	var out []ScaleIn
	for _, group := range groups[:min(len(groups), most)] {
		for _, m := range c.idle[group] {
			out = append(out, ScaleIn{m.Name, ReasonIdle})
		}
	}
	return out
}
