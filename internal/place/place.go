// Package place decides which pending task goes to which machine. Every node
// runs the same pass over the same stored state and carries out its own part:
// a job belongs to the first node, in the job's hashed order, whose machines
// hold all its pending tasks; jobs too large for one node belong to the
// leader. Guards in the store settle what differing views leave. The package
// is pure.
package place

import (
	"math"
	"sort"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Role of a machine.
type Role string

// Roles.
const (
	Batch   Role = "batch"
	Service Role = "service"
)

// Resident is a claimed task on a machine.
type Resident struct {
	ID       jobs.TaskID
	Job      *jobs.Job
	Stopping bool

	evicted bool // Stopping was set by the pass
}

// Machine is a machine as the pass sees it.
type Machine struct {
	Name, Type, Zone, Owner string
	Spot                    bool
	Role                    Role
	Open                    bool // takes new tasks
	Session                 uint64
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  []string       // held
	FetchGBPerS             float64        // 0: not known
	Tasks                   []Resident

	pulls   []pull // images that its tasks wait for
	placed  int    // tasks placed on it in this pass
	evicts  bool   // the pass stops some of its tasks
	changed bool   // the pass has changed it
	entered entered
	pool    *pool
}

// entered is what a machine was like before a pass began to place on it.
type entered struct {
	free, freeing jobs.Resources
	pulls         int
	worst         int // the lowest rank, as a number, of the tasks that could be stopped; -1: none
}

// slots is how many more tasks the machine's reports can name.
func (m *Machine) slots() int { return tuning.TasksPerMachine - len(m.Tasks) - m.placed }

// pull is an image that a machine is to fetch.
type pull struct {
	image string
	gb    float64
}

// Holds reports whether the machine holds an image.
func (m *Machine) Holds(image string) bool {
	for _, im := range m.Images {
		if im == image {
			return true
		}
	}
	return false
}

// Enter takes the machine's room, tasks and images, as its fields hold them, for
// what the next passes begin with.
func (m *Machine) Enter() {
	m.pulls, m.placed, m.evicts = m.pulls[:0], 0, false
	worst := -1
	for i := range m.Tasks {
		r := &m.Tasks[i]
		r.evicted = false
		m.pulling(r.Job.Record.Spec)
		if r.Job.Record.Spec != nil && !r.Stopping {
			worst = max(worst, r.Job.Priority)
		}
	}
	m.entered = entered{m.Free, m.Freeing, len(m.pulls), worst}
	if m.pool != nil {
		m.pool.stale = true
	}
}

// SetOpen notes whether the machine takes new tasks.
func (m *Machine) SetOpen(open bool) {
	if m.Open != open {
		m.Open = open
		m.pool.stale = true
	}
}

// rewind undoes what a pass did to the machine.
func (m *Machine) rewind() {
	m.changed, m.pool.stale = false, true
	m.Free, m.Freeing = m.entered.free, m.entered.freeing
	m.pulls, m.placed = m.pulls[:m.entered.pulls], 0
	if !m.evicts {
		return
	}
	m.evicts = false
	for i := range m.Tasks {
		if r := &m.Tasks[i]; r.evicted {
			r.Stopping, r.evicted = false, false
		}
	}
}

// pulling notes that a task with this image is on the machine or comes to it.
func (m *Machine) pulling(w *wire.JobSpec) {
	if w == nil || m.Holds(w.Image) {
		return
	}
	for _, p := range m.pulls {
		if p.image == w.Image {
			return
		}
	}
	m.pulls = append(m.pulls, pull{w.Image, w.ImageGB})
}

// fetchBucket is the difference in expected fetch time, in seconds, below
// which two machines count as equal and the least free room decides.
const fetchBucket = 2.0

// wait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the fetch together with those under way, which
// share the machine's rate.
func (m *Machine) wait(j *jobs.Job) float64 {
	w := j.Record.Spec
	if m.Holds(w.Image) {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = 1
	}
	gb := w.ImageGB
	for _, p := range m.pulls {
		if p.image == w.Image {
			gb -= w.ImageGB / 2 // joins a fetch that is under way
		} else {
			gb += p.gb
		}
	}
	return math.Ceil(gb / rate / fetchBucket)
}

// Demand is a job with pending tasks.
type Demand struct {
	Job          *jobs.Job
	Tasks        []int
	Avoid        map[string]bool // machines that lately refused or failed it
	Pressed      bool            // has waited long enough to displace borrowed work
	PreemptedFor bool            // tasks were stopped for it lately; their room comes
	Blocked      bool            // a write of this node about it is under way
	Aged         bool            // has waited so long that nothing of its priority goes before it

	priority   int
	guaranteed bool
	latest     int64
}

// Input of a pass.
type Input struct {
	Me, Leader string
	Order      func(jobID string) []string // nodes in the job's hashed order
	Fleet      *Fleet
	Demands    []*Demand
	Teams      map[string]*quota.Allowance
	Now        time.Time
	// MostJobs bounds the jobs that are placed in one pass, and with them its
	// processor time; the rest has its turn when those are stored.
	MostJobs int

	held  int  // priority from which borrowed room is kept for a guarantee; see one
	scans int  // how often makeRoom may still look through the machines
	track bool // room only shrinks: pools may note what is left
}

// Claim is a placement for this node to store.
type Claim struct {
	Job     *jobs.Job
	Task    int
	Host    string
	Session uint64
}

// Eviction is a task to stop on one of this node's machines.
type Eviction struct {
	Resident
	For string // the job that needs the room
}

// Output of a pass.
type Output struct {
	Claims []Claim
	Evict  []Eviction
	Unmet  map[string]int // tasks without a place, by job
	Why    map[string]string
	// ShareShort has the teams whose limit is not used up, but shared out so that
	// work waits, with what the leader lacks of it for the first job that waits;
	// nothing if machines lack room, too.
	ShareShort map[string]quota.Amount
	// GuaranteeShort is the room that each team's work lacks within its guarantee.
	GuaranteeShort map[string]quota.Amount
}

// pressed reports whether others' borrowed work may be stopped for the demand.
func (d *Demand) pressed() bool { return d.guaranteed && d.Pressed }

// less orders demands: priority, then pressed work within its team's guarantee,
// then what has waited too long, by age; then other work within its guarantee,
// then the latest start that keeps the deadline; what can't keep it any more, and what has none, by age
// after that.
func less(a, b *Demand) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.pressed() != b.pressed() {
		// What others were stopped for takes the room that they leave. Guards
		// against a livelock: the room went to the next in line, often to the very
		// tasks that had been stopped, since their job was older, and they were
		// stopped again.
		return a.pressed()
	}
	if a.Aged != b.Aged {
		// Guards against starving a team without a guarantee, or a job that
		// can't keep its deadline, by an endless stream of others.
		return a.Aged
	}
	if a.Aged && a.Job.Ready != b.Job.Ready {
		return a.Job.Ready < b.Job.Ready
	}
	if a.guaranteed != b.guaranteed {
		return a.guaranteed
	}
	if a.latest != b.latest {
		return a.latest < b.latest
	}
	return a.Job.ID < b.Job.ID
}

