// Package placement decides which pending task runs on which machine, and which
// running tasks are preempted for it. It owns the scheduling pass (Schedule):
// the order of the demands, bin packing, zone constraints, image locality,
// quota admission at the time of placement, and the choice of victims.
//
// Every controller runs the same pass over the same stored state and stores
// only its own part of the result: a job belongs to the first controller, in
// the job's hashed order, whose machines hold all its pending tasks; jobs too
// large for one shard belong to the leader. All controllers, also those of
// other versions, must therefore compute the same result: sort orders,
// tie-breaks and the order of float arithmetic are part of the protocol. If
// controllers compute different results from different views of the state, the
// compare conditions of the store transactions reject the conflicting writes.
//
// A team may use more than its guarantee, up to its limit. The part beyond the
// guarantee is borrowed: another team's job may preempt it to reclaim capacity
// within its own guarantee.
//
// The package performs no I/O. It neither reads nor writes the key-value store,
// and it doesn't decide how teams share their limits (package quota) or when
// machines are scaled out and in (package autoscale).
package placement

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

// Input is the input of a scheduling pass.
type Input struct {
	Self, Leader string                      // labels of this controller and of the leader
	RankMembers  func(jobID string) []string // labels of the controllers in the job's hashed order
	Fleet        *Fleet
	Demands      []*Demand
	Allowances   map[string]*quota.Allowance // by name; the pass deducts what it places
	Now          time.Time
	// MaxJobs bounds the number of jobs placed in one pass, and with it the CPU time
	// of the pass. The remaining jobs are placed in later passes, after the writes of
	// this one.
	MaxJobs int
	// MinimizeLoss makes this controller, on its own machines, preempt the victims
	// that lose the least work first within a priority. It has no influence on which
	// machine is chosen for preemption, because other controllers can't compute it.
	MinimizeLoss bool

	reservedPriority    int  // borrowed work of this priority number or a larger one waits: the room is reserved for a guarantee
	preemptionScansLeft int  // how many more times reserveOrPreempt may scan the machines
	trackMaxFree        bool // free room only shrinks during the pass, so pools may update maxFree
}

// Claim is the placement of a task on a machine, to be stored by this controller.
type Claim struct {
	Job         *jobs.Job
	Task        int
	Machine     string
	Incarnation uint64 // of the machine's worker
}

// Preemption is a task to stop on one of this controller's machines.
type Preemption struct {
	ClaimedTask
	PreemptorJobID string // ID of the job that needs the room
}

// Output is the result of a scheduling pass.
type Output struct {
	Claims          []Claim
	Preemptions     []Preemption
	Unplaced        map[string]int    // number of tasks that were not placed, by job
	UnplacedReasons map[string]string // why they were not placed, by job
	// ShareShortfall has an entry for each team whose limit is not used up, but is
	// split between controllers so that work waits. The amount is what the leader's
	// share lacks for the team's first waiting job; it is zero if the machines lack
	// room, too.
	ShareShortfall map[string]quota.Amount
	// GuaranteeShortfall is, by team, the resources that waiting work within the team's
	// guarantee lacks.
	GuaranteeShortfall map[string]quota.Amount
}

// Reasons why tasks wait, as shown to users.
const (
	ReasonNoRoom     = "no machine has room"
	ReasonJobLimit   = "others are placed first"
	ReasonTeamLimit  = "its team is at its limit"
	ReasonShareLimit = "its team's limit is being shared out anew"

	reasonNoTeam               = "its team is not in the settings"
	reasonReservedForGuarantee = "room is kept for another team's guarantee"
)

// recordUnplaced records how many tasks of the demand were not placed, and why.
func (out *Output) recordUnplaced(d *Demand, tasks int, reason string) {
	out.Unplaced[d.Job.ID] = tasks
	out.UnplacedReasons[d.Job.ID] = reason
}

// explainUnplaced records why tasks of the demand were not placed. tasks are those
// within the team's limit. It reports whether machines with more room would help.
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
		out.recordUnplaced(d, len(d.Tasks)-placed, ReasonShareLimit)
		return false
	case len(tasks) == placed:
		out.recordUnplaced(d, len(d.Tasks)-placed, ReasonTeamLimit) // more machines would not help
		return false
	}
	out.recordUnplaced(d, len(tasks)-placed, ReasonNoRoom)
	return true
}

// withAmount sets a team's amount and returns the map. It allocates the map for the
// first entry only, since most passes have none.
func withAmount(byTeam map[string]quota.Amount, team string, amount quota.Amount) map[string]quota.Amount {
	if byTeam == nil {
		byTeam = map[string]quota.Amount{}
	}
	byTeam[team] = amount
	return byTeam
}
