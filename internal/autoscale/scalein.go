package autoscale

import (
	"sort"
	"time"

	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// scaleIn chooses machines to give back: those that are of no use, and idle
// ones whose loss leaves the headroom and the role floors.
func (p *planner) scaleIn(unmet map[placement.Role]bool) []ScaleIn {
	useless, spare := p.scaleInCandidates()
	p.sortSurplus(spare)
	choice := p.newScaleInChoice(unmet)
	for _, u := range spare {
		choice.consider(u)
	}
	p.forgetSurplus(choice.surplus)
	out := append(useless, choice.busy...)
	return append(out, choice.idleMachines()...)
}

// scaleInCandidates lists the machines that are of no use, with the reason, and
// those that might be spared.
func (p *planner) scaleInCandidates() (useless []ScaleIn, spare []Machine) {
	for _, u := range p.input.Machines {
		if why := p.uselessReason(u); why != "" {
			useless = append(useless, ScaleIn{u.Name, why})
		} else if u.Schedulable && p.surplusCandidate(u) {
			spare = append(spare, u)
		}
	}
	return useless, spare
}

// uselessReason is the reason for giving back a machine whatever the demand is,
// "" if there is none.
func (p *planner) uselessReason(u Machine) string {
	slowBoot := max(time.Duration(tuning.SlowBootFactor*float64(p.bootTime(u))), tuning.SlowBootMin)
	switch {
	case u.Booting && u.Age > slowBoot:
		return ReasonSlowBoot
	case u.Missing:
		return ReasonNotListed
	case u.Silent:
		return ReasonSilent
	case u.Quarantined:
		return ReasonQuarantined
	}
	return ""
}

// surplusCandidate reports whether an open machine is idle, or could be emptied:
// an ordinary one of batch work, whose tasks end by themselves, or one whose
// service tasks can move.
func (p *planner) surplusCandidate(u Machine) bool {
	if u.Claims == 0 {
		return true
	}
	if u.Role == placement.Batch {
		return !u.Kind.Spot
	}
	return u.Role == placement.Service && u.Movable && p.input.Draining < max(p.input.MaxDraining, 1)
}

// sortSurplus puts idle machines first, then the emptiest of the dearest.
func (p *planner) sortSurplus(spare []Machine) {
	sort.Slice(spare, func(a, b int) bool {
		x, y := spare[a], spare[b]
		if (x.Claims == 0) != (y.Claims == 0) {
			return x.Claims == 0
		}
		if p.price(x.Kind) != p.price(y.Kind) {
			return p.price(x.Kind) > p.price(y.Kind)
		}
		if x.Claims != y.Claims {
			return x.Claims < y.Claims
		}
		return x.Name < y.Name
	})
}

// forgetSurplus ends the surplus of the machines that are not in it any more.
func (p *planner) forgetSurplus(surplus map[string]bool) {
	for name := range p.input.SurplusSince {
		if !surplus[name] {
			delete(p.input.SurplusSince, name)
		}
	}
}

// roleOfType is what a role's floor is kept of: machines of one type.
type roleOfType struct {
	machineType string
	role        placement.Role
}

func (u Machine) roleOfType() roleOfType {
	return roleOfType{u.Kind.MachineType, u.Role}
}

// scaleInChoice is the choice among the machines that might be spared, given
// those that were chosen before.
type scaleInChoice struct {
	planner *planner
	unmet   map[placement.Role]bool   // roles with tasks without a place
	holds   map[roleOfType]int        // machines that keep a role's floor
	rooms   map[placement.Role]*rooms // room for the headroom of each role
	plain   *rooms                    // room for batch work that may not use spot machines
	surplus map[string]bool           // machines that the plan could do without
	emptied map[placement.Role]bool   // roles of which a busy machine was chosen
	busy    []ScaleIn                 // chosen, to be emptied
	idle    map[string][]Machine      // chosen, empty, by group
}

func (p *planner) newScaleInChoice(unmet map[placement.Role]bool) *scaleInChoice {
	c := &scaleInChoice{
		planner: p,
		unmet:   unmet,
		holds:   map[roleOfType]int{},
		rooms: map[placement.Role]*rooms{
			placement.Batch:   p.rooms(p.input.Batch, p.input.Operator.BatchHeadroom),
			placement.Service: p.rooms(p.input.Service, p.input.Operator.ServiceHeadroom),
		},
		plain:   p.rooms(p.input.OnDemand, p.input.Operator.BatchHeadroom),
		surplus: map[string]bool{},
		emptied: map[placement.Role]bool{},
		idle:    map[string][]Machine{},
	}
	for _, u := range p.input.Machines {
		if u.Schedulable && u.healthy() {
			c.holds[u.roleOfType()]++
		}
	}
	return c
}

// consider chooses the machine if it can be spared now, and notes it as
// surplus if it could be.
func (c *scaleInChoice) consider(u Machine) {
	if c.needed(u) {
		return
	}
	c.surplus[u.Name] = true
	if !c.rested(u) || c.unmet[u.Role] || len(c.planner.scaleOut) > 0 {
		return
	}
	if u.Claims > 0 && c.emptied[u.Role] {
		return // one that has to be emptied of each role a plan
	}
	c.choose(u)
}

// needed reports whether the role floors or the headroom need the machine.
func (c *scaleInChoice) needed(u Machine) bool {
	// Guards against short work that may not use spot machines waiting for a
	// boot each time, since spot machines hold the role's floor.
	if u.Role == placement.Batch && !u.Kind.Spot && !c.plain.spares(u) {
		return true
	}
	active := c.planner.input.ActiveRoles[u.Role]
	if active && c.holds[u.roleOfType()] <= tuning.RoleFloor {
		return true
	}
	// What is not rented for headroom is not kept for it. Guards against idle
	// ordinary machines, several times as dear, that stand in for the spot
	// machines of which the cloud has no more.
	if c.replacesSpot(u) {
		return false
	}
	return (active || u.Claims > 0) && !c.rooms[u.Role].spares(u)
}

// replacesSpot reports whether the machine is an idle ordinary one, though
// the typical batch work may use spot machines.
func (c *scaleInChoice) replacesSpot(u Machine) bool {
	typical := c.planner.input.Batch.Spec
	return u.Claims == 0 && u.Role == placement.Batch && !u.Kind.Spot && typical != nil && typical.Spot
}

// rested reports whether the machine has been idle for long enough to go. A
// busy machine must be surplus for as long as an idle one must be idle.
func (c *scaleInChoice) rested(u Machine) bool {
	in := &c.planner.input
	since, known := in.SurplusSince[u.Name]
	if !known {
		since = in.Now
		in.SurplusSince[u.Name] = since
	}
	limit := in.Operator.IdleOrdinary
	if u.Kind.Spot {
		limit = in.Operator.IdleSpot
	}
	rest := u.Idle
	if u.Claims > 0 {
		rest = in.Now.Sub(since)
	}
	return rest >= limit
}

// choose gives the machine back, and takes it out of what is left.
func (c *scaleInChoice) choose(u Machine) {
	c.holds[u.roleOfType()]--
	c.rooms[u.Role].leave(u)
	c.plain.leave(u)
	if u.Claims > 0 {
		c.emptied[u.Role] = true
		c.busy = append(c.busy, ScaleIn{u.Name, ReasonSurplus})
		return
	}
	c.idle[u.Group] = append(c.idle[u.Group], u)
}

// idleMachines gives back the idle machines that were chosen. The groups with
// the most of them go first, a few a plan: each group costs a change, however
// many of its machines go.
func (c *scaleInChoice) idleMachines() []ScaleIn {
	groups := make([]string, 0, len(c.idle))
	for group := range c.idle {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(a, b int) bool {
		if x, y := len(c.idle[groups[a]]), len(c.idle[groups[b]]); x != y {
			return x > y
		}
		return groups[a] < groups[b]
	})
	most := max(c.planner.input.MaxGroups, tuning.DrainGroups)
	var out []ScaleIn
	for _, group := range groups[:min(len(groups), most)] {
		for _, u := range c.idle[group] {
			out = append(out, ScaleIn{u.Name, ReasonIdle})
		}
	}
	return out
}