// latest is when a job's tasks must start to keep its deadline, and those of
// the jobs that depend on it, in Unix milliseconds.
func (in *Input) latest(j *jobs.Job) int64 {
	if j.Deadline == 0 {
		return j.Ready + noDeadline
	}
	run := int64(j.Record.Spec.EstimateS * 1000)
	if in.Now.UnixMilli()+run/2 > j.Deadline {
		// Even a run of half the estimate would be late.
		return j.Ready + noDeadline
	}
	return j.Deadline - run
}

// noDeadline puts a job behind all that have a deadline to keep, by age.
const noDeadline = int64(1) << 50

func (in *Input) guaranteed(j *jobs.Job) bool {
	t := in.Teams[j.Record.Spec.Team]
	return t != nil && t.WithinGuarantee(t.Used.Add(j.Need.Amount()))
}

// noPriority is beyond the lowest priority.
const noPriority = 1 << 10

// Why tasks wait.
const (
	NoRoom  = "no machine has room"
	NoTurn  = "others are placed first"
	NoQuota = "its team is at its limit"
	NoShare = "its team's limit is being shared out anew"

	noTeam           = "its team is not in the settings"
	keptForGuarantee = "room is kept for another team's guarantee"
)

// scansPerPass bounds how often a pass looks through all machines for tasks
// to stop.
const scansPerPass = 16

