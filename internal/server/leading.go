// This file holds the leader's memory.

package server

import (
	"time"

	"wheatspur/internal/fleet"
	"wheatspur/internal/place"
	"wheatspur/internal/roles"
	"wheatspur/wire"
)

// leading is the leader's memory; it starts empty with each leadership.
type leading struct {
	token        uint64
	nextToken    uint64 // the token of the membership after it
	counter      int
	listed       map[string]wire.Machine
	listAt       time.Time
	absent       map[string]int // lists in a row that omitted a machine listed before
	rented       map[string]rental
	refused      map[fleet.MachineKind]time.Time
	control      map[string]*roles.Controller
	decision     map[string]roles.Decision
	seenJobs     map[string]bool
	idle         map[string]time.Time     // since when a machine has no claims
	surplusSince map[string]time.Time     // see fleet.PlanInput
	gone         map[string]time.Time     // machines given back, which late lists still show
	lost         []string                 // machines that went away while they were drained, with claims on them
	unfit        map[string]time.Time     // since when a machine reports but takes no tasks
	heard        map[string]time.Time     // when a machine was last heard by anybody
	since        map[string]time.Time     // when a machine was first listed
	active       map[place.Role]time.Time // when a role last had an open job
	batchAvg     float64
	batchSize    float64   // mean number of tasks of arriving arrays
	batchSeen    time.Time // when the last one arrived
	avgAt        time.Time
	plain        fleet.Load // batch work that may not use spot machines
	plainSeen    time.Time  // when there last was any
	batch        fleet.Load // last typical loads
	service      fleet.Load
}

type rental struct {
	kind fleet.MachineKind
	role place.Role
	at   time.Time
}

// leadMemory returns the leader's memory for the present token; mu is held.
func (n *Node) leadMemory() *leading {
	if n.leading.token == n.member.FencingToken {
		return &n.leading
	}
	old := n.leading
	n.leading = newLeading(n.member.FencingToken, n.member.LastToken()+1)
	if old.token > 0 && old.nextToken == n.member.FencingToken && old.rented != nil {
		n.leading.keep(&old)
	}
	return &n.leading
}

// newLeading is the memory of a leadership that begins.
func newLeading(token, nextToken uint64) leading {
	return leading{
		token:        token,
		nextToken:    nextToken,
		listed:       map[string]wire.Machine{},
		absent:       map[string]int{},
		rented:       map[string]rental{},
		refused:      map[fleet.MachineKind]time.Time{},
		control:      map[string]*roles.Controller{},
		decision:     map[string]roles.Decision{},
		seenJobs:     map[string]bool{},
		idle:         map[string]time.Time{},
		surplusSince: map[string]time.Time{},
		gone:         map[string]time.Time{},
		unfit:        map[string]time.Time{},
		heard:        map[string]time.Time{},
		since:        map[string]time.Time{},
		active:       map[place.Role]time.Time{},
	}
}

// keep takes over what the same leader knew of the cloud and of its load under
// the membership before; role counters restart empty.
func (l *leading) keep(old *leading) {
	l.listed, l.listAt, l.absent = old.listed, old.listAt, old.absent
	l.rented, l.refused = old.rented, old.refused
	l.idle, l.heard, l.since = old.idle, old.heard, old.since
	l.unfit, l.gone = old.unfit, old.gone
	l.surplusSince, l.active = old.surplusSince, old.active
	l.batchSize, l.batchSeen = old.batchSize, old.batchSeen
	l.batchAvg, l.avgAt = old.batchAvg, old.avgAt
	l.batch, l.service = old.batch, old.service
	l.plain, l.plainSeen = old.plain, old.plainSeen
}

// hear notes that a machine was up at a time.
func (l *leading) hear(host string, at time.Time) {
	if at.After(l.heard[host]) {
		l.heard[host] = at
	}
}
