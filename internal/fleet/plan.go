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

type bin struct {
	kind Kind
	role place.Role
	free jobs.Resources
	open bool
	name string
}

type planner struct {
	in      PlanInput
	types   map[string]wire.MachineType
	bins    []*bin
	crowds  map[crowd]int // bins by zone and role
	dark    map[string]bool
	rentals map[RentPlan]int
	whys    map[RentPlan]string // why the first of them is rented
}

type crowd struct {
	zone string
	role place.Role
}

// Plan decides what to rent and what to give back. It is pure.
func Plan(in PlanInput) PlanOutput {
	p := &planner{in: in, types: map[string]wire.MachineType{}, crowds: map[crowd]int{}, rentals: map[RentPlan]int{}, whys: map[RentPlan]string{}}
	for _, t := range in.Types {
		p.types[t.Label] = t
	}
	for _, u := range in.Units {
		// A machine beyond the usual boot time may yet come, or never: what
		// counts on it waits for the time in which another would boot.
		late := u.Booting && u.Age > time.Duration(tuning.LateBootFactor*float64(p.boot(u)))
		if u.sound() && !late && (u.Open || u.Booting) {
			p.add(&bin{u.Kind, u.Role, u.Free, u.Open, u.Name})
		}
	}
	p.dark = dark(in.Units)
	unmet := map[place.Role]bool{}
	for _, w := range in.Wants {
		p.cover(w.Job, w.Count, !w.Untried, w.Waiting, "tasks without a place")
		if w.Untried {
			continue
		}
		if w.Job.Service() {
			unmet[place.Service] = true
		} else {
			unmet[place.Batch] = true
		}
	}
	p.headroom(place.Service, in.Service, in.Op.ServiceHeadroom)
	p.headroom(place.Batch, in.Batch, in.Op.BatchHeadroom)
	p.headroom(place.Batch, in.Plain, in.Op.BatchHeadroom)

	var out PlanOutput
	for h, n := range p.rentals {
		h.Count, h.Why = n, p.whys[h]
		out.Rentals = append(out.Rentals, h)
	}
	sort.Slice(out.Rentals, func(a, b int) bool {
		x, y := out.Rentals[a], out.Rentals[b]
		if x.Role != y.Role {
			return x.Role == place.Service
		}
		if x.Kind.Zone != y.Kind.Zone {
			return x.Kind.Zone < y.Kind.Zone
		}
		return x.Kind.MachineType < y.Kind.MachineType
	})
	out.Drains = p.drains(unmet)
	return out
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

func (p *planner) boot(u Unit) time.Duration {
	return config.Seconds(p.types[u.Kind.MachineType].StartupS)
}

func total(t wire.MachineType) jobs.Resources {
	return jobs.Resources{CPUs: t.CPUs, GPUs: t.GPUs, RAM: t.RAMGB}
}

// suits reports whether the job may use machines of the kind in the role.
func suits(j *jobs.Job, k Kind, role place.Role) bool {
	return place.Suits(j, &place.Machine{Type: k.MachineType, Zone: k.Zone, Spot: k.Spot, Role: role})
}

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

// rent plans one more machine for a task: the cheapest for each task it holds,
// in the zone with the fewest machines of the role, and in a dark zone only if
// there is none elsewhere; nil if none is to be had.
func (p *planner) rent(j *jobs.Job, waiting time.Duration, why string) *bin {
	role := roleOf(j)
	var best Kind
	cost, least, far := math.Inf(1), 0, true
	for _, t := range p.in.Types {
		tot := total(t)
		if !j.Need.Fits(tot) {
			continue
		}
		fit := 1 / max(j.Need.Share(tot), 1e-9)
		for _, z := range t.Zones {
			for _, spot := range []bool{false, true} {
				k := Kind{t.Label, z, spot}
				if !suits(j, k, role) {
					continue
				}
				if at, no := p.in.Refused[k]; no && p.in.Now.Sub(at) < tuning.RefusedPause {
					continue
				}
				if !spot && role == place.Batch && j.Record.Spec.Spot && waiting < tuning.OrdinaryBatchAfter {
					continue
				}
				price := t.Price
				if spot {
					price = t.SpotPrice
				}
				c, n := price/math.Floor(fit+1e-6), p.crowds[crowd{z, role}]
				if k := p.rentals[RentPlan{Kind: k, Role: role}]; role == place.Batch && k%tuning.RentMax > 0 {
					n = -1 // batch work fills one call before the next
				}
				if d := p.dark[z]; d != far {
					if far {
						best, cost, least, far = k, c, n, false
					}
				} else if c < cost-1e-9 || c < cost+1e-9 && n < least {
					best, cost, least = k, c, n
				}
			}
		}
	}
	if math.IsInf(cost, 1) {
		return nil
	}
	h := RentPlan{Kind: best, Role: role}
	if p.rentals[h]++; p.whys[h] == "" {
		p.whys[h] = why
	}
	b := &bin{kind: best, role: role, free: total(p.types[best.MachineType])}
	p.add(b)
	return b
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

func (p *planner) headroom(role place.Role, l Load, share float64) {
	if !p.in.Active[role] {
		return
	}
	n := spare(l, share)
	if l.Spec != nil && l.Wait > 0 {
		n += p.hedge(typical(l), l.Wait)
	}
	if n > 0 {
		p.cover(typical(l), n, false, 0, "headroom")
	}
}

// hedge is the room to rent beside that for waiting tasks, since some of the
// machines take much longer to boot than usual: their expected number and a
// little over a deviation, which is most of a machine for one, and a sixth of
// the machines for a hundred.
func (p *planner) hedge(j *jobs.Job, waiting float64) int {
	each := 0.0 // tasks a machine, of the type that holds the fewest
	for _, t := range p.in.Types {
		if jobs.Allowed(j.Record.Spec, t.Label) && j.Need.Fits(total(t)) {
			if n := math.Floor(1/max(j.Need.Share(total(t)), 1e-9) + 1e-6); each == 0 || n < each {
				each = n
			}
		}
	}
	if each == 0 {
		return 0
	}
	late := tuning.LateBootShare * waiting / each
	return int(math.Ceil(each * (late + tuning.LateBootSpread*math.Sqrt(late))))
}

// drains chooses machines to give back: those that are of no use, and idle
// ones whose loss leaves the headroom and the role floors.
func (p *planner) drains(unmet map[place.Role]bool) []DrainPlan {
	useless, spare := p.drainCandidates()
	p.sortSpare(spare)
	choice := p.newDrainChoice(unmet)
	for _, u := range spare {
		choice.consider(u)
	}
	p.forgetSurplus(choice.surplus)
	out := append(useless, choice.busy...)
	return append(out, choice.idleDrains()...)
}

// drainCandidates lists the machines that are of no use, with the reason, and
// those that might be spared.
func (p *planner) drainCandidates() (useless []DrainPlan, spare []Unit) {
	for _, u := range p.in.Units {
		if why := p.uselessWhy(u); why != "" {
			useless = append(useless, DrainPlan{u.Name, why})
		} else if u.Open && p.mayBeSpared(u) {
			spare = append(spare, u)
		}
	}
	return useless, spare
}

// uselessWhy is the reason for giving back a machine whatever the demand is,
// "" if there is none.
func (p *planner) uselessWhy(u Unit) string {
	slowBoot := max(time.Duration(tuning.SlowBootFactor*float64(p.boot(u))), tuning.SlowBootMin)
	switch {
	case u.Booting && u.Age > slowBoot:
		return WhySlowBoot
	case u.Missing:
		return WhyGone
	case u.Silent:
		return WhySilent
	case u.Suspect:
		return WhyUnfit
	}
	return ""
}

// mayBeSpared reports whether an open machine is idle, or could be emptied:
// an ordinary one of batch work, whose tasks end by themselves, or one whose
// service tasks can move.
func (p *planner) mayBeSpared(u Unit) bool {
	if u.Claims == 0 {
		return true
	}
	if u.Role == place.Batch {
		return !u.Kind.Spot
	}
	return u.Role == place.Service && u.Movable && p.in.Moving < max(p.in.Movers, 1)
}

// sortSpare puts idle machines first, then the emptiest of the dearest.
func (p *planner) sortSpare(spare []Unit) {
	sort.Slice(spare, func(a, b int) bool {
		x, y := spare[a], spare[b]
		if (x.Claims == 0) != (y.Claims == 0) {
			return x.Claims == 0
		}
		if p.price(x.Kind) != p.price(y.Kind) {
			return p.price(x.Kind) > p.price(y.Kind)
		}
		if x.Claims != y.Claims {
			return x.Claims < y.Claims
		}
		return x.Name < y.Name
	})
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

// forgetSurplus ends the surplus of the machines that are not in it any more.
func (p *planner) forgetSurplus(surplus map[string]bool) {
	for name := range p.in.SurplusSince {
		if !surplus[name] {
			delete(p.in.SurplusSince, name)
		}
	}
}

// roleOfType is what a role's floor is kept of: machines of one type.
type roleOfType struct {
	machineType string
	role        place.Role
}

func (u Unit) roleOfType() roleOfType {
	return roleOfType{u.Kind.MachineType, u.Role}
}

// drainChoice is the choice among the machines that might be spared, given
// those that were chosen before.
type drainChoice struct {
	planner *planner
	unmet   map[place.Role]bool   // roles with tasks without a place
	holds   map[roleOfType]int    // machines that keep a role's floor
	rooms   map[place.Role]*rooms // room for the headroom of each role
	plain   *rooms                // room for batch work that may not use spot machines
	surplus map[string]bool       // machines that the plan could do without
	emptied map[place.Role]bool   // roles of which a busy machine was chosen
	busy    []DrainPlan           // chosen, to be emptied
	idle    map[string][]Unit     // chosen, empty, by group
}

func (p *planner) newDrainChoice(unmet map[place.Role]bool) *drainChoice {
	c := &drainChoice{
		planner: p,
		unmet:   unmet,
		holds:   map[roleOfType]int{},
		rooms: map[place.Role]*rooms{
			place.Batch:   p.rooms(p.in.Batch, p.in.Op.BatchHeadroom),
			place.Service: p.rooms(p.in.Service, p.in.Op.ServiceHeadroom),
		},
		plain:   p.rooms(p.in.Plain, p.in.Op.BatchHeadroom),
		surplus: map[string]bool{},
		emptied: map[place.Role]bool{},
		idle:    map[string][]Unit{},
	}
	for _, u := range p.in.Units {
		if u.Open && u.sound() {
			c.holds[u.roleOfType()]++
		}
	}
	return c
}

// consider chooses the machine if it can be spared now, and notes it as
// surplus if it could be.
func (c *drainChoice) consider(u Unit) {
	if c.needed(u) {
		return
	}
	c.surplus[u.Name] = true
	if !c.rested(u) || c.unmet[u.Role] || len(c.planner.rentals) > 0 {
		return
	}
	if u.Claims > 0 && c.emptied[u.Role] {
		return // one that has to be emptied of each role a plan
	}
	c.choose(u)
}

// needed reports whether the role floors or the headroom need the machine.
func (c *drainChoice) needed(u Unit) bool {
	// Guards against short work that may not use spot machines waiting for a
	// boot each time, since spot machines hold the role's floor.
	if u.Role == place.Batch && !u.Kind.Spot && !c.plain.spares(u) {
		return true
	}
	active := c.planner.in.Active[u.Role]
	if active && c.holds[u.roleOfType()] <= tuning.RoleFloor {
		return true
	}
	// What is not rented for headroom is not kept for it. Guards against idle
	// ordinary machines, several times as dear, that stand in for the spot
	// machines of which the cloud has no more.
	if c.standsInForSpot(u) {
		return false
	}
	return (active || u.Claims > 0) && !c.rooms[u.Role].spares(u)
}

// standsInForSpot reports whether the machine is an idle ordinary one, though
// the typical batch work may use spot machines.
func (c *drainChoice) standsInForSpot(u Unit) bool {
	typical := c.planner.in.Batch.Spec
	return u.Claims == 0 && u.Role == place.Batch && !u.Kind.Spot && typical != nil && typical.Spot
}

// rested reports whether the machine has been idle for long enough to go. A
// busy machine must be surplus for as long as an idle one must be idle.
func (c *drainChoice) rested(u Unit) bool {
	in := &c.planner.in
	since, known := in.SurplusSince[u.Name]
	if !known {
		since = in.Now
		in.SurplusSince[u.Name] = since
	}
	limit := in.Op.IdleOrdinary
	if u.Kind.Spot {
		limit = in.Op.IdleSpot
	}
	rest := u.Idle
	if u.Claims > 0 {
		rest = in.Now.Sub(since)
	}
	return rest >= limit
}

// choose gives the machine back, and takes it out of what is left.
func (c *drainChoice) choose(u Unit) {
	c.holds[u.roleOfType()]--
	c.rooms[u.Role].leave(u)
	c.plain.leave(u)
	if u.Claims > 0 {
		c.emptied[u.Role] = true
		c.busy = append(c.busy, DrainPlan{u.Name, WhySpare})
		return
	}
	c.idle[u.Group] = append(c.idle[u.Group], u)
}

// idleDrains gives back the idle machines that were chosen. The groups with
// the most of them go first, a few a plan: each group costs a change, however
// many of its machines go.
func (c *drainChoice) idleDrains() []DrainPlan {
	groups := make([]string, 0, len(c.idle))
	for group := range c.idle {
		groups = append(groups, group)
	}
	sort.Slice(groups, func(a, b int) bool {
		if x, y := len(c.idle[groups[a]]), len(c.idle[groups[b]]); x != y {
			return x > y
		}
		return groups[a] < groups[b]
	})
	most := max(c.planner.in.Groups, tuning.DrainGroups)
	var out []DrainPlan
	for _, group := range groups[:min(len(groups), most)] {
		for _, u := range c.idle[group] {
			out = append(out, DrainPlan{u.Name, WhyIdle})
		}
	}
	return out
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
	r := &rooms{need: spare(l, share), of: map[string]int{}}
	if l.Spec == nil {
		return r
	}
	r.job = typical(l)
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
