package autoscale

import (
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// planner is a plan in the making.
type planner struct {
	input            Input
	types            map[string]wire.MachineType
	bins             []*bin
	zoneCounts       map[zoneRole]int    // bins by zone and role
	unreachableZones map[string]bool     // zones; see the function
	scaleOut         map[ScaleOut]int    // planned, by kind and role
	reasons          map[ScaleOut]string // why the first of them is rented
}

// Plan decides what to rent and what to give back. It is pure, but for
// SurplusSince.
func Plan(in Input) Output {
	p := newPlanner(in)
	unmet := p.coverDemands()
	p.headroom(placement.Service, in.Service, in.Operator.ServiceHeadroom)
	p.headroom(placement.Batch, in.Batch, in.Operator.BatchHeadroom)
	p.headroom(placement.Batch, in.OnDemand, in.Operator.BatchHeadroom)
	return Output{
		ScaleOut: p.sortedScaleOut(),
		ScaleIn:  p.scaleIn(unmet),
	}
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
	for _, t := range in.Types {
		p.types[t.Label] = t
	}
	for _, u := range in.Machines {
		if u.healthy() && !p.bootOverdue(u) && (u.Schedulable || u.Booting) {
			p.addBin(&bin{u.Kind, u.Role, u.Free, u.Schedulable, u.Name})
		}
	}
	return p
}
