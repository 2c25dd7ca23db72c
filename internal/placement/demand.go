// This file orders the demands of a pass.

package placement

import (
	"wheatspur/internal/jobs"
)

// reclaims reports whether others' borrowed work may be stopped for the demand.
func (d *Demand) reclaims() bool { return d.guaranteedAtStart && d.MayReclaim }

// demandBefore orders demands: priority, then pressed work within its team's guarantee,
// then what has waited too long, by age; then other work within its guarantee,
// then the latest start that keeps the deadline; what can't keep it any more, and what has none, by age
// after that.
func demandBefore(a, b *Demand) bool {
	if a.priority != b.priority {
		return a.priority < b.priority
	}
	if a.reclaims() != b.reclaims() {
		// What others were stopped for takes the room that they leave. Guards
		// against a livelock: the room went to the next in line, often to the very
		// tasks that had been stopped, since their job was older, and they were
		// stopped again.
		return a.reclaims()
	}
	if a.Starved != b.Starved {
		// Guards against starving a team without a guarantee, or a job that
		// can't keep its deadline, by an endless stream of others.
		return a.Starved
	}
	if a.Starved && a.Job.ReadyAtMs != b.Job.ReadyAtMs {
		return a.Job.ReadyAtMs < b.Job.ReadyAtMs
	}
	if a.guaranteedAtStart != b.guaranteedAtStart {
		return a.guaranteedAtStart
	}
	if a.latestStart != b.latestStart {
		return a.latestStart < b.latestStart
	}
	return a.Job.ID < b.Job.ID
}

// latestStart is when a job's tasks must start to keep its deadline, and those of
// the jobs that depend on it, in Unix milliseconds.
func (in *Input) latestStart(j *jobs.Job) int64 {
	if j.DeadlineMs == 0 {
		return j.ReadyAtMs + noDeadline
	}
	run := int64(j.Record.Spec.EstimateS * 1000)
	if in.Now.UnixMilli()+run/2 > j.DeadlineMs {
		// Even a run of half the estimate would be late.
		return j.ReadyAtMs + noDeadline
	}
	return j.DeadlineMs - run
}

// noDeadline puts a job behind all that have a deadline to keep, by age.
const noDeadline = int64(1) << 50

func (in *Input) guaranteed(j *jobs.Job) bool {
	t := in.Teams[j.Record.Spec.Team]
	return t != nil && t.WithinGuarantee(t.Used.Add(j.Need.Amount()))
}

// noPriority is beyond the lowest priority.
const noPriority = 1 << 10

// Demand is a job with pending tasks.
type Demand struct {
	Job           *jobs.Job
	Tasks         []int
	Avoid         map[string]bool // machines that lately refused or failed it
	MayReclaim    bool            // has waited long enough to displace borrowed work
	PreemptedFor  bool            // tasks were stopped for it lately; their room comes
	WriteInFlight bool            // a write of this node about it is under way
	Starved       bool            // has waited so long that nothing of its priority goes before it

	priority          int
	guaranteedAtStart bool
	latestStart       int64
}
