// This file holds what the leader remembers.

package leader

import (
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// State is what the leader remembers of the cloud and of the load. None of it
// is stored: it starts empty with each term, and a leader that stays keeps most of
// it when the membership changes (inherit). Maps are by machine name unless they
// say otherwise.
type State struct {
	fencingToken     uint64 // of the membership that it belongs to
	nextFencingToken uint64 // the first token of the membership after that
	requestCounter   int    // scale-out requests under this token

	listed       map[string]wire.Machine             // machines as the cloud last listed them
	ListedAt     time.Time                           // when the cloud's list was last read
	FirstListed  map[string]time.Time                // when a machine was first listed, or found stored
	MissingLists map[string]int                      // lists in a row that omitted a machine listed before
	ScalingOut   map[string]PendingMachine           // machines that were scaled out and are not listed yet
	noCapacityAt map[autoscale.MachineKind]time.Time // when the cloud last had none of a kind
	terminatedAt map[string]time.Time                // machines terminated while drained and empty, which late lists still show

	roleControllers map[string]*roles.Balancer   // by machine type
	RoleDecisions   map[string]roles.Decision    // the last ones, by machine type
	seenJobs        map[string]bool              // open jobs whose arrival is entered, by job
	roleActiveAt    map[placement.Role]time.Time // when a role last had an open job

	idleSince         map[string]time.Time // since when a machine has no claims
	surplusSince      map[string]time.Time // see autoscale.Input
	quarantinedSince  map[string]time.Time // since when a machine sends heartbeats but takes no tasks
	LastHeard         map[string]time.Time // when a machine was last heard by any controller
	LostWhileDraining []string             // machines that went away while they were drained, with claims on them

	meanBatchTasks     float64        // mean number of tasks that batch work holds, in typical tasks
	meanBatchUpdatedAt time.Time      // when that was last updated
	meanArraySize      float64        // mean number of tasks of arriving job arrays
	lastArrayAt        time.Time      // when the last one arrived
	batchLoad          autoscale.Load // of the class of batch work that holds the most
	onDemandLoad       autoscale.Load // of batch work that may not use spot machines
	onDemandSeenAt     time.Time      // when there last was any
}

// PendingMachine is a machine that was scaled out and has no record yet.
type PendingMachine struct {
	kind        autoscale.MachineKind
	Role        placement.Role // the role that it is to have
	requestedAt time.Time
}

// CurrentTerm returns what the leader remembers under the present fencing
// token, and begins anew if that has changed. The caller holds the lock.
func (ld *Loop) CurrentTerm() *State {
	if ld.Term.fencingToken == ld.Membership.FencingToken {
		return &ld.Term
	}
	old := ld.Term
	ld.Term = newState(ld.Membership.FencingToken, ld.Membership.LastToken()+1)
	if old.fencingToken > 0 && old.nextFencingToken == ld.Membership.FencingToken && old.ScalingOut != nil {
		ld.Term.inheritFrom(&old)
	}
	return &ld.Term
}

// newState is what a leader remembers at the start of a term.
func newState(token, nextToken uint64) State {
	return State{
		fencingToken:     token,
		nextFencingToken: nextToken,
		listed:           map[string]wire.Machine{},
		FirstListed:      map[string]time.Time{},
		MissingLists:     map[string]int{},
		ScalingOut:       map[string]PendingMachine{},
		noCapacityAt:     map[autoscale.MachineKind]time.Time{},
		terminatedAt:     map[string]time.Time{},
		roleControllers:  map[string]*roles.Balancer{},
		RoleDecisions:    map[string]roles.Decision{},
		seenJobs:         map[string]bool{},
		roleActiveAt:     map[placement.Role]time.Time{},
		idleSince:        map[string]time.Time{},
		surplusSince:     map[string]time.Time{},
		quarantinedSince: map[string]time.Time{},
		LastHeard:        map[string]time.Time{},
	}
}

// inheritFrom takes over what the same leader knew of the cloud and of its load under
// the membership before. Role controllers restart empty.
func (ls *State) inheritFrom(old *State) {
	ls.listed, ls.ListedAt, ls.MissingLists = old.listed, old.ListedAt, old.MissingLists
	ls.ScalingOut, ls.noCapacityAt = old.ScalingOut, old.noCapacityAt
	ls.idleSince, ls.LastHeard, ls.FirstListed = old.idleSince, old.LastHeard, old.FirstListed
	ls.quarantinedSince, ls.terminatedAt = old.quarantinedSince, old.terminatedAt
	ls.surplusSince, ls.roleActiveAt = old.surplusSince, old.roleActiveAt
	ls.meanArraySize, ls.lastArrayAt = old.meanArraySize, old.lastArrayAt
	ls.meanBatchTasks, ls.meanBatchUpdatedAt = old.meanBatchTasks, old.meanBatchUpdatedAt
	ls.batchLoad = old.batchLoad
	ls.onDemandLoad, ls.onDemandSeenAt = old.onDemandLoad, old.onDemandSeenAt
}

// updateLastHeard notes that a machine was up at a time.
func (ls *State) updateLastHeard(machine string, at time.Time) {
	if at.After(ls.LastHeard[machine]) {
		ls.LastHeard[machine] = at
	}
}

// RecordSilent notes when a machine that has fallen silent was last heard. The
// caller holds the lock.
func (ld *Loop) RecordSilent(machine string, heardAt time.Time) {
	if ld.Term.LastHeard != nil { // nil: this controller has not led yet
		ld.Term.updateLastHeard(machine, heardAt)
	}
}

// forgetMachine drops what is remembered of a machine that is gone. terminatedAt stays:
// late lists may still show the machine.
func (ls *State) forgetMachine(machine string) {
	delete(ls.listed, machine)
	delete(ls.MissingLists, machine)
	delete(ls.LastHeard, machine)
	delete(ls.FirstListed, machine)
	delete(ls.idleSince, machine)
	delete(ls.quarantinedSince, machine)
}
