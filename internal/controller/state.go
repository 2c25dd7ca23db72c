package controller

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/quota"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// clusterState is what this controller knows of the cluster from the key-value
// store, and the one lock of the controller.
//
// mu guards every field of clusterState but those of environment, and every
// field of the components that embed it, except where a field says otherwise.
// A method of a component expects mu to be held if its comment says so; the
// exported methods of Controller, the handlers and the loops (run...) take it
// themselves. What must be decided on one state is decided within one critical
// section; no call to the store, the cloud, a worker or a peer is made with mu
// held.
type clusterState struct {
	environment
	membershipState

	mu               sync.Mutex
	cache            *store.Cache
	syncer           *store.Syncer // has locks of its own
	table            *jobs.Table
	inventory        *inventory.Inventory
	quota            *quota.Manager
	machineTypeList  []wire.MachineType
	machineTypes     map[string]wire.MachineType
	lastCancellation uint64 // version of the last cancellation that is known here

	queuedWrites      float64 // operations that wait for the budget, a mean over the last passes
	machineWritesLeft int     // groups of machine records that the leader has yet to write

	stopping       atomic.Bool // nothing new is taken (Drain)
	loopProgress   loopTimes
	passWake       chan struct{} // wakes the scheduler
	membershipWake chan struct{} // wakes the election
}

// environment is what a controller is given: nothing in it changes while it
// runs, so mu is not needed for it.
type environment struct {
	settings *config.Settings
	limits   config.Limits // of the store, that everything keeps to
	log      *slog.Logger
	now      func() time.Time
	store    store.KeyValueStore
	limiter  *store.Limiter
	metrics  *metrics
}

// membershipState is this controller's own session, and the sessions, the leader
// and the membership as stored.
type membershipState struct {
	self                membership.Node
	session             membership.SessionState
	sessions            map[string]membership.Node
	storedSessions      map[string]membership.Session // the same, with what they say of their programs
	unreachable         map[string]bool               // controllers that say that they hear no worker
	leader              *membership.Node
	membership          *membership.Record
	memberLabels        []string          // of the membership's nodes
	membershipChangedAt time.Time         // when the membership last changed here
	shardOwners         map[string]string // of machines, under this membership; filled as they are asked for
}

func newClusterState(d dependencies) *clusterState {
	return &clusterState{
		environment: environment{
			settings: d.settings,
			limits:   d.settings.StateLimits(),
			log:      d.log,
			now:      d.now,
			store:    d.store,
			limiter:  d.limiter,
		},
		membershipState: membershipState{
			self:           membership.Node{Label: d.settings.Label},
			session:        membership.NoLease,
			sessions:       map[string]membership.Node{},
			storedSessions: map[string]membership.Session{},
			unreachable:    map[string]bool{},
			shardOwners:    map[string]string{},
		},
		table:          jobs.NewTable(d.now),
		inventory:      inventory.NewInventory(),
		quota:          quota.NewManager(quotaTeams(d.settings.Params.Teams), quotaOptions(d.settings)),
		machineTypes:   map[string]wire.MachineType{},
		passWake:       make(chan struct{}, 1),
		membershipWake: make(chan struct{}, 1),
	}
}
