package autoscale

import (
	"math"
	"sort"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// coverDemands plans room for the tasks without a place, and returns the roles
// of those for which a place was looked for.
func (p *planner) coverDemands() map[placement.Role]bool {
	unmet := map[placement.Role]bool{}
	for _, w := range p.input.Demands {
		p.cover(w.Job, w.Count, !w.NotScheduledYet, w.Waiting, reasonUnplaced)
		if !w.NotScheduledYet {
			unmet[roleOf(w.Job)] = true
		}
	}
	return unmet
}

// cover finds room for a number of like tasks in the bins, and plans to rent
// for the rest; coming: only bins that take no tasks yet, since those that do
// have been tried.
func (p *planner) cover(j *jobs.Job, count int, coming bool, waiting time.Duration, why string) {
	var fit []*bin
	for _, b := range p.bins {
		if !(coming && b.schedulable) && j.Need.Fits(b.free) && eligible(j, b.kind, b.role) {
			fit = append(fit, b)
		}
	}
	sort.SliceStable(fit, func(x, y int) bool { return fit[x].free.GPUs < fit[y].free.GPUs })
	for _, b := range fit {
		for ; count > 0 && j.Need.Fits(b.free); count-- {
			b.free = b.free.Sub(j.Need)
		}
	}
	for count > 0 {
		b := p.scaleOutFor(j, waiting, why)
		if b == nil {
			return
		}
		for ; count > 0 && j.Need.Fits(b.free); count-- {
			b.free = b.free.Sub(j.Need)
		}
	}
}

// scaleOutFor plans one more machine for a task, the best that the cloud offers; nil
// if none is to be had.
func (p *planner) scaleOutFor(j *jobs.Job, waiting time.Duration, why string) *bin {
	best := p.bestOffer(j, waiting)
	if math.IsInf(best.taskPrice, 1) {
		return nil
	}
	role := roleOf(j)
	rental := ScaleOut{Kind: best.kind, Role: role}
	p.scaleOut[rental]++
	if p.reasons[rental] == "" {
		p.reasons[rental] = why
	}
	b := &bin{kind: best.kind, role: role, free: total(p.types[best.kind.MachineType])}
	p.addBin(b)
	return b
}

// sortedScaleOut lists what was planned: for services first, then by zone and
// type.
func (p *planner) sortedScaleOut() []ScaleOut {
	var rentals []ScaleOut
	for rental, count := range p.scaleOut {
		rental.Count, rental.Reason = count, p.reasons[rental]
		rentals = append(rentals, rental)
	}
	sort.Slice(rentals, func(a, b int) bool {
		x, y := rentals[a], rentals[b]
		if x.Role != y.Role {
			return x.Role == placement.Service
		}
		if x.Kind.Zone != y.Kind.Zone {
			return x.Kind.Zone < y.Kind.Zone
		}
		return x.Kind.MachineType < y.Kind.MachineType
	})
	return rentals
}

// unreachableZones finds the zones of which most machines are quiet: what is rented there
// would not be heard either. Guards against replacing what is behind a cut by
// machines behind it, in the zone that seems to have the fewest.
func unreachableZones(units []Machine) map[string]bool {
	quiet := map[string]int{} // less those heard
	for _, u := range units {
		if u.HeartbeatOverdue {
			quiet[u.Kind.Zone]++
		} else if u.Schedulable {
			quiet[u.Kind.Zone]--
		}
	}
	out := map[string]bool{}
	for zone, n := range quiet {
		out[zone] = n > 0
	}
	return out
}

// offer is a kind of machine that could be rented for a task.
type offer struct {
	kind      MachineKind
	taskPrice float64 // for each task that the machine holds
	crowd     int     // machines of the role in the zone
	dark      bool    // in a dark zone
}

// priceTolerance is below any difference of prices that counts.
const priceTolerance = 1e-9

// better orders offers: those outside dark zones, the cheapest for each task,
// the zone with the fewest machines of the role.
func (o offer) better(than offer) bool {
	if o.dark != than.dark {
		return than.dark
	}
	if o.taskPrice < than.taskPrice-priceTolerance {
		return true
	}
	return o.taskPrice < than.taskPrice+priceTolerance && o.crowd < than.crowd
}

// bestOffer finds the machine to rent for a task; its price is infinite if
// there is none.
func (p *planner) bestOffer(j *jobs.Job, waiting time.Duration) offer {
	best := offer{taskPrice: math.Inf(1), dark: true}
	for _, t := range p.input.Types {
		if !j.Need.Fits(total(t)) {
			continue
		}
		tasks := tasksHeld(j, t)
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				kind := MachineKind{t.Label, zone, spot}
				if !p.mayScaleOut(j, kind, waiting) {
					continue
				}
				o := offer{
					kind:      kind,
					taskPrice: priceOf(t, spot) / tasks,
					crowd:     p.zoneCount(kind, roleOf(j)),
					dark:      p.unreachableZones[zone],
				}
				if o.better(best) {
					best = o
				}
			}
		}
	}
	return best
}

// mayScaleOut reports whether a machine of the kind may be rented for the job now.
func (p *planner) mayScaleOut(j *jobs.Job, kind MachineKind, waiting time.Duration) bool {
	role := roleOf(j)
	if !eligible(j, kind, role) {
		return false
	}
	if at, refused := p.input.NoCapacitySince[kind]; refused && p.input.Now.Sub(at) < tuning.NoCapacityPause {
		return false
	}
	spotFirst := role == placement.Batch && j.Record.Spec.Spot && waiting < tuning.OnDemandBatchAfter
	return kind.Spot || !spotFirst
}

// zoneCount is the number of machines of the role in the kind's zone. Batch
// work fills one call before the next, so a call that has begun goes first.
func (p *planner) zoneCount(kind MachineKind, role placement.Role) int {
	planned := p.scaleOut[ScaleOut{Kind: kind, Role: role}]
	if role == placement.Batch && planned%tuning.ScaleOutMax > 0 {
		return -1
	}
	return p.zoneCounts[zoneRole{kind.Zone, role}]
}

// price is what a machine of the kind costs.
func (p *planner) price(k MachineKind) float64 {
	return priceOf(p.types[k.MachineType], k.Spot)
}

func priceOf(t wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// Guards of tasksHeld against a job that needs next to nothing, and against
// the rounding of shares that are whole fractions.
const (
	shareMin       = 1e-9
	shareTolerance = 1e-6
)

// tasksHeld is the number of the job's tasks that an empty machine holds.
func tasksHeld(j *jobs.Job, t wire.MachineType) float64 {
	share := max(j.Need.Share(total(t)), shareMin)
	return math.Floor(1/share + shareTolerance)
}
