package roles

import (
	"time"

	"wheatspur/internal/config"
)

// Split is the on-demand machines of one type, and the demand for them.
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

// loads are the loads of both roles; infinite without machines.
type loads struct{ batch, service float64 }

// worst is the larger load.
func (l loads) worst() float64 { return max(l.batch, l.service) }

// loads are those of the split with so many machines per role.
func (s Split) loads(settings config.Operator, batch, service int) loads {
	return loads{batch: s.batchLoad(batch, settings.RoleStartTarget), service: s.serviceLoad(service, settings.RoleUsable)}
}

// batchLoad is predicted start work over the start-time target, with so many
// machines beside the spot ones.
func (s Split) batchLoad(machines int, target time.Duration) float64 {
	if s.BatchWork <= 0 {
		return 0
	}
	return s.BatchWork / float64(max(machines+s.Spot, 0)) / target.Seconds()
}

// serviceLoad is the booked share over the usable share, with so many machines.
func (s Split) serviceLoad(machines int, usable float64) float64 {
	if s.ServiceBooked <= 0 {
		return 0
	}
	return s.ServiceBooked / (float64(max(machines, 0)) * usable)
}

// adjacentProposal is the proposal of the split with one machine moved.
func (s Split) adjacentProposal(direction Direction, rule Rule) Proposal {
	p := Proposal{Direction: direction, Rule: rule, Complete: s.Complete, Batch: s.Batch + 1, Service: s.Service - 1}
	if direction == ToService {
		p.Batch, p.Service = s.Batch-1, s.Service+1
	}
	return p
}
