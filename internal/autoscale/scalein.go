package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
)

// scaleIn selects the machines to terminate: those that are unusable, and those that neither
// the headroom nor the role floors need. unplaced holds the roles of tasks that a
// scheduling pass could not place.
func (p *planner) scaleIn(unplaced map[placement.Role]bool) []ScaleIn {
	unusable, candidates := p.scaleInCandidates()
	p.sortCandidates(candidates)
	selector := p.newScaleInSelector(unplaced)
	for _, m := range candidates {
		selector.consider(m)
	}
	p.pruneSurplus(selector.surplus)
	out := append(unusable, selector.busy...)
	return append(out, selector.idleMachines()...)
}

// scaleInCandidates lists the unusable machines, with the reason, and the machines that
// could be drained or are idle.
func (p *planner) scaleInCandidates() (unusable []ScaleIn, candidates []Machine) {
	for _, m := range p.input.Machines {
		if reason := p.terminationReason(m); reason != "" {
			unusable = append(unusable, ScaleIn{m.Name, reason})
		} else if m.Schedulable && p.isDrainable(m) {
			candidates = append(candidates, m)
		}
	}
	return unusable, candidates
}

// terminationReason returns the reason for terminating a machine regardless of demand, or
// "" if there is none.
func (p *planner) terminationReason(m Machine) string {
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

// isDrainable reports whether a schedulable machine is idle or can be drained. An on-demand
// batch machine can, since its tasks end by themselves, and so can a service machine whose
// tasks fit elsewhere, unless too many machines are draining already.
func (p *planner) isDrainable(m Machine) bool {
	if m.Claims == 0 {
		return true
	}
	if m.Role == placement.Batch {
		return !m.Kind.Spot
	}
	return m.Role == placement.Service && m.Movable && p.input.Draining < max(p.input.MaxDraining, 1)
}

// sortCandidates sorts idle machines first, then by descending price, then by ascending
// number of claims.
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

// pruneSurplus deletes the machines that are no longer surplus from Input.SurplusSince.
func (p *planner) pruneSurplus(surplus map[string]bool) {
	maps.DeleteFunc(p.input.SurplusSince, func(machine string, _ time.Time) bool { return !surplus[machine] })
}

// typeRole is the key by which machines are counted for the role floors: each role keeps
// its floor of every machine type.
type typeRole struct {
	machineType string
	role        placement.Role
}

func (m Machine) typeRole() typeRole {
	return typeRole{m.Kind.MachineType, m.Role}
}

// scaleInSelector selects the machines to terminate one by one, taking into account those
// selected before.
type scaleInSelector struct {
	planner       *planner
	unplaced      map[placement.Role]bool   // roles with unplaced tasks
	counts        map[typeRole]int          // machines that count towards a role's floor
	slots         map[placement.Role]*slots // for the headroom of each role
	onDemandSlots *slots                    // for the headroom of batch work that may not use spot machines
	surplus       map[string]bool           // names of machines that the plan does not need
	busySelected  map[placement.Role]bool   // roles of which a busy machine was selected
	busy          []ScaleIn                 // selected machines with claims, to be drained
	idle          map[string][]Machine      // selected idle machines, by group
}

func (p *planner) newScaleInSelector(unplaced map[placement.Role]bool) *scaleInSelector {
	s := &scaleInSelector{
		planner:  p,
		unplaced: unplaced,
		counts:   map[typeRole]int{},
		slots: map[placement.Role]*slots{
			placement.Batch:   p.newSlots(p.input.Batch, p.input.Operator.BatchHeadroom),
			placement.Service: p.newSlots(p.input.Service, p.input.Operator.ServiceHeadroom),
		},
		onDemandSlots: p.newSlots(p.input.OnDemandBatch, p.input.Operator.BatchHeadroom),
		surplus:       map[string]bool{},
		busySelected:  map[placement.Role]bool{},
		idle:          map[string][]Machine{},
	}
	for _, m := range p.input.Machines {
		if m.Schedulable && m.isHealthy() {
			s.counts[m.typeRole()]++
		}
	}
	return s
}

// consider marks the machine as surplus if it is not needed, and selects it if it may be
// terminated now.
func (s *scaleInSelector) consider(m Machine) {
	if s.isNeeded(m) {
		return
	}
	s.surplus[m.Name] = true
	if !s.isPastIdleLimit(m) || s.unplaced[m.Role] || len(s.planner.scaleOut) > 0 {
		return
	}
	if m.Claims > 0 && s.busySelected[m.Role] {
		return // a plan drains at most one busy machine per role
	}
	s.selectMachine(m)
}

// isNeeded reports whether a role floor or the headroom needs the machine.
func (s *scaleInSelector) isNeeded(m Machine) bool {
	// An on-demand machine may be needed although spot machines fill the role's floor:
	// without the headroom for on-demand batch work, short batch work that may not use
	// spot machines would wait for a machine to boot each time.
	if m.Role == placement.Batch && !m.Kind.Spot && !s.onDemandSlots.canRemove(m) {
		return true
	}
	active := s.planner.input.ActiveRoles[m.Role]
	if active && s.counts[m.typeRole()] <= tuning.RoleFloor {
		return true
	}
	// A machine that would not be added for headroom is not kept for it. Otherwise idle
	// on-demand machines, which are several times as expensive, would be kept in place of
	// spot machines while the cloud has no spot capacity.
	if s.substitutesForSpot(m) {
		return false
	}
	return (active || m.Claims > 0) && !s.slots[m.Role].canRemove(m)
}

// substitutesForSpot reports whether the machine is an idle on-demand batch machine while
// typical batch work may use spot machines.
func (s *scaleInSelector) substitutesForSpot(m Machine) bool {
	typical := s.planner.input.Batch.Spec
	return m.Claims == 0 && m.Role == placement.Batch && !m.Kind.Spot && typical != nil && typical.Spot
}

// isPastIdleLimit reports whether an idle machine has been idle, or a busy one surplus, for
// long enough to be terminated. It records since when the machine has been surplus.
func (s *scaleInSelector) isPastIdleLimit(m Machine) bool {
	in := &s.planner.input
	since, known := in.SurplusSince[m.Name]
	if !known {
		since = in.Now
		in.SurplusSince[m.Name] = since
	}
	limit := in.Operator.OnDemandIdleTimeout
	if m.Kind.Spot {
		limit = in.Operator.SpotIdleTimeout
	}
	elapsed := m.Idle
	if m.Claims > 0 {
		elapsed = in.Now.Sub(since)
	}
	return elapsed >= limit
}

// selectMachine selects the machine for termination, and excludes it from the counts.
func (s *scaleInSelector) selectMachine(m Machine) {
	s.counts[m.typeRole()]--
	s.slots[m.Role].remove(m)
	s.onDemandSlots.remove(m)
	if m.Claims > 0 {
		s.busySelected[m.Role] = true
		s.busy = append(s.busy, ScaleIn{m.Name, ReasonSurplus})
		return
	}
	s.idle[m.RecordKey] = append(s.idle[m.RecordKey], m)
}

// idleMachines lists the selected idle machines of a few groups, those with the most such
// machines first. A plan is limited to a few groups because each costs one write, no
// matter how many of its machines change.
func (s *scaleInSelector) idleMachines() []ScaleIn {
	groups := slices.SortedFunc(maps.Keys(s.idle), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(s.idle[b]), len(s.idle[a])), cmp.Compare(a, b))
	})
	maxGroups := max(s.planner.input.MaxGroups, tuning.IdleGroupsPerPlan)
	var out []ScaleIn
	for _, group := range groups[:min(len(groups), maxGroups)] {
		for _, m := range s.idle[group] {
			out = append(out, ScaleIn{m.Name, ReasonIdle})
		}
	}
	return out
}
