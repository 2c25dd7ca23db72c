// Package place decides which pending task goes to which machine. Every node
// runs the same pass over the same stored state and carries out its own part:
// a job belongs to the first node, in the job's hashed order, whose machines
// hold all its pending tasks; jobs too large for one node belong to the
// leader. Guards in the store settle what differing views leave. The package
// is pure.
package placement

import (
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
)

// Input of a pass.
type Input struct {
	Self, Leader string
	RankNodes    func(jobID string) []string // nodes in the job's hashed order
	Fleet        *Fleet
	Demands      []*Demand
	Teams        map[string]*quota.Allowance
	Now          time.Time
	// MaxJobs bounds the jobs that are placed in one pass, and with them its
	// processor time; the rest has its turn when those are stored.
	MaxJobs int
	// MinimizeLoss lets this node stop, on its own machines, those tasks first of a
	// rank that lose the least by it. Which machine is emptied does not depend on
	// it, since other nodes can't know.
	MinimizeLoss bool

	reservedPriority    int  // priority from which borrowed room is kept for a guarantee; see one
	preemptionScansLeft int  // how often makeRoom may still look through the machines
	trackMaxFree        bool // room only shrinks: pools may note what is left
}

// Claim is a placement for this node to store.
type Claim struct {
	Job         *jobs.Job
	Task        int
	Machine     string
	Incarnation uint64
}

// Preemption is a task to stop on one of this node's machines.
type Preemption struct {
	ClaimedTask
	For string // the job that needs the room
}

// Output of a pass.
type Output struct {
	Claims      []Claim
	Preemptions []Preemption
	Unplaced    map[string]int // tasks without a place, by job
	Reasons     map[string]string
	// ShareShortfall has the teams whose limit is not used up, but shared out so that
	// work waits, with what the leader lacks of it for the first job that waits;
	// nothing if machines lack room, too.
	ShareShortfall map[string]quota.Amount
	// GuaranteeShortfall is the room that each team's work lacks within its guarantee.
	GuaranteeShortfall map[string]quota.Amount
}

// Why tasks wait.
const (
	ReasonNoRoom  = "no machine has room"
	ReasonNoTurn  = "others are placed first"
	ReasonNoQuota = "its team is at its limit"
	ReasonNoShare = "its team's limit is being shared out anew"

	reasonNoTeam           = "its team is not in the settings"
	reasonKeptForGuarantee = "room is kept for another team's guarantee"
)

// recordUnplaced notes that tasks of the demand have no place, and why.
func (out *Output) recordUnplaced(d *Demand, tasks int, why string) {
	out.Unplaced[d.Job.ID] = tasks
	out.Reasons[d.Job.ID] = why
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
		name := d.Job.Record.Spec.Team
		if _, known := out.ShareShortfall[name]; !known {
			out.ShareShortfall = withAmount(out.ShareShortfall, name, choice.shareShortfall)
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

// withAmount is the map with an entry; it is made when the first one comes.
func withAmount(m map[string]quota.Amount, key string, amount quota.Amount) map[string]quota.Amount {
	if m == nil {
		m = map[string]quota.Amount{}
	}
	m[key] = amount
	return m
}
