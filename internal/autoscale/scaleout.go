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

// coverDemands plans room for the tasks without a place, and returns the roles
// of those that a pass has tried to place.
func (p *planner) coverDemands() map[placement.Role]bool {
	unplaced := map[placement.Role]bool{}
	for _, demand := range p.input.Demands {
		p.cover(demand.Job, demand.Count, !demand.NotScheduledYet, demand.Waiting, reasonUnplaced)
		if !demand.NotScheduledYet {
			unplaced[roleOf(demand.Job)] = true
		}
	}
	return unplaced
}

// cover finds room for a number of like tasks in the bins, those with the fewest
// free GPUs first, and plans machines for the rest. With skipSchedulable, bins
// that take tasks now are left out: a pass has tried them.
func (p *planner) cover(job *jobs.Job, count int, skipSchedulable bool, waiting time.Duration, reason string) {
	var fitting []*bin
	for _, b := range p.bins {
		if !(skipSchedulable && b.schedulable) && job.Need.Fits(b.free) && isEligible(job, b.kind, b.role) {
			fitting = append(fitting, b)
		}
	}
	slices.SortStableFunc(fitting, func(a, b *bin) int { return cmp.Compare(a.free.GPUs, b.free.GPUs) })
	for _, b := range fitting {
		count = b.fill(job.Need, count)
	}
	for count > 0 {
		b := p.scaleOutFor(job, waiting, reason)
		if b == nil {
			return
		}
		count = b.fill(job.Need, count)
	}
}

// scaleOutFor plans one more machine for a task, the best that the cloud offers; nil
// if none is to be had.
func (p *planner) scaleOutFor(job *jobs.Job, waiting time.Duration, reason string) *bin {
	best := p.bestOffer(job, waiting)
	if math.IsInf(best.taskPrice, 1) {
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

// sortedScaleOut lists what was planned: for services first, then by zone and
// type. The order of a spot and an on-demand entry that are alike in all of these
// is not determined.
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

// unreachableZones finds the zones of which most machines are late with their
// heartbeats: machines added there would not be reached either. Guards against
// replacing machines behind a network partition by others behind it, in the zone
// that seems to have the fewest.
func unreachableZones(machines []Machine) map[string]bool {
	overdue := map[string]int{} // less those that are schedulable
	for _, m := range machines {
		if m.HeartbeatOverdue {
			overdue[m.Kind.Zone]++
		} else if m.Schedulable {
			overdue[m.Kind.Zone]--
		}
	}
	unreachable := map[string]bool{}
	for zone, balance := range overdue {
		unreachable[zone] = balance > 0
	}
	return unreachable
}

// offer is a kind of machine that could be added for a task.
type offer struct {
	kind        MachineKind
	taskPrice   float64 // for each task that the machine holds
	zoneCount   int     // machines of the role in the zone
	unreachable bool    // the zone is
}

// priceTolerance is below any difference of prices that counts.
const priceTolerance = 1e-9

// isBetter orders offers: those outside unreachable zones, the cheapest for each
// task, the zone with the fewest machines of the role.
func (o offer) isBetter(than offer) bool {
	if o.unreachable != than.unreachable {
		return than.unreachable
	}
	if o.taskPrice < than.taskPrice-priceTolerance {
		return true
	}
	return o.taskPrice < than.taskPrice+priceTolerance && o.zoneCount < than.zoneCount
}

// bestOffer finds the machine to add for a task; its price is infinite if there
// is none. Of equal offers the first stands, in the order of the cloud's types
// and zones, on-demand before spot.
func (p *planner) bestOffer(job *jobs.Job, waiting time.Duration) offer {
	best := offer{taskPrice: math.Inf(1), unreachable: true}
	for _, machineType := range p.input.Types {
		if !job.Need.Fits(capacity(machineType)) {
			continue
		}
		tasks := tasksHeld(job, machineType)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				kind := MachineKind{machineType.Label, zone, spot}
				if !p.mayScaleOut(job, kind, waiting) {
					continue
				}
				o := offer{
					kind:        kind,
					taskPrice:   priceOf(machineType, spot) / tasks,
					zoneCount:   p.zoneCount(kind, roleOf(job)),
					unreachable: p.unreachableZones[zone],
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

// zoneCount is the number of machines of the role in the kind's zone, by which
// they are spread. For batch work a request to the cloud that is not full yet
// counts as less than any: it is filled before another begins.
func (p *planner) zoneCount(kind MachineKind, role placement.Role) int {
	planned := p.scaleOut[ScaleOut{Kind: kind, Role: role}]
	if role == placement.Batch && planned%tuning.ScaleOutMax > 0 {
		return -1
	}
	return p.zoneCounts[zoneRole{kind.Zone, role}]
}

// price is what a machine of the kind costs.
func (p *planner) price(kind MachineKind) float64 {
	return priceOf(p.types[kind.MachineType], kind.Spot)
}

func priceOf(machineType wire.MachineType, spot bool) float64 {
	if spot {
		return machineType.SpotPrice
	}
	return machineType.Price
}

// Bounds of tasksHeld against a job that needs next to nothing, and against
// the rounding of shares that are whole fractions.
const (
	shareMin       = 1e-9
	shareTolerance = 1e-6
)

// tasksHeld is the number of the job's tasks that an empty machine holds.
func tasksHeld(job *jobs.Job, machineType wire.MachineType) float64 {
	share := max(job.Need.Share(capacity(machineType)), shareMin)
	return math.Floor(1/share + shareTolerance)
}
