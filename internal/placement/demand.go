package placement

import (
	"cmp"

	"wheatspur/internal/jobs"
)

// Demand is a job with pending tasks.
type Demand struct {
	Job           *jobs.Job
	Tasks         []int
	Avoid         map[string]bool // machines that lately refused or failed it
	MayReclaim    bool            // has waited long enough to have borrowed work preempted
	PreemptedFor  bool            // tasks were preempted for it lately; their room comes
	WriteInFlight bool            // a write of this controller about it is under way
	Starved       bool            // has waited so long that nothing of its priority goes before it

	// As the pass begins: the order of the demands must not change while teams'
	// use does.
	priority          int // the lower the number, the earlier
	guaranteedAtStart bool
	latestStart       int64 // see Input.latestStart
}

const (
	// beyondLowestPriority is a larger number than any priority has.
	beyondLowestPriority = 1 << 10
	// noDeadlineMs puts a job behind all that have a deadline to keep, by age.
	noDeadlineMs = int64(1) << 50
)

// reclaims reports whether others' borrowed work may be preempted for the demand.
func (d *Demand) reclaims() bool { return d.guaranteedAtStart && d.MayReclaim }

// compareDemands is the order in which demands are placed: by priority; then work
// that reclaims its team's guarantee; then starved work, by age; then other work
// within its guarantee; then by the latest start that keeps the deadline. Work
// that can't keep its deadline any more, or has none, comes last, by age. The job
// id makes the order complete, so that all controllers agree on it.
func compareDemands(a, b *Demand) int {
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.reclaims() != b.reclaims() {
		// What others were preempted for takes the room that they leave. Guards
		// against a livelock: the room went to the next in line, often to the very
		// tasks that had been preempted, since their job was older, and they were
		// preempted again.
		return trueFirst(a.reclaims())
	}
	if a.Starved != b.Starved {
		// Guards against starving a team without a guarantee, or a job that
		// can't keep its deadline, by an endless stream of others.
		return trueFirst(a.Starved)
	}
	if a.Starved && a.Job.ReadyAtMs != b.Job.ReadyAtMs {
		return cmp.Compare(a.Job.ReadyAtMs, b.Job.ReadyAtMs)
	}
	if a.guaranteedAtStart != b.guaranteedAtStart {
		return trueFirst(a.guaranteedAtStart)
	}
	if a.latestStart != b.latestStart {
		return cmp.Compare(a.latestStart, b.latestStart)
	}
	return cmp.Compare(a.Job.ID, b.Job.ID)
}

// trueFirst compares two flags that differ, given the first of them.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// latestStart is when a job's tasks must start to keep its deadline, and those of
// the jobs that depend on it, in Unix milliseconds.
func (in *Input) latestStart(j *jobs.Job) int64 {
	if j.DeadlineMs == 0 {
		return j.ReadyAtMs + noDeadlineMs
	}
	runMs := int64(j.Record.Spec.EstimateS * 1000)
	if in.Now.UnixMilli()+runMs/2 > j.DeadlineMs {
		// Even a run of half the estimate would be late.
		return j.ReadyAtMs + noDeadlineMs
	}
	return j.DeadlineMs - runMs
}

// guaranteed reports whether one more task of the job stays within its team's
// guarantee, beside what the team uses at this point of the pass.
func (in *Input) guaranteed(j *jobs.Job) bool {
	team := in.Teams[j.Record.Spec.Team]
	return team != nil && team.WithinGuarantee(team.Used.Add(j.Need.Amount()))
}
