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
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// clusterState is what this controller knows of the cluster from the key-value
// store, and the one lock of the controller.
//
// The lock guards every field of clusterState but those of environment, and
// every field of the components that embed it, except where a field says
// otherwise. A method of a component expects the lock to be held if its comment
// says so; handlers and loops take it themselves. What must be decided on one
// state is decided within one critical section. No call to the store, the
// cloud, a worker or a peer is made with the lock held.
type clusterState struct {
	environment
	membershipState

	sync.Mutex
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
// runs, so the lock is not needed for it.
type environment struct {
	settings *config.Settings
	limits   config.Limits // of the store, that everything keeps to
	log      *slog.Logger
	now      func() time.Time
	store    store.KeyValueStore
	limiter  *store.Limiter
	metrics  *metrics
}

// newEnvironment gathers what a controller is given.
func newEnvironment(settings *config.Settings, log *slog.Logger, now func() time.Time, kv store.KeyValueStore, limiter *store.Limiter) environment {
	return environment{
		settings: settings,
		limits:   settings.StateLimits(),
		log:      log,
		now:      now,
		store:    kv,
		limiter:  limiter,
		metrics:  newMetrics(),
	}
}

// newClusterState returns a state that holds nothing of the store yet.
func newClusterState(e environment) *clusterState {
	return &clusterState{
		environment: e,
		membershipState: membershipState{
			self:           membership.Node{Label: e.settings.Label},
			session:        membership.NoLease,
			sessions:       map[string]membership.Node{},
			storedSessions: map[string]membership.Session{},
			unreachable:    map[string]bool{},
			shardOwners:    map[string]string{},
		},
		table:          jobs.NewTable(e.now),
		inventory:      inventory.NewInventory(),
		quota:          quota.NewManager(quotaTeams(e.settings.Params.Teams), quotaOptions(e.settings)),
		machineTypes:   map[string]wire.MachineType{},
		passWake:       make(chan struct{}, 1),
		membershipWake: make(chan struct{}, 1),
	}
}

// openCache connects the state to a cache of the store, which hands every
// changed value to onUpdate with the lock held.
func (cs *clusterState) openCache(onUpdate store.UpdateFunc) {
	cs.cache = store.NewCache(onUpdate)
	cs.syncer = store.NewSyncer(cs.store, jobs.Root, cs, cs.cache, cs.onStoreChange, cs.settings.Operator.PollQueue, cs.now, cs.log)
}

// quotaTeams are the teams of the settings.
func quotaTeams(teams []config.Team) []quota.Team {
	out := make([]quota.Team, len(teams))
	for i, t := range teams {
		out[i] = quota.Team{
			Name:      t.Name,
			Limit:     quota.Amount{CPUs: t.CPUsMax, GPUs: t.GPUsMax},
			Guarantee: quota.Amount{CPUs: t.CPUs, GPUs: t.GPUs},
		}
	}
	return out
}

// quotaOptions are what operators have switched on.
func quotaOptions(set *config.Settings) quota.Options {
	return quota.Options{Transfers: set.Operator.QuotaTransfers, Reservations: set.Operator.QuotaReservations}
}

// maxConnections is how many connections of users and workers this node takes.
func (cs *clusterState) maxConnections() int {
	return int(float64(cs.settings.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

// onStoreChange runs with the lock held after each watch response.
func (cs *clusterState) onStoreChange() {
	wake(cs.passWake)
	wake(cs.membershipWake)
}

// hasStore reports whether the state service was read lately.
func (cs *clusterState) hasStore() bool {
	return cs.now().Sub(cs.syncer.LastReadAt()) < tuning.StoreStaleAfter
}

// silenceTimeout is how long after its last message a machine counts as silent.
func (cs *clusterState) silenceTimeout() time.Duration {
	return time.Duration(tuning.SilentHeartbeats * float64(cs.settings.HeartbeatInterval()))
}

// maxGroupBytes is how much JSON a group of machine records may hold.
func (cs *clusterState) maxGroupBytes() int {
	return int(cs.limits.ValueKB * 1024 * tuning.GroupFillShare)
}

// groupKeyOf is the key that holds a machine's record.
func (cs *clusterState) groupKeyOf(host string) string {
	cs.Lock()
	defer cs.Unlock()
	return cs.inventory.KeyOf(host)
}

// wake signals without waiting.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
