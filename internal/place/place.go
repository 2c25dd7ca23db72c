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
	ID       jobs.ID
	Job      *jobs.Job
	Stopping bool
}

// Machine is a machine as the pass sees it.
type Machine struct {
	Name, Type, Zone, Owner string
	Spot                    bool
	Role                    Role
	Open                    bool // takes new tasks
	Stint                   uint64
	Total                   jobs.Resources
	Free                    jobs.Resources // not claimed
	Freeing                 jobs.Resources // claimed by tasks that are being stopped
	Images                  map[string]bool
	FetchGBPerS             float64 // 0: not known
	Tasks                   []Resident

	placed []*wire.Work // jobs placed in this pass
}

// fetchBucket is the difference in expected fetch time, in seconds, below
// which two machines count as equal and the least free room decides.
const fetchBucket = 2.0

// wait is the expected time until the machine has the job's image, in buckets:
// nothing if it holds it, else the fetch together with those under way, which
// share the machine's rate.
func (m *Machine) wait(j *jobs.Job) float64 {
	w := j.Record.Work
	if m.Images[w.Bundle] {
		return 0
	}
	rate := m.FetchGBPerS
	if rate <= 0 {
		rate = 1
	}
	gb, seen := w.ImageGB, map[string]bool{}
	note := func(v *wire.Work) {
		if v == nil || m.Images[v.Bundle] || seen[v.Bundle] {
			return
		}
		seen[v.Bundle] = true
		if v.Bundle == w.Bundle {
			gb -= w.ImageGB / 2 // joins a fetch that is under way
		} else {
			gb += v.ImageGB
		}
	}
	for _, r := range m.Tasks {
		note(r.Job.Record.Work)
	}
	for _, v := range m.placed {
		note(v)
	}
	return math.Ceil(gb / rate / fetchBucket)
}

// Team is a team's limits and use.
type Team struct {
	Used, Max, Guaranteed jobs.Resources // 0 in Max or Guaranteed: none
}

// room is what the team may still claim.
func (t *Team) allows(need jobs.Resources) bool {
	u := t.Used.Add(need)
	return within(u.CPUs, t.Max.CPUs) && within(u.GPUs, t.Max.GPUs)
}

const epsilon = 1e-6

func within(v, limit float64) bool { return limit <= 0 || v <= limit+epsilon }

// WithinGuarantee reports whether use stays inside the team's guarantee.
func (t *Team) WithinGuarantee(u jobs.Resources) bool {
	if t.Guaranteed.CPUs <= 0 && t.Guaranteed.GPUs <= 0 {
		return false
	}
	return within(u.CPUs, t.Guaranteed.CPUs) && within(u.GPUs, t.Guaranteed.GPUs)
}

// Demand is a job with pending tasks.
type Demand struct {
	Job     *jobs.Job
	Tasks   []int
	Avoid   map[string]bool // machines that lately refused or failed it
	Pressed bool            // has waited long enough to displace borrowed work
	Served  bool            // tasks were stopped for it lately; their room comes
	Blocked bool            // a write of this node about it is under way
}

// Input of a pass.
type Input struct {
	Me, Leader string
	Order      func(ref string) []string // nodes in the job's hashed order
	Machines   []*Machine
	Demands    []*Demand
	Teams      map[string]*Team
	Now        time.Time

	held int // rank from which borrowed room is kept for a guarantee; see one
}

// Claim is a placement for this node to store.
type Claim struct {
	Job   *jobs.Job
	Task  int
	Host  string
	Stint uint64
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
}

// less orders demands: rank, then work within its team's guarantee, pressed
// work first, then the latest start that keeps the deadline; what can't keep it any more, and what
// has none, by age after that.
func less(in *Input) func(a, b *Demand) bool {
	return func(a, b *Demand) bool {
		wa, wb := a.Job.Record.Work, b.Job.Record.Work
		if ra, rb := jobs.RankOrder(wa.Rank), jobs.RankOrder(wb.Rank); ra != rb {
			return ra < rb
		}
		ga, gb := in.guaranteed(a.Job), in.guaranteed(b.Job)
		if ga != gb {
			return ga
		}
		if ga && a.Pressed != b.Pressed {
			// What others were stopped for takes the room that they leave:
			// it went to the next in line, and more were stopped.
			return a.Pressed
		}
		if la, lb := in.latest(a.Job), in.latest(b.Job); la != lb {
			return la < lb
		}
		return a.Job.Ref < b.Job.Ref
	}
}

// latest is when a job's tasks must start to keep its deadline, in Unix
// milliseconds.
func (in *Input) latest(j *jobs.Job) int64 {
	w := j.Record.Work
	if w.DueS == nil {
		return j.Record.At + noDeadline
	}
	due := j.Record.At + int64(*w.DueS*1000)
	run := int64(w.ReckonS * 1000)
	if in.Now.UnixMilli()+run/2 > due {
		// Even a run of half the estimate would be late.
		return j.Record.At + noDeadline
	}
	return due - run
}

// noDeadline puts a job behind all that have a deadline to keep, by age.
const noDeadline = int64(1) << 50

