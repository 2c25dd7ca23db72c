package fleet

import (
	"math"
	"sort"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/place"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Reasons for giving back a machine that holds nothing any more, or never came
// up: its return proves that its tasks are gone.
const (
	WhySlowBoot = "slow boot"
	WhyGone     = "gone from the cloud's list"
	WhySilent   = "silent for longer than a lease"
	WhyUnfit    = "its tasks fail, or it does not do what it is told"
	WhyIdle     = "idle"
	WhySpare    = "the others have room for its tasks"
)

// Reasons for renting a machine.
const (
	whyUnplaced = "tasks without a place"
	whyHeadroom = "headroom"
)

// Kind is what one rental asks for.
type Kind struct {
	MachineType, Zone string
	Spot              bool
}

// Unit is a machine in the plan.
type Unit struct {
	Name    string
	Kind    Kind
	Role    place.Role
	Open    bool          // takes tasks now
	Booting bool          // not up yet
	Age     time.Duration // since it was rented or first listed
	Idle    time.Duration // without claims
	Movable bool          // its service tasks have room on machines that hold their images
	Claims  int
	Free    jobs.Resources
	Suspect bool
	Silent  bool   // up before, not heard for longer than a lease
	Missing bool   // was listed, is no more
	Quiet   bool   // up before, and due a report
	Group   string // key of its record: machines of one key go back in one change
}

// sound reports whether the machine can be counted on, once it is up.
func (u Unit) sound() bool {
	return !u.Suspect && !u.Silent && !u.Missing
}

// Want is a number of like tasks without a place.
type Want struct {
	Job     *jobs.Job
	Count   int
	Waiting time.Duration
	Untried bool // no place was looked for yet: machines that take tasks may do
}

// Load is what a role holds now, for its headroom.
type Load struct {
	Tasks float64        // tasks held, a mean over time for batch
	Least int            // tasks that the headroom holds at least
	Wait  float64        // tasks that wait for machines to boot
	Need  jobs.Resources // of a typical task
	Spec  *wire.JobSpec  // a typical job
}

// PlanInput is what the capacity plan is made from.
type PlanInput struct {
	Now     time.Time
	Op      config.Operator
	Types   []wire.MachineType
	Units   []Unit
	Wants   []Want
	Service Load
	Batch   Load
	// Plain is the batch work that may not use spot machines; no Spec: none
	// is open, waits for others, or was lately.
	Plain   Load
	Refused map[Kind]time.Time // when the cloud had none

	// SurplusSince says since when the plan could do without a busy machine; the
	// plan keeps it up to date.
	SurplusSince map[string]time.Time
	Moving       int // machines that are being drained of service tasks
	Movers       int // how many may be at once
	Groups       int // groups of records that may be changed to give idle machines back

	// Active says which roles have had work lately; the others need neither
	// floor nor headroom.
	Active map[place.Role]bool
}

// RentPlan is a number of machines to rent for a role.
type RentPlan struct {
	Kind  Kind
	Role  place.Role
	Count int
	Why   string
}

// DrainPlan is a machine to give back once it is empty.
type DrainPlan struct {
	Name string
	Why  string
}

// Dead reports whether the machine holds nothing any more, or never came up.
func (d DrainPlan) Dead() bool {
	return d.Why == WhyGone || d.Why == WhySilent || d.Why == WhySlowBoot
}

// PlanOutput is what to rent and to give back.
type PlanOutput struct {
	Rentals []RentPlan
	Drains  []DrainPlan
}

// bin is the room of a machine, one that there is or a planned one.
type bin struct {
	kind Kind
	role place.Role
	free jobs.Resources
	open bool   // takes tasks now
	name string // "" for a planned one
}

// planner is a plan in the making.
type planner struct {
	in      PlanInput
	types   map[string]wire.MachineType
	bins    []*bin
	crowds  map[crowd]int       // bins by zone and role
	dark    map[string]bool     // zones; see the function
	rentals map[RentPlan]int    // planned, by kind and role
	whys    map[RentPlan]string // why the first of them is rented
}

// crowd is what machines are spread over zones by.
type crowd struct {
	zone string
	role place.Role
}

// Plan decides what to rent and what to give back. It is pure, but for
// SurplusSince.
func Plan(in PlanInput) PlanOutput {
	p := newPlanner(in)
	unmet := p.coverWants()
	p.headroom(place.Service, in.Service, in.Op.ServiceHeadroom)
	p.headroom(place.Batch, in.Batch, in.Op.BatchHeadroom)
	p.headroom(place.Batch, in.Plain, in.Op.BatchHeadroom)
	return PlanOutput{
		Rentals: p.sortedRentals(),
		Drains:  p.drains(unmet),
	}
}

func newPlanner(in PlanInput) *planner {
	p := &planner{
		in:      in,
		types:   map[string]wire.MachineType{},
		crowds:  map[crowd]int{},
		dark:    dark(in.Units),
		rentals: map[RentPlan]int{},
		whys:    map[RentPlan]string{},
	}
	for _, t := range in.Types {
		p.types[t.Label] = t
	}
	for _, u := range in.Units {
		if u.sound() && !p.late(u) && (u.Open || u.Booting) {
			p.add(&bin{u.Kind, u.Role, u.Free, u.Open, u.Name})
		}
	}
	return p
}

// late reports whether the machine is beyond the usual boot time: it may yet
// come, or never. What counts on it waits for the time in which another would
// boot.
func (p *planner) late(u Unit) bool {
	return u.Booting && u.Age > time.Duration(tuning.LateBootFactor*float64(p.boot(u)))
}

// coverWants plans room for the tasks without a place, and returns the roles
// of those for which a place was looked for.
func (p *planner) coverWants() map[place.Role]bool {
	unmet := map[place.Role]bool{}
	for _, w := range p.in.Wants {
		p.cover(w.Job, w.Count, !w.Untried, w.Waiting, whyUnplaced)
		if !w.Untried {
			unmet[roleOf(w.Job)] = true
		}
	}
	return unmet
}

// sortedRentals lists what was planned: for services first, then by zone and
// type.
func (p *planner) sortedRentals() []RentPlan {
	var rentals []RentPlan
	for rental, count := range p.rentals {
		rental.Count, rental.Why = count, p.whys[rental]
		rentals = append(rentals, rental)
	}
	sort.Slice(rentals, func(a, b int) bool {
		x, y := rentals[a], rentals[b]
		if x.Role != y.Role {
			return x.Role == place.Service
		}
		if x.Kind.Zone != y.Kind.Zone {
			return x.Kind.Zone < y.Kind.Zone
		}
		return x.Kind.MachineType < y.Kind.MachineType
	})
	return rentals
}

// dark finds the zones of which most machines are quiet: what is rented there
// would not be heard either. Guards against replacing what is behind a cut by
// machines behind it, in the zone that seems to have the fewest.
func dark(units []Unit) map[string]bool {
	quiet := map[string]int{} // less those heard
	for _, u := range units {
		if u.Quiet {
			quiet[u.Kind.Zone]++
		} else if u.Open {
			quiet[u.Kind.Zone]--
		}
	}
	out := map[string]bool{}
	for zone, n := range quiet {
		out[zone] = n > 0
	}
	return out
}

// boot is the usual boot time of the machine's type.
func (p *planner) boot(u Unit) time.Duration {
	return config.Seconds(p.types[u.Kind.MachineType].StartupS)
}

// total is the room of an empty machine of the type.
func total(t wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
}

// price is what a machine of the kind costs.
func (p *planner) price(k Kind) float64 {
	return priceOf(p.types[k.MachineType], k.Spot)
}

func priceOf(t wire.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// suits reports whether the job may use machines of the kind in the role.
func suits(j *jobs.Job, k Kind, role place.Role) bool {
	return place.Suits(j, &place.Machine{Type: k.MachineType, Zone: k.Zone, Spot: k.Spot, Role: role})
}

// roleOf is the role of the machines that run the job's tasks.
func roleOf(j *jobs.Job) place.Role {
	if j.Service() {
		return place.Service
	}
	return place.Batch
}

func (p *planner) add(b *bin) {
	p.bins = append(p.bins, b)
	p.crowds[crowd{b.kind.Zone, b.role}]++
}

// cover finds room for a number of like tasks in the bins, and plans to rent
// for the rest; coming: only bins that take no tasks yet, since those that do
// have been tried.
func (p *planner) cover(j *jobs.Job, count int, coming bool, waiting time.Duration, why string) {
	var fit []*bin
	for _, b := range p.bins {
		if !(coming && b.open) && j.Need.Fits(b.free) && suits(j, b.kind, b.role) {
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
		b := p.rent(j, waiting, why)
		if b == nil {
			return
		}
		for ; count > 0 && j.Need.Fits(b.free); count-- {
			b.free = b.free.Sub(j.Need)
		}
	}
}

// rent plans one more machine for a task, the best that the cloud offers; nil
// if none is to be had.
func (p *planner) rent(j *jobs.Job, waiting time.Duration, why string) *bin {
	best := p.bestOffer(j, waiting)
	if math.IsInf(best.taskPrice, 1) {
		return nil
	}
	role := roleOf(j)
	rental := RentPlan{Kind: best.kind, Role: role}
	p.rentals[rental]++
	if p.whys[rental] == "" {
		p.whys[rental] = why
	}
	b := &bin{kind: best.kind, role: role, free: total(p.types[best.kind.MachineType])}
	p.add(b)
	return b
}

// offer is a kind of machine that could be rented for a task.
type offer struct {
	kind      Kind
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
	for _, t := range p.in.Types {
		if !j.Need.Fits(total(t)) {
			continue
		}
		tasks := tasksHeld(j, t)
		for _, zone := range t.Zones {
			for _, spot := range []bool{false, true} {
				kind := Kind{t.Label, zone, spot}
				if !p.mayRent(j, kind, waiting) {
					continue
				}
				o := offer{
					kind:      kind,
					taskPrice: priceOf(t, spot) / tasks,
					crowd:     p.crowdFor(kind, roleOf(j)),
					dark:      p.dark[zone],
				}
				if o.better(best) {
					best = o
				}
			}
		}
	}
	return best
}

// mayRent reports whether a machine of the kind may be rented for the job now.
func (p *planner) mayRent(j *jobs.Job, kind Kind, waiting time.Duration) bool {
	role := roleOf(j)
	if !suits(j, kind, role) {
		return false
	}
	if at, refused := p.in.Refused[kind]; refused && p.in.Now.Sub(at) < tuning.RefusedPause {
		return false
	}
	spotFirst := role == place.Batch && j.Record.Spec.Spot && waiting < tuning.OrdinaryBatchAfter
	return kind.Spot || !spotFirst
}

// crowdFor is the number of machines of the role in the kind's zone. Batch
// work fills one call before the next, so a call that has begun goes first.
func (p *planner) crowdFor(kind Kind, role place.Role) int {
	planned := p.rentals[RentPlan{Kind: kind, Role: role}]
	if role == place.Batch && planned%tuning.RentMax > 0 {
		return -1
	}
	return p.crowds[crowd{kind.Zone, role}]
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

// spare is the number of typical tasks that a role's headroom holds.
func spare(l Load, share float64) int {
	if l.Spec == nil || share <= 0 {
		return 0
	}
	return max(int(math.Ceil(l.Tasks*share)), l.Least)
}

// typical makes a job that stands for a load.
func typical(l Load) *jobs.Job {
	w := *l.Spec
	w.Zone = nil
	return &jobs.Job{Record: jobs.Record{Phase: jobs.Open, Spec: &w}, Need: l.Need}
}

// headroom plans room for tasks that are yet to come, and for some of the
// machines that are booting to come late.
func (p *planner) headroom(role place.Role, l Load, share float64) {
	if !p.in.Active[role] {
		return
	}
	tasks := spare(l, share)
	if l.Spec != nil && l.Wait > 0 {
		tasks += p.hedge(typical(l), l.Wait)
	}
	if tasks > 0 {
		p.cover(typical(l), tasks, false, 0, whyHeadroom)
	}
}

// hedge is the room to rent beside that for waiting tasks, since some of the
// machines take much longer to boot than usual: their expected number and a
// little over a deviation, which is most of a machine for one, and a sixth of
// the machines for a hundred.
func (p *planner) hedge(j *jobs.Job, waiting float64) int {
	each := 0.0 // tasks a machine, of the type that holds the fewest
	for _, t := range p.in.Types {
		if !jobs.Allowed(j.Record.Spec, t.Label) || !j.Need.Fits(total(t)) {
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
		return &rooms{need: spare(l, share), of: map[string]int{}}
	}
	r := &rooms{
		job:  typical(l),
		need: spare(l, share),
		of:   make(map[string]int, len(p.in.Units)),
	}
	for _, v := range p.in.Units {
		if !(v.Open || v.Booting) || !v.sound() || !suits(r.job, v.Kind, v.Role) {
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
func (r *rooms) spares(u Unit) bool {
	need := r.need
	if u.Role == place.Service {
		need += u.Claims
	}
	if need == 0 {
		return true
	}
	return r.job != nil && r.all-r.of[u.Name] >= need
}

// leave takes a machine that is given back out of the room.
func (r *rooms) leave(u Unit) {
	r.all -= r.of[u.Name]
	if u.Role == place.Service {
		r.need += u.Claims
	}
	r.of[u.Name] = 0
}