// Pass places pending tasks.
func Pass(in Input) Output {
	out := Output{Unmet: map[string]int{}, Why: map[string]string{}}
	in.held, in.scans, in.track = noPriority, scansPerPass, true
	for _, d := range in.Demands {
		d.priority, d.guaranteed, d.latest = d.Job.Priority, in.guaranteed(d.Job), in.latest(d.Job)
	}
	sort.Slice(in.Demands, func(a, b int) bool { return less(in.Demands[a], in.Demands[b]) })
	for _, d := range in.Demands {
		in.one(d, &out)
	}
	return out
}

// one places the tasks of a demand, as many as it can, and notes why the
// others wait.
func (in *Input) one(d *Demand, out *Output) {
	team := in.Teams[d.Job.Record.Spec.Team]
	if team == nil {
		out.wait(d, len(d.Tasks), noTeam)
		return
	}
	guaranteed := in.guaranteed(d.Job)
	if !guaranteed && d.priority >= in.held {
		// Guards against borrowed work taking back the room that was freed for
		// a guarantee: it was stopped and placed again many times a minute.
		out.wait(d, len(d.Tasks), keptForGuarantee)
		return
	}
	tasks := d.Tasks[:team.Total(d.Job.Need.Amount(), len(d.Tasks))]
	if len(tasks) == 0 {
		out.wait(d, len(d.Tasks), NoQuota)
		return
	}
	var choice placement
	if in.Fleet.mayHold(d.Job) {
		if in.MostJobs <= 0 {
			out.wait(d, len(tasks), NoTurn)
			return
		}
		choice = in.choose(d, team, tasks)
	}
	if len(choice.picks) > 0 {
		in.MostJobs--
		in.take(d, team, tasks, choice, out)
	}
	if out.noteUnplaced(d, tasks, choice) {
		in.findRoom(d, guaranteed, tasks, choice, out)
	}
}

// placement is the machines chosen for a demand's first tasks, and the node
// that stores the claims.
type placement struct {
	placer string
	picks  []*Machine
	short  bool         // its place is limited by the shares of the limit
	lack   quota.Amount // what the leader lacks of the limit, if that alone is so
}

// choose finds machines for the tasks: those of one node if they hold all of
// them, else those of any.
func (in *Input) choose(d *Demand, team *quota.Allowance, tasks []int) placement {
	choice := in.chooseNode(d, team, tasks)
	if choice.placer == "" {
		granted := team.AtNode(in.Leader, d.Job.Need.Amount(), len(tasks))
		choice.placer = in.Leader
		choice.short = granted < len(tasks)
		choice.picks = in.spread(d, tasks[:granted])
		if choice.short && len(choice.picks) == granted {
			choice.lack = d.Job.Need.Amount().Times(float64(len(tasks))).Sub(team.Left[in.Leader])
		}
	}
	if d.Job.Gang() && (len(d.Job.Live) > 0 || len(choice.picks) < d.Job.Record.Tasks-d.Job.Counts[jobs.Completed]) {
		choice.picks = nil // all at once or not at all
	}
	return choice
}

