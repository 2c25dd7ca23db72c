// Package autoscale decides which machines to add and which to terminate, given the
// unplaced tasks, the load of each role and the existing machines. It scales out for
// unplaced tasks and headroom, and scales in machines that are unusable or idle.
//
// Plan has no side effects other than updating Input.SurplusSince. The caller collects
// the input, calls the cloud (package cloud), stores records (package inventory) and
// drains machines. Package placement assigns tasks to machines, and package roles moves
// machines between roles.
package autoscale

import (
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Plan decides which machines to add and which to terminate. Its only side effect is
// that it updates in.SurplusSince.
func Plan(in Input) Output {
	p := newPlanner(in)
	unplaced := p.provisionDemands()
	p.provisionHeadroom(placement.Service, in.Service, in.Operator.ServiceHeadroom)
	p.provisionHeadroom(placement.Batch, in.Batch, in.Operator.BatchHeadroom)
	p.provisionHeadroom(placement.Batch, in.OnDemandBatch, in.Operator.BatchHeadroom)
	return Output{
		ScaleOut: p.sortedScaleOut(),
		ScaleIn:  p.scaleIn(unplaced),
	}
}

// planner holds the state of one plan while it is computed.
type planner struct {
	input            Input
	types            map[string]wire.MachineType // by label
	bins             []*bin
	zoneCounts       map[zoneRole]int    // number of bins by zone and role
	unreachableZones map[string]bool     // see function unreachableZones
	scaleOut         map[ScaleOut]int    // machines to add, by kind and role; keys have no Count or Reason
	reasons          map[ScaleOut]string // why the first machine of each entry of scaleOut was planned
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
