package autoscale

import (
	"math"
	"sort"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Reasons for giving back a machine that holds nothing any more, or never came
// up: its return proves that its tasks are gone.
const (
	ReasonSlowBoot    = "slow boot"
	ReasonNotListed   = "gone from the cloud's list"
	ReasonSilent      = "silent for longer than a lease"
	ReasonQuarantined = "its tasks fail, or it does not do what it is told"
	ReasonIdle        = "idle"
	ReasonSurplus     = "the others have room for its tasks"
)

// Reasons for renting a machine.
const (
	reasonUnplaced = "tasks without a place"
	reasonHeadroom = "headroom"
)

// MachineKind is what one rental asks for.
type MachineKind struct {
	MachineType, Zone string
	Spot              bool
}

// Machine is a machine in the plan.
type Machine struct {
	Name             string
	Kind             MachineKind
	Role             placement.Role
	Schedulable      bool          // takes tasks now
	Booting          bool          // not up yet
	Age              time.Duration // since it was rented or first listed
	Idle             time.Duration // without claims
	Movable          bool          // its service tasks have room on machines that hold their images
	Claims           int
	Free             jobs.Resources
	Quarantined      bool
	Silent           bool   // up before, not heard for longer than a lease
	Missing          bool   // was listed, is no more
	HeartbeatOverdue bool   // up before, and due a report
	Group            string // key of its record: machines of one key go back in one change
}

// healthy reports whether the machine can be counted on, once it is up.
func (u Machine) healthy() bool {
	return !u.Quarantined && !u.Silent && !u.Missing
}

// Demand is a number of like tasks without a place.
type Demand struct {
	Job             *jobs.Job
	Count           int
	Waiting         time.Duration
	NotScheduledYet bool // no place was looked for yet: machines that take tasks may do
}

// Load is what a role holds now, for its headroom.
type Load struct {
	Tasks        float64        // tasks held, a mean over time for batch
	MinTasks     int            // tasks that the headroom holds at least
	AwaitingBoot float64        // tasks that wait for machines to boot
	Need         jobs.Resources // of a typical task
	Spec         *wire.JobSpec  // a typical job
}

// Input is what the capacity plan is made from.
type Input struct {
	Now      time.Time
	Operator config.Operator
	Types    []wire.MachineType
	Machines []Machine
	Demands  []Demand
	Service  Load
	Batch    Load
	// OnDemand is the batch work that may not use spot machines; no Spec: none
	// is open, waits for others, or was lately.
	OnDemand        Load
	NoCapacitySince map[MachineKind]time.Time // when the cloud had none

	// SurplusSince says since when the plan could do without a busy machine; the
	// plan keeps it up to date.
	SurplusSince map[string]time.Time
	Draining     int // machines that are being drained of service tasks
	MaxDraining  int // how many may be at once
	MaxGroups    int // groups of records that may be changed to give idle machines back

	// ActiveRoles says which roles have had work lately; the others need neither
	// floor nor headroom.
	ActiveRoles map[placement.Role]bool
}

// ScaleOut is a number of machines to rent for a role.
type ScaleOut struct {
	Kind   MachineKind
	Role   placement.Role
	Count  int
	Reason string
}

// ScaleIn is a machine to give back once it is empty.
type ScaleIn struct {
	Machine string
	Reason  string
}

// Terminated reports whether the machine holds nothing any more, or never came up.
func (d ScaleIn) Terminated() bool {
	return d.Reason == ReasonNotListed || d.Reason == ReasonSilent || d.Reason == ReasonSlowBoot
}

// Output is what to rent and to give back.
type Output struct {
	ScaleOut []ScaleOut
	ScaleIn  []ScaleIn
}

// bin is the room of a machine, one that there is or a planned one.
type bin struct {
	kind        MachineKind
	role        placement.Role
	free        jobs.Resources
	schedulable bool   // takes tasks now
	name        string // "" for a planned one
}

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

// zoneRole is what machines are spread over zones by.
type zoneRole struct {
	zone string
	role placement.Role
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

// bootOverdue reports whether the machine is beyond the usual boot time: it may yet
// come, or never. What counts on it waits for the time in which another would
// boot.
func (p *planner) bootOverdue(u Machine) bool {
	return u.Booting && u.Age > time.Duration(tuning.LateBootFactor*float64(p.bootTime(u)))
}

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

// bootTime is the usual boot time of the machine's type.
func (p *planner) bootTime(u Machine) time.Duration {
	return config.Seconds(p.types[u.Kind.MachineType].StartupS)
}

// total is the room of an empty machine of the type.
func total(t wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
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

// eligible reports whether the job may use machines of the kind in the role.
func eligible(j *jobs.Job, k MachineKind, role placement.Role) bool {
	return placement.Eligible(j, &placement.Machine{Type: k.MachineType, Zone: k.Zone, Spot: k.Spot, Role: role})
}

// roleOf is the role of the machines that run the job's tasks.
func roleOf(j *jobs.Job) placement.Role {
	if j.Service() {
		return placement.Service
	}
	return placement.Batch
}

func (p *planner) addBin(b *bin) {
	p.bins = append(p.bins, b)
	p.zoneCounts[zoneRole{b.kind.Zone, b.role}]++
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

// headroomTasks is the number of typical tasks that a role's headroom holds.
func headroomTasks(l Load, share float64) int {
	if l.Spec == nil || share <= 0 {
		return 0
	}
	return max(int(math.Ceil(l.Tasks*share)), l.MinTasks)
}

// typical makes a job that stands for a load.
func typical(l Load) *jobs.Job {
	w := *l.Spec
	w.Zone = nil
	return &jobs.Job{Record: jobs.Record{Phase: jobs.Open, Spec: &w}, Need: l.Need}
}

// headroom plans room for tasks that are yet to come, and for some of the
// machines that are booting to come late.
func (p *planner) headroom(role placement.Role, l Load, share float64) {
	if !p.input.ActiveRoles[role] {
		return
	}
	tasks := headroomTasks(l, share)
	if l.Spec != nil && l.AwaitingBoot > 0 {
		tasks += p.lateBootHedge(typical(l), l.AwaitingBoot)
	}
	if tasks > 0 {
		p.cover(typical(l), tasks, false, 0, reasonHeadroom)
	}
}

// lateBootHedge is the room to rent beside that for waiting tasks, since some of the
// machines take much longer to boot than usual: their expected number and a
// little over a deviation, which is most of a machine for one, and a sixth of
// the machines for a hundred.
func (p *planner) lateBootHedge(j *jobs.Job, waiting float64) int {
	each := 0.0 // tasks a machine, of the type that holds the fewest
	for _, t := range p.input.Types {
		if !jobs.AllowsMachineType(j.Record.Spec, t.Label) || !j.Need.Fits(total(t)) {
			continue
		}
		if n := tasksHeld(j, t); each == 0 || n < each {
			each = n
		}
	}
	if each == 0 {
		return 0
	}
	late := tuning.LateBootShare * waiting / each
	return int(math.Ceil(each * (late + tuning.LateBootSpread*math.Sqrt(late))))
}

// rooms is the room of a role's machines in typical tasks, against what its
// headroom must hold.
type rooms struct {
	job  *jobs.Job // nil: nothing typical is known
	need int
	all  int
	of   map[string]int
}

func (p *planner) rooms(l Load, share float64) *rooms {
	if l.Spec == nil {
		return &rooms{need: headroomTasks(l, share), of: map[string]int{}}
	}
	r := &rooms{
		job:  typical(l),
		need: headroomTasks(l, share),
		of:   make(map[string]int, len(p.input.Machines)),
	}
	for _, v := range p.input.Machines {
		if !(v.Schedulable || v.Booting) || !v.healthy() || !eligible(r.job, v.Kind, v.Role) {
			continue
		}
		n := 0
		for f := v.Free; r.job.Need.Fits(f) && n < roomsMost; f = f.Sub(r.job.Need) {
			n++
		}
		r.of[v.Name] = n
		r.all += n
	}
	return r
}

// roomsMost bounds the count of tiny tasks on one machine.
const roomsMost = 1000

// spares reports whether the role's headroom stands without the machine, with
// the service tasks that would have to move. Batch tasks end where they are.
func (r *rooms) spares(u Machine) bool {
	need := r.need
	if u.Role == placement.Service {
		need += u.Claims
	}
	if need == 0 {
		return true
	}
	return r.job != nil && r.all-r.of[u.Name] >= need
}

// leave takes a machine that is given back out of the room.
func (r *rooms) leave(u Machine) {
	r.all -= r.of[u.Name]
	if u.Role == placement.Service {
		r.need += u.Claims
	}
	r.of[u.Name] = 0
}