func (in *Input) guaranteed(j *jobs.Job) bool {
	t := in.Teams[j.Record.Work.Crew]
	return t != nil && t.WithinGuarantee(t.Used.Add(j.Need))
}

// noRank is beyond the lowest rank.
const noRank = 1 << 10

// NoRoom is why most tasks wait.
const NoRoom = "no machine has room"

// Pass places pending tasks.
func Pass(in Input) Output {
	out := Output{Unmet: map[string]int{}, Why: map[string]string{}}
	in.held = noRank
	before := less(&in)
	sort.Slice(in.Demands, func(a, b int) bool { return before(in.Demands[a], in.Demands[b]) })
	sort.Slice(in.Machines, func(a, b int) bool { return in.Machines[a].Name < in.Machines[b].Name })
	for _, d := range in.Demands {
		in.one(d, &out)
	}
	return out
}

func (in *Input) one(d *Demand, out *Output) {
	w := d.Job.Record.Work
	team := in.Teams[w.Crew]
	if team == nil {
		out.Unmet[d.Job.Ref], out.Why[d.Job.Ref] = len(d.Tasks), "its team is not in the settings"
		return
	}
	guaranteed := in.guaranteed(d.Job)
	if !guaranteed && jobs.RankOrder(w.Rank) >= in.held {
		// Guards against borrowed work taking back the room that was freed for
		// a guarantee: it was stopped and placed again many times a minute.
		out.Unmet[d.Job.Ref], out.Why[d.Job.Ref] = len(d.Tasks), "room is kept for another team's guarantee"
		return
	}
	tasks := d.Tasks
	quota := 0
	for use := *team; quota < len(tasks) && use.allows(d.Job.Need); quota++ {
		use.Used = use.Used.Add(d.Job.Need)
	}
	if quota == 0 {
		out.Unmet[d.Job.Ref], out.Why[d.Job.Ref] = len(tasks), "its team is at its limit"
		return
	}
	tasks = tasks[:quota]
	// The first node whose machines hold all tasks, the shortest waits for the
	// image coming first: a fetch costs more than any other choice here.
	placer, picks, fetches := "", []*Machine(nil), 0.0
	for _, node := range in.Order(d.Job.Ref) {
		p := in.fit(d, tasks, node)
		if len(p) < len(tasks) {
			continue
		}
		k := 0.0
		for _, m := range p {
			k += m.wait(d.Job)
		}
		if placer == "" || k < fetches {
			placer, picks, fetches = node, p, k
		}
	}
	if placer == "" {
		placer, picks = in.Leader, in.fit(d, tasks, "")
	}
	if d.Job.Gang() && (len(d.Job.Live) > 0 || len(picks) < d.Job.Record.Tasks-d.Job.Counts[jobs.Completed]) {
		picks = nil // all at once or not at all
	}
	for i, m := range picks {
		m.Free = m.Free.Sub(d.Job.Need)
		m.placed = append(m.placed, w)
		team.Used = team.Used.Add(d.Job.Need)
		if placer == in.Me && !d.Blocked {
			out.Claims = append(out.Claims, Claim{d.Job, tasks[i], m.Name, m.Stint})
		}
	}
	if rest := len(d.Tasks) - len(picks); rest > 0 {
		out.Unmet[d.Job.Ref], out.Why[d.Job.Ref] = rest, NoRoom
		if d.Pressed && guaranteed && len(tasks) > len(picks) {
			in.held = min(in.held, jobs.RankOrder(w.Rank))
		}
		for range len(tasks) - len(picks) {
			if !in.makeRoom(d, out) {
				break
			}
		}
	}
}

// Suits reports whether the job may use the machine, leaving aside zones of
// its other tasks.
func Suits(j *jobs.Job, m *Machine) bool {
	w := j.Record.Work
	switch {
	case !jobs.Allowed(w, m.Type), w.Plot != nil && *w.Plot != m.Zone:
		return false
	case m.Spot:
		return w.Windfall && !j.Service()
	case j.Service():
		return m.Role == Service
	}
	return m.Role == Batch
}

// fit chooses a machine for each task, as many as fit, among those of one
// node (or all): least free room left, among those with the shortest wait for
// the image.
func (in *Input) fit(d *Demand, tasks []int, node string) []*Machine {
	w := d.Job.Record.Work
	var cand []*Machine
	for _, m := range in.Machines {
		if m.Open && (node == "" || m.Owner == node) && !d.Avoid[m.Name] && Suits(d.Job, m) && d.Job.Need.Fits(m.Free) {
			cand = append(cand, m)
		}
	}
	if len(cand) == 0 {
		return nil
	}
	zones := Zones(d.Job, in.Machines)
	if !w.Together {
		return in.greedy(d, tasks, cand, zones)
	}
	var best []*Machine
	seen := map[string]bool{}
	for _, m := range cand {
		if seen[m.Zone] || len(zones) > 0 && zones[m.Zone] == 0 {
			continue
		}
		seen[m.Zone] = true
		var same []*Machine
		for _, c := range cand {
			if c.Zone == m.Zone {
				same = append(same, c)
			}
		}
		if p := in.greedy(d, tasks, same, zones); len(p) > len(best) {
			best = p
		}
	}
	return best
}