// chooseNode finds the first node whose machines hold all tasks, the shortest
// waits for the image coming first: a fetch costs more than any other choice
// here. Without such a node the placement is empty.
func (in *Input) chooseNode(d *Demand, team *quota.Allowance, tasks []int) placement {
	var best placement
	leastWait := 0.0
	for _, node := range in.Order(d.Job.ID) {
		if team.AtNode(node, d.Job.Need.Amount(), len(tasks)) < len(tasks) {
			continue
		}
		picks := in.fit(d, tasks, node)
		if len(picks) < len(tasks) {
			continue
		}
		wait := 0.0
		for _, m := range picks {
			wait += m.wait(d.Job)
		}
		if best.placer == "" || wait < leastWait {
			best.placer, best.picks = node, picks
			leastWait = wait
		}
	}
	return best
}

// take enters the placement into the machines and the team's use, and claims
// the tasks if this node is to store them.
func (in *Input) take(d *Demand, team *quota.Allowance, tasks []int, choice placement, out *Output) {
	for i, m := range choice.picks {
		in.Fleet.change(m)
		m.Free = m.Free.Sub(d.Job.Need)
		m.pulling(d.Job.Record.Spec)
		m.placed++
		if choice.placer == in.Me && !d.Blocked {
			out.Claims = append(out.Claims, Claim{d.Job, tasks[i], m.Name, m.Session})
		}
	}
	team.Take(choice.placer, d.Job.Need.Amount().Times(float64(len(choice.picks))))
}

// wait notes that tasks of the demand have no place, and why.
func (out *Output) wait(d *Demand, tasks int, why string) {
	out.Unmet[d.Job.ID] = tasks
	out.Why[d.Job.ID] = why
}

// noteUnplaced notes why tasks of the demand were left without a place, of
// which tasks are within its team's limit. It reports whether machines with
// more room would help.
func (out *Output) noteUnplaced(d *Demand, tasks []int, choice placement) bool {
	placed := len(choice.picks)
	switch {
	case len(d.Tasks) == placed:
		return false
	case choice.short:
		name := d.Job.Record.Spec.Team
		if _, known := out.ShareShort[name]; !known {
			out.ShareShort = with(out.ShareShort, name, choice.lack)
		}
		out.wait(d, len(d.Tasks)-placed, NoShare)
		return false
	case len(tasks) == placed:
		out.wait(d, len(d.Tasks)-placed, NoQuota) // no machine helps these
		return false
	}
	out.wait(d, len(tasks)-placed, NoRoom)
	return true
}

// with is the map with an entry; it is made when the first one comes.
func with(m map[string]quota.Amount, key string, amount quota.Amount) map[string]quota.Amount {
	if m == nil {
		m = map[string]quota.Amount{}
	}
	m[key] = amount
	return m
}

// findRoom sees to it that the tasks without a place get one: what comes later
// in the pass may not take it, and other tasks are stopped for it.
func (in *Input) findRoom(d *Demand, guaranteed bool, tasks []int, choice placement, out *Output) {
	placed := len(choice.picks)
	if guaranteed {
		name := d.Job.Record.Spec.Team
		team := in.Teams[name]
		lack := d.Job.Need.Amount().Times(float64(len(tasks) - placed))
		open := team.Guarantee.Sub(team.Used).Max(quota.Amount{})
		out.GuaranteeShort = with(out.GuaranteeShort, name, out.GuaranteeShort[name].Add(lack).Min(open))
	}
	if d.Pressed && guaranteed {
		in.held = min(in.held, d.priority)
	}
	if d.Aged && placed == 0 && len(d.Job.Live) == 0 {
		in.hold(d)
	}
	for range len(tasks) - placed {
		if !in.makeRoom(d, out) {
			break
		}
	}
}

// spread chooses machines of as few owners as it can, those with the most
// places first: every owner stores the ends of its tasks by itself, so a job
// spread thin over all of them costs several times the changes.
func (in *Input) spread(d *Demand, tasks []int) []*Machine {
	if w := d.Job.Record.Spec; w.SpreadZones || w.SameZone {
		return in.fit(d, tasks, "") // zones count across owners
	}
	var parts [][]*Machine
	for _, node := range in.Order(d.Job.ID) {
		if p := in.fit(d, tasks, node); len(p) > 0 {
			parts = append(parts, p)
		}
	}
	sort.SliceStable(parts, func(a, b int) bool { return len(parts[a]) > len(parts[b]) })
	var picks []*Machine
	for _, p := range parts {
		picks = append(picks, p[:min(len(p), len(tasks)-len(picks))]...)
	}
	return picks
}

