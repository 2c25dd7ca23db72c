package autoscale

import (
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// Reasons for terminating a machine. For the first three it holds nothing any
// more, or never came up (Terminated).
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

// MachineKind is what one request to the cloud asks for.
type MachineKind struct {
	MachineType string
	Zone        string
	Spot        bool
}

// Machine is a machine in the plan.
type Machine struct {
	Name             string
	Kind             MachineKind
	Role             placement.Role
	Schedulable      bool          // takes tasks now
	Booting          bool          // not up yet
	Age              time.Duration // since it was requested or first listed
	Idle             time.Duration // without claims
	Movable          bool          // its service tasks have room on machines that hold their images
	Claims           int
	Free             jobs.Resources
	Quarantined      bool   // its tasks fail, or commands to it have no effect
	Silent           bool   // was up, and no heartbeat for longer than a lease
	Missing          bool   // was in the cloud's list, is no more
	HeartbeatOverdue bool   // was up, and its next heartbeat is late
	Group            string // key of its record: machines of one key are changed by one write
}

// Demand is a number of like tasks without a place.
type Demand struct {
	Job             *jobs.Job
	Count           int
	Waiting         time.Duration
	NotScheduledYet bool // no pass has tried to place them yet: schedulable machines may have room
}

// Load is what a role holds now, for its headroom.
type Load struct {
	Tasks        float64        // tasks held, a mean over time for batch
	MinTasks     int            // tasks that the headroom holds at least
	AwaitingBoot float64        // tasks that wait for machines to boot
	Need         jobs.Resources // of a typical task
	Spec         *wire.JobSpec  // a typical job; nil: none is known
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
	OnDemand Load
	// LastNoCapacity says when the cloud last had no machine of a kind.
	LastNoCapacity map[MachineKind]time.Time
	// SurplusSince says since when the plan could do without a machine, by name;
	// Plan keeps it up to date.
	SurplusSince map[string]time.Time
	Draining     int // machines that are being drained of service tasks
	MaxDraining  int // how many may be at once
	MaxGroups    int // groups of records that may be changed to terminate idle machines
	// ActiveRoles says which roles have had work lately; the others need neither
	// floor nor headroom.
	ActiveRoles map[placement.Role]bool
}

// ScaleOut is a number of machines to add for a role.
type ScaleOut struct {
	Kind   MachineKind
	Role   placement.Role
	Count  int
	Reason string
}

// ScaleIn is a machine to terminate once it is empty.
type ScaleIn struct {
	Machine string
	Reason  string
}

// HoldsNothing reports whether the machine holds nothing any more, or never came up.
func (s ScaleIn) HoldsNothing() bool {
	return s.Reason == ReasonNotListed || s.Reason == ReasonSilent || s.Reason == ReasonSlowBoot
}

// Output is what to add and what to terminate.
type Output struct {
	ScaleOut []ScaleOut
	ScaleIn  []ScaleIn
}