// Zones counts the live claims of a job per zone. A machine that is not known
// counts for the zone "": such a job gets no constrained placement.
func Zones(j *jobs.Job, machines []*Machine) map[string]int {
	out := map[string]int{}
	if len(j.Live) == 0 {
		return out
	}
	zone := map[string]string{}
	for _, m := range machines {
		zone[m.Name] = m.Zone
	}
	for _, t := range j.Live {
		out[zone[t.Host]]++
	}
	return out
}

// ApartCap is the most tasks that an apart job may have in one zone.
func ApartCap(tasks int) int { return (tasks + 1) / 2 }

func (in *Input) greedy(d *Demand, tasks []int, cand []*Machine, zones map[string]int) []*Machine {
	w := d.Job.Record.Work
	free := make(map[*Machine]jobs.Resources, len(cand))
	wait := make(map[*Machine]float64, len(cand))
	for _, m := range cand {
		free[m], wait[m] = m.Free, m.wait(d.Job)
	}
	used := map[string]int{}
	for z, n := range zones {
		used[z] = n
	}
	if (w.Apart || w.Together) && used[""] > 0 {
		return nil
	}
	var picks []*Machine
	for range tasks {
		var best *Machine
		bestKey := [2]float64{}
		for _, m := range cand {
			if !d.Job.Need.Fits(free[m]) || w.Apart && used[m.Zone] >= ApartCap(d.Job.Record.Tasks) {
				continue
			}
			key := [2]float64{wait[m], free[m].Sub(d.Job.Need).Share(m.Total)}
			if best == nil || key[0] < bestKey[0] || key[0] == bestKey[0] && key[1] < bestKey[1] {
				best, bestKey = m, key
			}
		}
		if best == nil {
			break
		}
		free[best] = free[best].Sub(d.Job.Need)
		used[best.Zone]++
		picks = append(picks, best)
	}
	return picks
}

// mayPreempt reports whether the protocol lets the job displace the resident.
func (in *Input) mayPreempt(d *Demand, r Resident) bool {
	j := d.Job
	w, v := j.Record.Work, r.Job.Record.Work
	if v == nil {
		return false
	}
	if jobs.RankOrder(w.Rank) < jobs.RankOrder(v.Rank) {
		return true
	}
	if r.Job.Service() {
		// A running service is worth more to people than a start in time.
		return false
	}
	other := in.Teams[v.Crew]
	return d.Pressed && v.Crew != w.Crew && in.guaranteed(j) && other != nil && !other.WithinGuarantee(other.Used)
}

// makeRoom reserves room that is being freed for one task, or stops the fewest
// tasks that the protocol lets it stop.
func (in *Input) makeRoom(d *Demand, out *Output) bool {
	var best *Machine
	var victims []Resident
	w, zones := d.Job.Record.Work, Zones(d.Job, in.Machines)
	for _, m := range in.Machines {
		if !m.Open || d.Avoid[m.Name] || !Suits(d.Job, m) {
			continue
		}
		if w.Apart && zones[m.Zone] >= ApartCap(d.Job.Record.Tasks) || w.Together && len(zones) > 0 && zones[m.Zone] == 0 {
			// Guards against stopping tasks for room that the job may not use:
			// they came back to it and were stopped again, every few seconds.
			continue
		}
		room := m.Free.Add(m.Freeing)
		if d.Job.Need.Fits(room) {
			m.Freeing = m.Freeing.Sub(d.Job.Need)
			return true
		}
		if d.Served {
			continue
		}
		var list []Resident
		for _, r := range m.Tasks {
			if !r.Stopping && in.mayPreempt(d, r) {
				list = append(list, r)
			}
		}
		sort.Slice(list, func(a, b int) bool {
			ra, rb := jobs.RankOrder(list[a].Job.Record.Work.Rank), jobs.RankOrder(list[b].Job.Record.Work.Rank)
			if ra != rb {
				return ra > rb
			}
			return list[a].Job.Record.At > list[b].Job.Record.At
		})
		for i, r := range list {
			room = room.Add(r.Job.Need)
			if d.Job.Need.Fits(room) {
				if best == nil || i+1 < len(victims) {
					best, victims = m, list[:i+1]
				}
				break
			}
		}
	}
	if best == nil {
		return false
	}
	for _, v := range victims {
		for i := range best.Tasks {
			if best.Tasks[i].ID == v.ID {
				best.Tasks[i].Stopping = true
			}
		}
		best.Freeing = best.Freeing.Add(v.Job.Need)
		if best.Owner == in.Me {
			out.Evict = append(out.Evict, Eviction{v, d.Job.Ref})
		}
	}
	best.Freeing = best.Freeing.Sub(d.Job.Need)
	return true
}

// Elsewhere finds another machine with room for a running task, given where
// the job's other tasks are; nil if there is none.
func Elsewhere(machines []*Machine, j *jobs.Job, task int, from string) *Machine {
	in := Input{Machines: machines}
	// The task's own claim is released before it starts elsewhere.
	others := *j
	others.Live = map[int]jobs.Task{}
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