// hold keeps the machine that comes closest to holding a task of the job from
// what comes later in the pass. It guards against small tasks taking all room
// as it comes free, so that a large one never finds enough on one machine.
func (in *Input) hold(d *Demand) {
	var best *Machine
	for _, p := range in.Fleet.pools {
		if !p.suits(d.Job) {
			continue
		}
		for _, m := range p.machines {
			if m.Open && !d.Avoid[m.Name] && d.Job.Need.Fits(m.Total) &&
				(best == nil || m.Free.Share(m.Total) > best.Free.Share(best.Total)) {
				best = m
			}
		}
	}
	if best != nil {
		in.Fleet.change(best)
		best.Free = jobs.Resources{}
	}
}

// Suits reports whether the job may use the machine, leaving aside zones of
// its other tasks.
func Suits(j *jobs.Job, m *Machine) bool {
	w := j.Record.Spec
	switch {
	case !jobs.Allowed(w, m.Type), w.Zone != nil && *w.Zone != m.Zone:
		return false
	case m.Spot:
		return w.Spot && !j.Service()
	case j.Service():
		return m.Role == Service
	}
	return m.Role == Batch
}

// fit chooses a machine for each task, as many as fit, among those of one
// node (or all): least free room left, among those with the shortest wait for
// the image.
func (in *Input) fit(d *Demand, tasks []int, node string) []*Machine {
	cand := in.candidates(d, node)
	if len(cand) == 0 {
		return nil
	}
	w := d.Job.Record.Spec
	zones := map[string]int{}
	if w.SpreadZones || w.SameZone {
		zones = in.Fleet.Zones(d.Job)
		if zones[""] > 0 {
			return nil
		}
	}
	if w.SameZone {
		return fitOneZone(d, tasks, cand, zones)
	}
	return greedy(d, tasks, cand, zones, "")
}

// candidates lists the machines of one node (or all) that a task of the demand
// fits, in memory that the next call uses again. It notes what room is left in
// the pools that it looks through.
func (in *Input) candidates(d *Demand, node string) []candidate {
	cand := in.Fleet.scratch[:0]
	for _, p := range in.Fleet.pools {
		if node != "" && p.Owner != node || !p.suits(d.Job) || !d.Job.Need.Fits(p.room) {
			continue
		}
		var room jobs.Resources
		for _, m := range p.machines {
			if !m.Open {
				continue
			}
			room = room.Max(m.Free)
			if d.Job.Need.Fits(m.Free) && !d.Avoid[m.Name] && m.slots() > 0 {
				cand = append(cand, candidate{m, m.wait(d.Job), m.Free.Sub(d.Job.Need).Share(m.Total)})
			}
		}
		if in.track && p.room != room {
			p.room, p.stale = room, true
		}
	}
	in.Fleet.scratch = cand
	return cand
}

// fitOneZone chooses machines in the zone that holds the most of the tasks; if
// the job has tasks already, in theirs.
func fitOneZone(d *Demand, tasks []int, cand []candidate, zones map[string]int) []*Machine {
	var best []*Machine
	seen := map[string]bool{}
	for _, c := range cand {
		zone := c.m.Zone
		if seen[zone] || len(zones) > 0 && zones[zone] == 0 {
			continue
		}
		seen[zone] = true
		if picks := greedy(d, tasks, cand, zones, zone); len(picks) > len(best) {
			best = picks
		}
	}
	return best
}

// candidate is a machine that a task of the demand fits.
type candidate struct {
	m    *Machine
	wait float64
	left float64 // share that stays free
}

