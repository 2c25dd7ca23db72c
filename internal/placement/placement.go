// Package placement decides which pending task runs on which machine, and which
// running tasks are preempted for it. It owns the scheduling pass (Schedule):
// the order of the demands, bin packing, zone constraints, image locality,
// quota admission at the time of placement, and the choice of victims.
//
// Every controller runs the same pass over the same stored state and stores
// only its own part of the result: a job belongs to the first controller, in
// the job's hashed order, whose machines hold all its pending tasks; jobs too
// large for one shard belong to the leader. All controllers, also those of
// other versions, must therefore come to the same result: sort orders,
// tie-breaks and the order of float arithmetic are part of the protocol. What
// differing views leave over is settled by the compares of the writes.
//
// The package is pure. It neither reads nor writes the key-value store, and it
// doesn't decide how teams share their limits (package quota) or when machines
// are scaled out and in (package autoscale).
package placement

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

// Input of a pass.
type Input struct {
	Self, Leader string                      // labels of this controller and of the leader
	RankNodes    func(jobID string) []string // the controllers in the job's hashed order
	Fleet        *Fleet
	Demands      []*Demand
	Teams        map[string]*quota.Allowance // by name; a pass draws on them
	Now          time.Time
	// MaxJobs bounds the jobs that are placed in one pass, and with them its
	// processor time; the rest has its turn when those are stored.
	MaxJobs int
	// MinimizeLoss lets this controller preempt, on its own machines, those of the
	// victims of one priority first that lose the least work. Which machine is
	// emptied does not depend on it, since other controllers can't know.
	MinimizeLoss bool

	reservedPriority    int  // borrowed work of this priority, as a number, and of lower ones waits for a guarantee
	preemptionScansLeft int  // how often makeRoom may still look through the machines
	trackMaxFree        bool // room only shrinks: pools may note what is left
}

// Claim is a placement for this controller to store.
type Claim struct {
	Job         *jobs.Job
	Task        int
	Machine     string
	Incarnation uint64 // of the machine's worker
}

// Preemption is a task to stop on one of this controller's machines.
type Preemption struct {
	ClaimedTask
	For string // the job that needs the room
}

// Output of a pass.
type Output struct {
	Claims      []Claim
	Preemptions []Preemption
	Unplaced    map[string]int    // how many tasks have no place, by job
	Reasons     map[string]string // why, by job
	// ShareShortfall has the teams whose limit is not used up, but shared out so
	// that work waits, with what the leader lacks of it for the first job that
	// waits; nothing if machines lack room, too.
	ShareShortfall map[string]quota.Amount
	// GuaranteeShortfall is the room that each team's work lacks within its guarantee.
	GuaranteeShortfall map[string]quota.Amount
}

// Why tasks wait, as users are told.
const (
	ReasonNoRoom  = "no machine has room"
	ReasonNoTurn  = "others are placed first"
	ReasonNoQuota = "its team is at its limit"
	ReasonNoShare = "its team's limit is being shared out anew"

	reasonNoTeam           = "its team is not in the settings"
	reasonKeptForGuarantee = "room is kept for another team's guarantee"
)

// recordUnplaced notes how many tasks of the demand have no place, and why.
func (out *Output) recordUnplaced(d *Demand, tasks int, reason string) {
	out.Unplaced[d.Job.ID] = tasks
	out.Reasons[d.Job.ID] = reason
}

// explainUnplaced notes why tasks of the demand were left without a place, of
// which tasks are within its team's limit. It reports whether machines with
// more room would help.
func (out *Output) explainUnplaced(d *Demand, tasks []int, choice machineChoice) bool {
	placed := len(choice.machines)
	switch {
	case len(d.Tasks) == placed:
		return false
	case choice.shareLimited:
		team := d.Job.Record.Spec.Team
		if _, recorded := out.ShareShortfall[team]; !recorded {
			out.ShareShortfall = withAmount(out.ShareShortfall, team, choice.shareShortfall)
		}
		out.recordUnplaced(d, len(d.Tasks)-placed, ReasonNoShare)
		return false
	case len(tasks) == placed:
		out.recordUnplaced(d, len(d.Tasks)-placed, ReasonNoQuota) // no machine helps these
		return false
	}
	out.recordUnplaced(d, len(tasks)-placed, ReasonNoRoom)
	return true
}

// withAmount sets a team's amount and returns the map, which is made for the
// first one: most passes have none.
func withAmount(byTeam map[string]quota.Amount, team string, amount quota.Amount) map[string]quota.Amount {
	if byTeam == nil {
		byTeam = map[string]quota.Amount{}
	}
	byTeam[team] = amount
	return byTeam
}
