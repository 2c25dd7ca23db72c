package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Reasons for terminating a machine. With one of the first three, the machine holds
// no tasks any more or never came up (see ScaleIn.HoldsNothing).
const (
	ReasonSlowBoot    = "slow boot"
	ReasonNotListed   = "gone from the cloud's list"
	ReasonSilent      = "silent for longer than a lease"
	ReasonQuarantined = "its tasks fail, or it does not do what it is told"
	ReasonIdle        = "idle"
	ReasonSurplus     = "the others have room for its tasks"
)

// Reasons for adding a machine.
const (
	reasonUnplaced = "tasks without a place"
	reasonHeadroom = "headroom"
)

// MachineKind is the kind of machine that one request to the cloud asks for.
type MachineKind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Machine describes an existing or requested machine to the plan.
type Machine struct {
	Name             string
	Kind             MachineKind
	Role             placement.Role
	Schedulable      bool          // accepts tasks now
	Booting          bool          // has not sent a heartbeat yet
	Age              time.Duration // since its request, or as listed by the cloud
	Idle             time.Duration // how long it has had no claims
	Movable          bool          // its service tasks fit on other machines that hold their images
	Claims           int
	Free             jobs.Resources
	Quarantined      bool   // its tasks fail, or it has accepted none for too long
	Silent           bool   // was up, and its lease has long expired without a heartbeat
	Missing          bool   // was in the cloud's list and no longer is
	HeartbeatOverdue bool   // was up, and its next heartbeat is late
	RecordKey        string // store key of its record; machines with the same key are changed in one write
}

// Demand is a number of identical unplaced tasks of a job.
type Demand struct {
	Job             *jobs.Job
	Count           int
	Waiting         time.Duration
	NotScheduledYet bool // no scheduling pass has tried to place them: schedulable machines may have room
}

// Load describes the tasks of a role, from which its headroom is derived.
type Load struct {
	Tasks         float64        // tasks on machines or waiting for one; for batch, a mean over time of those on machines
	MinTasks      int            // least number of tasks that the headroom has room for
	AwaitingBoot  float64        // tasks that wait for machines to boot
	TaskResources jobs.Resources // resources of a typical task
	Spec          *wire.JobSpec  // a typical job; nil if none is known
}

// Input is the input of the capacity plan.
type Input struct {
	Now      time.Time
	Operator config.OperatorSettings
	Types    []wire.MachineType
	Machines []Machine
	Demands  []Demand
	Service  Load
	Batch    Load
	// OnDemandBatch is the batch work that may not use spot machines. Its Spec is set if such a
	// job is open, waits for other jobs, or was present recently; otherwise it is nil.
	OnDemandBatch Load
	// LastNoCapacity is when the cloud last had no capacity for a kind of machine.
	LastNoCapacity map[MachineKind]time.Time
	// SurplusSince is the time since which the plan has not needed a machine, by
	// machine name. Plan updates it.
	SurplusSince map[string]time.Time
	Draining     int // service machines that are draining
	MaxDraining  int // how many service machines may drain at once
	MaxGroups    int // groups of machine records that may be written to terminate idle machines
	// ActiveRoles holds the roles that have had work recently. The others need neither
	// a floor nor headroom.
	ActiveRoles map[placement.Role]bool
}

// ScaleOut is a number of machines of one kind to add for a role.
type ScaleOut struct {
	Kind   MachineKind
	Role   placement.Role
	Count  int
	Reason string
}

// ScaleIn is a machine to terminate: at once if HoldsNothing, otherwise once it is drained.
type ScaleIn struct {
	Machine string
	Reason  string
}

// HoldsNothing reports whether there is nothing to drain: the machine holds no tasks any more, or
// never came up.
func (s ScaleIn) HoldsNothing() bool {
	return s.Reason == ReasonNotListed || s.Reason == ReasonSilent || s.Reason == ReasonSlowBoot
}

// Output lists the machines to add and to terminate.
type Output struct {
	ScaleOut []ScaleOut
	ScaleIn  []ScaleIn
}
