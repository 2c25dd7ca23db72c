// This file defines the leader's in-memory state.

package leader

import (
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/placement"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// TermState is the leader's in-memory state about the cloud and the load. It is never stored and
// starts empty with each term; a leader that stays the leader through a membership change keeps
// most of it (see inheritFrom). Maps are keyed by machine name unless stated otherwise.
type TermState struct {
	fencingToken     uint64 // of the membership under which the state was created
	nextFencingToken uint64 // the first token of the next membership
	requestCounter   int    // number of scale-out requests under fencingToken

	listed       map[string]wire.Machine             // machines as last listed by the cloud
	ListedAt     time.Time                           // when the cloud's list was last read
	FirstListed  map[string]time.Time                // when a machine was first listed, or first found stored but not listed
	MissingLists map[string]int                      // number of lists in a row that omitted a stored machine
	ScalingOut   map[string]PendingMachine           // machines that were scaled out and are not listed yet
	noCapacityAt map[autoscale.MachineKind]time.Time // when the cloud last lacked machines of a kind, by kind
	terminatedAt map[string]time.Time                // when a drained, empty machine was terminated; delayed lists may still show it

	roleBalancers map[string]*roles.Balancer   // by machine type
	RoleDecisions map[string]roles.Decision    // the last decision, by machine type
	seenJobs      map[string]bool              // open jobs whose arrival has been recorded, by job ID
	roleActiveAt  map[placement.Role]time.Time // when a role last had an open job, by role

	idleSince         map[string]time.Time // since when a machine has had no claims
	surplusSince      map[string]time.Time // see autoscale.Input
	quarantinedSince  map[string]time.Time // since when a machine has sent heartbeats but taken no tasks
	LastHeardAt       map[string]time.Time // when a machine was last heard by any controller
	LostWhileDraining []string             // machines that were lost while draining with claims on them

	meanBatchTasks     float64        // moving average of the batch load, in tasks of the typical class
	meanBatchUpdatedAt time.Time      // when meanBatchTasks was last updated
	meanArraySize      float64        // moving average of the number of tasks of arriving job arrays
	lastArrayAt        time.Time      // when the last job array arrived
	batchLoad          autoscale.Load // load of the batch class with the largest share of machines
	onDemandLoad       autoscale.Load // load of batch jobs that may not use spot machines
	onDemandSeenAt     time.Time      // when a job of onDemandLoad was last open or waiting
}

// PendingMachine is a machine that was scaled out and has no record yet.
type PendingMachine struct {
	kind        autoscale.MachineKind
	Role        placement.Role // the role for which it was scaled out
	requestedAt time.Time
}

// CurrentTerm returns the state for the current fencing token. If the token has changed, it starts
// with a new state, which inherits from the old one only if this controller was also the leader
// under the previous membership. The caller holds the lock.
func (ld *Loop) CurrentTerm() *TermState {
	if ld.Term.fencingToken == ld.Membership.FencingToken {
		return &ld.Term
	}
	old := ld.Term
	ld.Term = newState(ld.Membership.FencingToken, ld.Membership.LastToken()+1)
	if old.fencingToken > 0 && old.nextFencingToken == ld.Membership.FirstToken() && old.ScalingOut != nil {
		ld.Term.inheritFrom(&old)
	}
	return &ld.Term
}

// newState returns the empty state with which a term starts.
func newState(token, nextToken uint64) TermState {
	return TermState{
		fencingToken:     token,
		nextFencingToken: nextToken,
		listed:           map[string]wire.Machine{},
		FirstListed:      map[string]time.Time{},
		MissingLists:     map[string]int{},
		ScalingOut:       map[string]PendingMachine{},
		noCapacityAt:     map[autoscale.MachineKind]time.Time{},
		terminatedAt:     map[string]time.Time{},
		roleBalancers:    map[string]*roles.Balancer{},
		RoleDecisions:    map[string]roles.Decision{},
		seenJobs:         map[string]bool{},
		roleActiveAt:     map[placement.Role]time.Time{},
		idleSince:        map[string]time.Time{},
		surplusSince:     map[string]time.Time{},
		quarantinedSince: map[string]time.Time{},
		LastHeardAt:      map[string]time.Time{},
	}
}

// inheritFrom takes over the state of the cloud and the load from the same leader's previous term.
// Role balancers start empty.
func (ls *TermState) inheritFrom(old *TermState) {
	ls.listed, ls.ListedAt, ls.MissingLists = old.listed, old.ListedAt, old.MissingLists
	ls.ScalingOut, ls.noCapacityAt = old.ScalingOut, old.noCapacityAt
	ls.idleSince, ls.LastHeardAt, ls.FirstListed = old.idleSince, old.LastHeardAt, old.FirstListed
	ls.quarantinedSince, ls.terminatedAt = old.quarantinedSince, old.terminatedAt
	ls.surplusSince, ls.roleActiveAt = old.surplusSince, old.roleActiveAt
	ls.meanArraySize, ls.lastArrayAt = old.meanArraySize, old.lastArrayAt
	ls.meanBatchTasks, ls.meanBatchUpdatedAt = old.meanBatchTasks, old.meanBatchUpdatedAt
	ls.batchLoad = old.batchLoad
	ls.onDemandLoad, ls.onDemandSeenAt = old.onDemandLoad, old.onDemandSeenAt
}

// updateLastHeard records that a machine was heard at a time, unless a later time is known.
func (ls *TermState) updateLastHeard(machine string, at time.Time) {
	if at.After(ls.LastHeardAt[machine]) {
		ls.LastHeardAt[machine] = at
	}
}

// RecordLastHeard records when a machine that has become silent was last heard. The caller holds
// the lock.
func (ld *Loop) RecordLastHeard(machine string, heardAt time.Time) {
	if ld.Term.LastHeardAt != nil { // nil if this controller has never been the leader
		ld.Term.updateLastHeard(machine, heardAt)
	}
}

// forgetMachine removes the state of a machine that no longer exists, except terminatedAt, since
// delayed lists may still show the machine.
func (ls *TermState) forgetMachine(machine string) {
	delete(ls.listed, machine)
	delete(ls.MissingLists, machine)
	delete(ls.LastHeardAt, machine)
	delete(ls.FirstListed, machine)
	delete(ls.idleSince, machine)
	delete(ls.quarantinedSince, machine)
}
