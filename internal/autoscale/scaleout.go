package autoscale

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// provisionDemands plans capacity for the unplaced tasks. It returns the roles of the tasks
// that a scheduling pass has tried to place.
func (p *planner) provisionDemands() map[placement.Role]bool {
	unplaced := map[placement.Role]bool{}
	for _, demand := range p.input.Demands {
		p.provision(demand.Job, demand.Count, !demand.NotScheduledYet, demand.Waiting, reasonUnplaced)
		if !demand.NotScheduledYet {
			unplaced[roleOf(demand.Job)] = true
		}
	}
	return unplaced
}

// provision places count identical tasks in the bins, those with the fewest free GPUs
// first, and plans new machines for the rest. With skipSchedulable it ignores the bins
// that accept tasks now, since a scheduling pass has already tried them.
func (p *planner) provision(job *jobs.Job, count int, skipSchedulable bool, waiting time.Duration, reason string) {
	var fitting []*bin
	for _, b := range p.bins {
		if !(skipSchedulable && b.schedulable) && job.TaskResources.Fits(b.free) && isEligible(job, b.kind, b.role) {
			fitting = append(fitting, b)
		}
	}
	slices.SortStableFunc(fitting, func(a, b *bin) int { return cmp.Compare(a.free.GPUs, b.free.GPUs) })
	for _, b := range fitting {
		count = b.fill(job.TaskResources, count)
	}
	for count > 0 {
		b := p.scaleOutFor(job, waiting, reason)
		if b == nil {
			return
		}
		count = b.fill(job.TaskResources, count)
	}
}

// scaleOutFor plans one more machine for a task and returns its bin; nil if no kind of
// machine may be added.
func (p *planner) scaleOutFor(job *jobs.Job, waiting time.Duration, reason string) *bin {
	best := p.bestOffer(job, waiting)
	if math.IsInf(best.pricePerTask, 1) {
		return nil
	}
	role := roleOf(job)
	planned := ScaleOut{Kind: best.kind, Role: role}
	p.scaleOut[planned]++
	if p.reasons[planned] == "" {
		p.reasons[planned] = reason
	}
	b := &bin{kind: best.kind, role: role, free: capacity(p.types[best.kind.MachineType])}
	p.addBin(b)
	return b
}

// sortedScaleOut lists the machines to add: those for services first, then by zone and
// type. The order of a spot and an on-demand entry with equal role, zone and type is
// undefined.
func (p *planner) sortedScaleOut() []ScaleOut {
	var sorted []ScaleOut
	for planned, count := range p.scaleOut {
		planned.Count, planned.Reason = count, p.reasons[planned]
		sorted = append(sorted, planned)
	}
	slices.SortFunc(sorted, func(a, b ScaleOut) int {
		if a.Role != b.Role {
			if a.Role == placement.Service {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Kind.Zone, b.Kind.Zone), cmp.Compare(a.Kind.MachineType, b.Kind.MachineType))
	})
	return sorted
}

// unreachableZones returns the zones in which more machines are late with their heartbeats
// than are schedulable. Machines added there would probably be unreachable as well. Without
// this check, machines behind a network partition would be replaced by others behind the
// same partition, because their zone appears to have the fewest machines.
func unreachableZones(machines []Machine) map[string]bool {
	overdueExcess := map[string]int{} // overdue machines minus schedulable ones, by zone
	for _, m := range machines {
		if m.HeartbeatOverdue {
			overdueExcess[m.Kind.Zone]++
		} else if m.Schedulable {
			overdueExcess[m.Kind.Zone]--
		}
	}
	unreachable := map[string]bool{}
	for zone, excess := range overdueExcess {
		unreachable[zone] = excess > 0
	}
	return unreachable
}

// offer is a kind of machine that may be added for a task.
type offer struct {
	kind         MachineKind
	pricePerTask float64 // price of the machine divided by the tasks that it has room for
	zoneCount    int     // see planner.zoneCount
	unreachable  bool    // whether the zone is unreachable
}

// priceTolerance is the difference below which prices count as equal.
const priceTolerance = 1e-9

// isBetter reports whether o is preferred: reachable zones come first, then the lowest
// price per task, then the zone with the fewest machines of the role.
func (o offer) isBetter(other offer) bool {
	if o.unreachable != other.unreachable {
		return other.unreachable
	}
	if o.pricePerTask < other.pricePerTask-priceTolerance {
		return true
	}
	return o.pricePerTask < other.pricePerTask+priceTolerance && o.zoneCount < other.zoneCount
}

// bestOffer returns the best kind of machine to add for a task; its price is infinite if
// there is none. Of equal offers it returns the first, in the order of the cloud's types
// and zones, on-demand before spot.
func (p *planner) bestOffer(job *jobs.Job, waiting time.Duration) offer {
	best := offer{pricePerTask: math.Inf(1), unreachable: true}
	for _, machineType := range p.input.Types {
		if !job.TaskResources.Fits(capacity(machineType)) {
			continue
		}
		tasks := tasksPerMachine(job, machineType)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				kind := MachineKind{machineType.Label, zone, spot}
				if !p.mayScaleOut(job, kind, waiting) {
					continue
				}
				o := offer{
					kind:         kind,
					pricePerTask: machinePrice(machineType, spot) / tasks,
					zoneCount:    p.zoneCount(kind, roleOf(job)),
					unreachable:  p.unreachableZones[zone],
				}
				if o.isBetter(best) {
					best = o
				}
			}
		}
	}
	return best
}

// mayScaleOut reports whether a machine of the kind may be added for the job now.
func (p *planner) mayScaleOut(job *jobs.Job, kind MachineKind, waiting time.Duration) bool {
	role := roleOf(job)
	if !isEligible(job, kind, role) {
		return false
	}
	if since, known := p.input.LastNoCapacity[kind]; known && p.input.Now.Sub(since) < tuning.NoCapacityPause {
		return false
	}
	spotFirst := role == placement.Batch && job.Record.Spec.Spot && waiting < tuning.BatchOnDemandAfter
	return kind.Spot || !spotFirst
}

// zoneCount returns the number of machines of the role in the kind's zone, used to spread
// machines over zones. For batch work it returns -1 if a planned request for this kind has
// room for more machines, so that one request is filled before another begins.
func (p *planner) zoneCount(kind MachineKind, role placement.Role) int {
	planned := p.scaleOut[ScaleOut{Kind: kind, Role: role}]
	if role == placement.Batch && planned%tuning.ScaleOutMax > 0 {
		return -1
	}
	return p.zoneCounts[zoneRole{kind.Zone, role}]
}

// price returns the price of a machine of the kind.
func (p *planner) price(kind MachineKind) float64 {
	return machinePrice(p.types[kind.MachineType], kind.Spot)
}

func machinePrice(machineType wire.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

const (
	// minShare bounds tasksPerMachine for a job that needs next to nothing.
	minShare = 1e-9
	// shareTolerance keeps a rounding error from lowering tasksPerMachine by one when a
	// whole number of tasks fills the machine exactly.
	shareTolerance = 1e-6
)

// tasksPerMachine returns the number of the job's tasks that fit on an empty machine.
func tasksPerMachine(job *jobs.Job, machineType wire.MachineType) float64 {
	share := max(job.TaskResources.Share(capacity(machineType)), minShare)
	return math.Floor(1/share + shareTolerance)
}
