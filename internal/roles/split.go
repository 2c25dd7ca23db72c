package roles

import (
	"time"

	"wheatspur/internal/config"
)

// Split describes how the on-demand machines of one type are split between the roles, and the
// demand for them.
type Split struct {
	MachineType        string
	Batch, Service     int     // machines per role that are up
	BatchBooting       int     // batch machines that are booting; they count toward the batch floor
	ServiceBooting     int     // service machines that are booting; they count toward the service floor
	Spot               int     // spot machines: batch role only, never moved, count toward the batch floor
	QueuedBatchSeconds float64 // queued batch work in machine-seconds
	ServiceDemand      float64 // service demand in machines
	DemandComplete     bool    // the demand of all controllers is known
}

// loads holds the loads of both roles. The load of a role with demand but no machines is infinite.
type loads struct{ batch, service float64 }

// worst returns the larger of the two loads.
func (l loads) worst() float64 { return max(l.batch, l.service) }

// loads returns the loads that the split would have with the given number of machines per role.
func (s Split) loads(settings config.OperatorSettings, batch, service int) loads {
	return loads{batch: s.batchLoad(batch, settings.RoleStartTarget), service: s.serviceLoad(service, settings.RoleUsableShare)}
}

// batchLoad returns the time in which the spot machines and the given number of on-demand machines
// would work off the queued batch work, divided by the start-time target.
func (s Split) batchLoad(machines int, target time.Duration) float64 {
	if s.QueuedBatchSeconds <= 0 {
		return 0
	}
	return s.QueuedBatchSeconds / float64(max(machines+s.Spot, 0)) / target.Seconds()
}

// serviceLoad returns the service demand divided by the usable capacity of the given number of
// machines.
func (s Split) serviceLoad(machines int, usable float64) float64 {
	if s.ServiceDemand <= 0 {
		return 0
	}
	return s.ServiceDemand / (float64(max(machines, 0)) * usable)
}

// adjacentProposal returns the proposal to move one machine in a direction.
func (s Split) adjacentProposal(direction Direction, rule Rule) Proposal {
	p := Proposal{Direction: direction, Rule: rule, DemandComplete: s.DemandComplete, Batch: s.Batch + 1, Service: s.Service - 1}
	if direction == ToService {
		p.Batch, p.Service = s.Batch-1, s.Service+1
	}
	return p
}