// before orders candidates: the shortest wait, least free room left, the name.
func (c *candidate) before(o *candidate) bool {
	if c.wait != o.wait {
		return c.wait < o.wait
	}
	if c.left != o.left {
		return c.left < o.left
	}
	return c.m.Name < o.m.Name
}

// ApartCap is the most tasks that an apart job may have in one zone.
func ApartCap(tasks int) int { return (tasks + 1) / 2 }

// greedy chooses machines for as many of the tasks as fit, in one zone if only
// names it: the best candidate is filled before the next. zones counts the
// job's tasks that have a place already, and stays as it is.
func greedy(d *Demand, tasks []int, cand []candidate, zones map[string]int, only string) []*Machine {
	used := zones
	if d.Job.Record.Spec.SpreadZones {
		// maps.Clone would move the callers' maps to the heap.
		used = make(map[string]int, len(zones))
		for zone, n := range zones {
			used[zone] = n
		}
	}
	picks := make([]*Machine, 0, len(tasks))
	full := make([]bool, len(cand))
	for len(picks) < len(tasks) {
		// The best machine has less room after each task, so it stays the best
		// until it is full: one look through the others for each machine.
		best := bestCandidate(d.Job, cand, full, used, only)
		if best < 0 {
			break
		}
		full[best] = true
		picks = fill(d.Job, cand[best].m, used, picks, len(tasks))
	}
	return picks
}

// bestCandidate is the index of the best candidate that is not full, -1 if
// there is none.
func bestCandidate(j *jobs.Job, cand []candidate, full []bool, used map[string]int, only string) int {
	best := -1
	for i := range cand {
		zone := cand[i].m.Zone
		if full[i] || only != "" && zone != only || spreadFull(j, used, zone) {
			continue
		}
		if best < 0 || cand[i].before(&cand[best]) {
			best = i
		}
	}
	return best
}

// fill picks the machine for as many tasks as it holds, until there are most
// picks, and counts them in used if the job is to be spread over zones.
func fill(j *jobs.Job, m *Machine, used map[string]int, picks []*Machine, most int) []*Machine {
	free := m.Free
	for n := 0; len(picks) < most && n < m.slots() && j.Need.Fits(free); n++ {
		if spreadFull(j, used, m.Zone) {
			break
		}
		if j.Record.Spec.SpreadZones {
			used[m.Zone]++
		}
		picks = append(picks, m)
		free = free.Sub(j.Need)
	}
	return picks
}

// spreadFull reports whether the job is to be spread over zones, and has as
// many tasks in this one as it may.
func spreadFull(j *jobs.Job, used map[string]int, zone string) bool {
	return j.Record.Spec.SpreadZones && used[zone] >= ApartCap(j.Record.Tasks)
}

// mayPreempt reports whether the protocol lets the job displace the resident.
func (in *Input) mayPreempt(d *Demand, r Resident) bool {
	j := d.Job
	w, v := j.Record.Spec, r.Job.Record.Spec
	if v == nil {
		return false
	}
	if j.Priority < r.Job.Priority {
		return true
	}
	if r.Job.Service() {
		// A running service is worth more to people than a start in time.
		return false
	}
	other := in.Teams[v.Team]
	return d.Pressed && v.Team != w.Team && in.guaranteed(j) && other != nil && !other.WithinGuarantee(other.Used)
}

// makeRoom reserves room that is being freed for one task, or stops the fewest
// tasks that the protocol lets it stop.
func (in *Input) makeRoom(d *Demand, out *Output) bool {
	var best *Machine
	var victims []Resident
	zones := in.zonesInUse(d.Job)
	scanned := false
	for _, p := range in.Fleet.pools {
		if !p.mayMakeRoom(d) || !zoneAllowed(d.Job, zones, p.Zone) {
			continue
		}
		if !scanned {
			if in.scans--; in.scans < 0 {
				return false
			}
			scanned = true
		}
		for _, m := range p.machines {
			if !m.Open || d.Avoid[m.Name] {
				continue
			}
			room := m.Free.Add(m.Freeing)
			if d.Job.Need.Fits(room) {
				in.Fleet.change(m)
				m.Freeing = m.Freeing.Sub(d.Job.Need)
				return true
			}
			if d.PreemptedFor {
				continue
			}
			if list := in.victims(d, m, room); list != nil && (best == nil || len(list) < len(victims)) {
				best, victims = m, list
			}
		}
	}
	if best == nil {
		return false
	}
	in.preempt(d, best, victims, out)
	return true
}

