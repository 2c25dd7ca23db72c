package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Reasons for giving back a machine that holds nothing any more, or never came
// up: its return proves that its tasks are gone.
const (
	ReasonSlowBoot    = "slow boot"
	ReasonNotListed   = "gone from the cloud's list"
	ReasonSilent      = "silent for longer than a lease"
	ReasonQuarantined = "its tasks fail, or it does not do what it is told"
	ReasonIdle        = "idle"
	ReasonSurplus     = "the others have room for its tasks"
)

// Reasons for renting a machine.
const (
	reasonUnplaced = "tasks without a place"
	reasonHeadroom = "headroom"
)

// MachineKind is what one rental asks for.
type MachineKind struct {
	MachineType, Zone string
	Spot              bool
}

// Machine is a machine in the plan.
type Machine struct {
	Name             string
	Kind             MachineKind
	Role             placement.Role
	Schedulable      bool          // takes tasks now
	Booting          bool          // not up yet
	Age              time.Duration // since it was rented or first listed
	Idle             time.Duration // without claims
	Movable          bool          // its service tasks have room on machines that hold their images
	Claims           int
	Free             jobs.Resources
	Quarantined      bool
	Silent           bool   // up before, not heard for longer than a lease
	Missing          bool   // was listed, is no more
	HeartbeatOverdue bool   // up before, and due a report
	Group            string // key of its record: machines of one key go back in one change
}

// Demand is a number of like tasks without a place.
type Demand struct {
	Job             *jobs.Job
	Count           int
	Waiting         time.Duration
	NotScheduledYet bool // no place was looked for yet: machines that take tasks may do
}

// Load is what a role holds now, for its headroom.
type Load struct {
	Tasks        float64        // tasks held, a mean over time for batch
	MinTasks     int            // tasks that the headroom holds at least
	AwaitingBoot float64        // tasks that wait for machines to boot
	Need         jobs.Resources // of a typical task
	Spec         *wire.JobSpec  // a typical job
}

// Input is what the capacity plan is made from.
type Input struct {
	Now      time.Time
	Operator config.Operator
	Types    []wire.MachineType
	Machines []Machine
	Demands  []Demand
	Service  Load
	Batch    Load
	// OnDemand is the batch work that may not use spot machines; no Spec: none
	// is open, waits for others, or was lately.
	OnDemand        Load
	NoCapacitySince map[MachineKind]time.Time // when the cloud had none

	// SurplusSince says since when the plan could do without a busy machine; the
	// plan keeps it up to date.
	SurplusSince map[string]time.Time
	Draining     int // machines that are being drained of service tasks
	MaxDraining  int // how many may be at once
	MaxGroups    int // groups of records that may be changed to give idle machines back

	// ActiveRoles says which roles have had work lately; the others need neither
	// floor nor headroom.
	ActiveRoles map[placement.Role]bool
}

// ScaleOut is a number of machines to rent for a role.
type ScaleOut struct {
	Kind   MachineKind
	Role   placement.Role
	Count  int
	Reason string
}

// ScaleIn is a machine to give back once it is empty.
type ScaleIn struct {
	Machine string
	Reason  string
}

// Terminated reports whether the machine holds nothing any more, or never came up.
func (d ScaleIn) Terminated() bool {
	return d.Reason == ReasonNotListed || d.Reason == ReasonSilent || d.Reason == ReasonSlowBoot
}

// Output is what to rent and to give back.
type Output struct {
	ScaleOut []ScaleOut
	ScaleIn  []ScaleIn
}
