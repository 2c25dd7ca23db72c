// This file holds the leader's memory.

package leader

import (
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// leaderState is the leader's memory; it starts empty with each leadership.
type leaderState struct {
	fencingToken      uint64
	nextFencingToken  uint64 // the token of the membership after it
	requestCounter    int
	listed            map[string]wire.Machine
	ListedAt          time.Time
	MissingLists      map[string]int // lists in a row that omitted a machine listed before
	ScalingOut        map[string]ScaleOutRecord
	noCapacityAt      map[autoscale.MachineKind]time.Time
	roleControllers   map[string]*roles.Controller
	RoleDecisions     map[string]roles.Decision
	seenJobs          map[string]bool
	idleSince         map[string]time.Time         // since when a machine has no claims
	surplusSince      map[string]time.Time         // see fleet.PlanInput
	terminatedAt      map[string]time.Time         // machines given back, which late lists still show
	LostWhileDraining []string                     // machines that went away while they were drained, with claims on them
	quarantinedSince  map[string]time.Time         // since when a machine reports but takes no tasks
	LastHeard         map[string]time.Time         // when a machine was last heard by anybody
	FirstListed       map[string]time.Time         // when a machine was first listed
	roleActiveAt      map[placement.Role]time.Time // when a role last had an open job
	meanBatchTasks    float64
	meanArraySize     float64   // mean number of tasks of arriving arrays
	lastArrayAt       time.Time // when the last one arrived
	meanUpdatedAt     time.Time
	onDemandLoad      autoscale.Load // batch work that may not use spot machines
	onDemandSeenAt    time.Time      // when there last was any
	batchLoad         autoscale.Load // last typical loads
	serviceLoad       autoscale.Load
}

type ScaleOutRecord struct {
	kind        autoscale.MachineKind
	Role        placement.Role
	requestedAt time.Time
}

// CurrentLeaderState returns the leader's memory for the present token; the lock is held.
func (ld *Loop) CurrentLeaderState() *leaderState {
	if ld.LeaderState.fencingToken == ld.Membership.FencingToken {
		return &ld.LeaderState
	}
	old := ld.LeaderState
	ld.LeaderState = newLeaderState(ld.Membership.FencingToken, ld.Membership.LastToken()+1)
	if old.fencingToken > 0 && old.nextFencingToken == ld.Membership.FencingToken && old.ScalingOut != nil {
		ld.LeaderState.inherit(&old)
	}
	return &ld.LeaderState
}

// newLeaderState is the memory of a leadership that begins.
func newLeaderState(token, nextToken uint64) leaderState {
	return leaderState{
		fencingToken:     token,
		nextFencingToken: nextToken,
		listed:           map[string]wire.Machine{},
		MissingLists:     map[string]int{},
		ScalingOut:       map[string]ScaleOutRecord{},
		noCapacityAt:     map[autoscale.MachineKind]time.Time{},
		roleControllers:  map[string]*roles.Controller{},
		RoleDecisions:    map[string]roles.Decision{},
		seenJobs:         map[string]bool{},
		idleSince:        map[string]time.Time{},
		surplusSince:     map[string]time.Time{},
		terminatedAt:     map[string]time.Time{},
		quarantinedSince: map[string]time.Time{},
		LastHeard:        map[string]time.Time{},
		FirstListed:      map[string]time.Time{},
		roleActiveAt:     map[placement.Role]time.Time{},
	}
}

// inherit takes over what the same leader knew of the cloud and of its load under
// the membership before; role counters restart empty.
func (l *leaderState) inherit(old *leaderState) {
	l.listed, l.ListedAt, l.MissingLists = old.listed, old.ListedAt, old.MissingLists
	l.ScalingOut, l.noCapacityAt = old.ScalingOut, old.noCapacityAt
	l.idleSince, l.LastHeard, l.FirstListed = old.idleSince, old.LastHeard, old.FirstListed
	l.quarantinedSince, l.terminatedAt = old.quarantinedSince, old.terminatedAt
	l.surplusSince, l.roleActiveAt = old.surplusSince, old.roleActiveAt
	l.meanArraySize, l.lastArrayAt = old.meanArraySize, old.lastArrayAt
	l.meanBatchTasks, l.meanUpdatedAt = old.meanBatchTasks, old.meanUpdatedAt
	l.batchLoad, l.serviceLoad = old.batchLoad, old.serviceLoad
	l.onDemandLoad, l.onDemandSeenAt = old.onDemandLoad, old.onDemandSeenAt
}

// recordHeard notes that a machine was up at a time.
func (l *leaderState) recordHeard(host string, at time.Time) {
	if at.After(l.LastHeard[host]) {
		l.LastHeard[host] = at
	}
}

// RecordSilent notes when a machine that has fallen silent was last heard; the
// lock is held.
func (ld *Loop) RecordSilent(machine string, heardAt time.Time) {
	if ld.LeaderState.LastHeard != nil {
		ld.LeaderState.recordHeard(machine, heardAt)
	}
}

// forget drops what the leader remembers of a machine.
func (l *leaderState) forget(host string) {
	delete(l.listed, host)
	delete(l.MissingLists, host)
	delete(l.LastHeard, host)
	delete(l.FirstListed, host)
	delete(l.idleSince, host)
	delete(l.quarantinedSince, host)
}
