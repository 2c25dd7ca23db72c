// Package autoscale decides which machines to add and which to terminate, from
// the demand without a place, the load of each role and the machines that there
// are: scale out for demand and headroom, scale in of what is of no use or idle.
//
// Plan is pure but for Input.SurplusSince: the caller collects the input, calls
// the cloud (package cloud), stores records (package inventory) and drains
// machines. Which tasks go to which machine is decided in package placement, and
// moves of machines between roles in package roles.
package autoscale

import (
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Plan decides what to add and what to terminate. It is pure, but for
// SurplusSince.
func Plan(in Input) Output {
	p := newPlanner(in)
	unplaced := p.coverDemands()
	p.coverHeadroom(placement.Service, in.Service, in.Operator.ServiceHeadroom)
	p.coverHeadroom(placement.Batch, in.Batch, in.Operator.BatchHeadroom)
	p.coverHeadroom(placement.Batch, in.OnDemand, in.Operator.BatchHeadroom)
	return Output{
		ScaleOut: p.sortedScaleOut(),
		ScaleIn:  p.scaleIn(unplaced),
	}
}

// planner is a plan in the making.
type planner struct {
	input            Input
	types            map[string]wire.MachineType // by label
	bins             []*bin
	zoneCounts       map[zoneRole]int    // bins by zone and role
	unreachableZones map[string]bool     // see the function
	scaleOut         map[ScaleOut]int    // machines planned, by kind and role: Count and Reason are not set
	reasons          map[ScaleOut]string // why the first of them was planned
}

func newPlanner(in Input) *planner {
	p := &planner{
		input:            in,
		types:            map[string]wire.MachineType{},
		zoneCounts:       map[zoneRole]int{},
		unreachableZones: unreachableZones(in.Machines),
		scaleOut:         map[ScaleOut]int{},
		reasons:          map[ScaleOut]string{},
	}
	for _, machineType := range in.Types {
		p.types[machineType.Label] = machineType
	}
	for _, m := range in.Machines {
		if m.isHealthy() && !p.isBootOverdue(m) && (m.Schedulable || m.Booting) {
			p.addBin(&bin{m.Kind, m.Role, m.Free, m.Schedulable})
		}
	}
	return p
}
