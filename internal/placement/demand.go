package placement

import (
	"cmp"

	"wheatspur/internal/jobs"
)

// Demand is a job with pending tasks.
type Demand struct {
	Job                  *jobs.Job
	Tasks                []int
	ExcludedMachines     map[string]bool // machines that recently refused or failed its tasks
	MayReclaim           bool            // it has waited long enough to preempt borrowed work
	RecentlyPreemptedFor bool            // tasks were recently preempted for it, and their room is about to become free
	WriteInFlight        bool            // a write by this controller for the job is in flight
	Starved              bool            // it has waited so long that it goes first within its priority, after reclaiming demands

	// The sort keys are computed when the pass begins: the order of the demands must not
	// change while the pass changes the usage of the teams.
	priority          int // a lower number is placed earlier
	guaranteedAtStart bool
	latestStart       int64 // see Input.latestStart
}

const (
	// beyondLowestPriority is larger than the number of any priority.
	beyondLowestPriority = 1 << 10
	// noDeadlineOffsetMs is added to the age key of jobs without an attainable deadline,
	// so that they sort behind all others, by age.
	noDeadlineOffsetMs = int64(1) << 50
)

// reclaims reports whether borrowed work of other teams may be preempted for the demand.
func (d *Demand) reclaims() bool { return d.guaranteedAtStart && d.MayReclaim }

// compareDemands defines the order in which demands are placed: by priority; then work
// that reclaims its team's guarantee; then starved work, by age; then other work
// within its guarantee; then by the latest start that meets the deadline. Work
// that can't meet its deadline any more, or has none, comes last, by age. The job
// ID breaks ties, so that all controllers agree on the order.
func compareDemands(a, b *Demand) int {
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	if a.reclaims() != b.reclaims() {
		// The demand for which tasks were preempted gets the room that they free.
		// Otherwise the room could go to the next demand in order, often to the
		// preempted tasks themselves because their job is older, and they would be
		// preempted again without end.
		return trueFirst(a.reclaims())
	}
	if a.Starved != b.Starved {
		// Prevents an endless stream of other work from starving a team without a
		// guarantee, or a job that can't meet its deadline.
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

// trueFirst returns the comparison of two flags that differ, given the first of them;
// the true one sorts first.
func trueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}

// latestStart is the latest time at which a job's tasks can start and meet its deadline
// and those of the jobs that depend on it, in Unix milliseconds. A job without a deadline
// that it can meet gets a later time than all others.
func (in *Input) latestStart(j *jobs.Job) int64 {
	if j.DeadlineMs == 0 {
		return j.ReadyAtMs + noDeadlineOffsetMs
	}
	estimateMs := int64(j.Record.Spec.EstimateS * 1000)
	if in.Now.UnixMilli()+estimateMs/2 > j.DeadlineMs {
		// Even a run time of half the estimate would miss the deadline.
		return j.ReadyAtMs + noDeadlineOffsetMs
	}
	return j.DeadlineMs - estimateMs
}

// guaranteed reports whether one more task of the job stays within its team's guarantee,
// given what the team uses at this point of the pass.
func (in *Input) guaranteed(j *jobs.Job) bool {
	team := in.Allowances[j.Record.Spec.Team]
	return team != nil && team.WithinGuarantee(team.Used.Add(j.TaskResources.QuotaAmount()))
}
