// Package place decides which pending task goes to which machine. Every node
// runs the same pass over the same stored state and carries out its own part:
// a job belongs to the first node, in the job's hashed order, whose machines
// hold all its pending tasks; jobs too large for one node belong to the
// leader. Guards in the store settle what differing views leave. The package
// is pure.
package place

import (
	"sort"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

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
	// LeastLoss lets this node stop, on its own machines, those tasks first of a
	// rank that lose the least by it. Which machine is emptied does not depend on
	// it, since other nodes can't know.
	LeastLoss bool

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

// Why tasks wait.
const (
	NoRoom  = "no machine has room"
	NoTurn  = "others are placed first"
	NoQuota = "its team is at its limit"
	NoShare = "its team's limit is being shared out anew"

	noTeam           = "its team is not in the settings"
	keptForGuarantee = "room is kept for another team's guarantee"
)

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