// mayMakeRoom reports whether the demand may use the pool's machines, and tasks
// there are being stopped, or may be for it.
func (p *pool) mayMakeRoom(d *Demand) bool {
	if !p.suits(d.Job) {
		return false
	}
	if p.freeing {
		return true
	}
	return !d.PreemptedFor && (p.worst > d.priority || d.Pressed && d.guaranteed)
}

// zonesInUse counts the job's tasks by zone, if it matters for others of them.
func (in *Input) zonesInUse(j *jobs.Job) map[string]int {
	if w := j.Record.Spec; w.SpreadZones || w.SameZone {
		return in.Fleet.Zones(j)
	}
	return nil
}

// zoneAllowed reports whether the job may have one more task in the zone. It
// guards against stopping tasks for room that the job may not use: they came
// back to it and were stopped again, every few seconds.
func zoneAllowed(j *jobs.Job, zones map[string]int, zone string) bool {
	if spreadFull(j, zones, zone) {
		return false
	}
	return !j.Record.Spec.SameZone || len(zones) == 0 || zones[zone] > 0
}

// preempt stops tasks of the machine and reserves their room for one task of
// the demand.
func (in *Input) preempt(d *Demand, m *Machine, victims []Resident, out *Output) {
	in.Fleet.change(m)
	for _, victim := range victims {
		m.markEvicted(victim.ID)
		m.evicts = true
		m.Freeing = m.Freeing.Add(victim.Job.Need)
		if m.Owner == in.Me {
			out.Evict = append(out.Evict, Eviction{victim, d.Job.ID})
		}
	}
	m.Freeing = m.Freeing.Sub(d.Job.Need)
}

// markEvicted notes that a task of the machine is being stopped by the pass.
func (m *Machine) markEvicted(task jobs.TaskID) {
	for i := range m.Tasks {
		if r := &m.Tasks[i]; r.ID == task {
			r.Stopping, r.evicted = true, true
		}
	}
}

// victims is the shortest list of tasks whose stop makes room for a task of
// the job, the lowest priority and the youngest first; nil if there is none.
func (in *Input) victims(d *Demand, m *Machine, room jobs.Resources) []Resident {
	var list []Resident
	for _, r := range m.Tasks {
		if !r.Stopping && in.mayPreempt(d, r) {
			list = append(list, r)
		}
	}
	sort.Slice(list, func(a, b int) bool {
		if ra, rb := list[a].Job.Priority, list[b].Job.Priority; ra != rb {
			return ra > rb
		}
		return list[a].Job.Ready > list[b].Job.Ready
	})
	for i, r := range list {
		if room = room.Add(r.Job.Need); d.Job.Need.Fits(room) {
			return list[:i+1]
		}
	}
	return nil
}

// Elsewhere finds another machine with room for a running task, given where
// the job's other tasks are; nil if there is none.
func Elsewhere(fleet *Fleet, j *jobs.Job, task int, from string) *Machine {
	in := Input{Fleet: fleet}
	// The task's own claim is released before it starts elsewhere.
	others := *j
	others.Live = make(map[int]jobs.Task, len(j.Live))
	for i, t := range j.Live {
		if i != task {
			others.Live[i] = t
		}
	}
	d := &Demand{Job: &others, Tasks: []int{task}, Avoid: map[string]bool{from: true}}
	if picks := in.fit(d, d.Tasks, ""); len(picks) == 1 {
		return picks[0]
	}
	return nil
}
