// Package cluster holds what a controller knows of the cluster from the key-value
// store: the cache and the tables fed by it, its own session, the membership, and
// the one lock that guards them and the state of the components that embed State.
// It decides nothing.
package cluster

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

// State is what this controller knows of the cluster from the key-value
// store, and the one lock of the controller.
//
// The lock guards every field of clusterState but those of environment, and
// every field of the components that embed it, except where a field says
// otherwise. A method of a component expects the lock to be held if its comment
// says so; handlers and loops take it themselves. What must be decided on one
// state is decided within one critical section. No call to the store, the
// cloud, a worker or a peer is made with the lock held.
type State struct {
	Environment
	membershipState

	sync.Mutex
	Cache            *store.Cache
	Syncer           *store.Syncer // has locks of its own
	Table            *jobs.Table
	Inventory        *inventory.Inventory
	Quota            *quota.Manager
	MachineTypeList  []wire.MachineType
	MachineTypes     map[string]wire.MachineType
	LastCancellation uint64 // version of the last cancellation that is known here

	QueuedWrites      float64 // operations that wait for the budget, a mean over the last passes
	MachineWritesLeft int     // groups of machine records that the leader has yet to write

	Stopping       atomic.Bool // nothing new is taken (Drain)
	loopProgress   loopTimes
	PassWake       chan struct{} // wakes the scheduler
	MembershipWake chan struct{} // wakes the election
}

// Environment is what a controller is given: nothing in it changes while it
// runs, so the lock is not needed for it.
type Environment struct {
	Settings *config.Settings
	Limits   config.Limits // of the store, that everything keeps to
	Log      *slog.Logger
	Now      func() time.Time
	Store    store.KeyValueStore
	Limiter  *store.Limiter
	Metrics  *metrics
}

// NewEnvironment gathers what a controller is given.
func NewEnvironment(settings *config.Settings, log *slog.Logger, now func() time.Time, kv store.KeyValueStore, limiter *store.Limiter) Environment {
	return Environment{
		Settings: settings,
		Limits:   settings.StateLimits(),
		Log:      log,
		Now:      now,
		Store:    kv,
		Limiter:  limiter,
		Metrics:  newMetrics(),
	}
}

// New returns a state that holds nothing of the store yet.
func New(e Environment) *State {
	return &State{
		Environment: e,
		membershipState: membershipState{
			Self:           membership.Node{Label: e.Settings.Label},
			Session:        membership.NoLease,
			Sessions:       map[string]membership.Node{},
			StoredSessions: map[string]membership.Session{},
			Unreachable:    map[string]bool{},
			shardOwners:    map[string]string{},
		},
		Table:          jobs.NewTable(e.Now),
		Inventory:      inventory.NewInventory(),
		Quota:          quota.NewManager(QuotaTeams(e.Settings.Params.Teams), QuotaOptions(e.Settings)),
		MachineTypes:   map[string]wire.MachineType{},
		PassWake:       make(chan struct{}, 1),
		MembershipWake: make(chan struct{}, 1),
	}
}

// OpenCache connects the state to a cache of the store, which hands every
// changed value to onUpdate with the lock held.
func (cs *State) OpenCache(onUpdate store.UpdateFunc) {
	cs.Cache = store.NewCache(onUpdate)
	cs.Syncer = store.NewSyncer(cs.Store, jobs.Root, cs, cs.Cache, cs.onStoreChange, cs.Settings.Operator.PollQueue, cs.Now, cs.Log)
}

// QuotaTeams are the teams of the settings.
func QuotaTeams(teams []config.Team) []quota.Team {
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

// QuotaOptions are what operators have switched on.
func QuotaOptions(set *config.Settings) quota.Options {
	return quota.Options{Transfers: set.Operator.QuotaTransfers, Reservations: set.Operator.QuotaReservations}
}

// MaxConnections is how many connections of users and workers this node takes.
func (cs *State) MaxConnections() int {
	return int(float64(cs.Settings.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

// onStoreChange runs with the lock held after each watch response.
func (cs *State) onStoreChange() {
	Wake(cs.PassWake)
	Wake(cs.MembershipWake)
}

// HasStore reports whether the state service was read lately.
func (cs *State) HasStore() bool {
	return cs.Now().Sub(cs.Syncer.LastReadAt()) < tuning.StoreStaleAfter
}

// SilenceTimeout is how long after its last message a machine counts as silent.
func (cs *State) SilenceTimeout() time.Duration {
	return time.Duration(tuning.SilentHeartbeats * float64(cs.Settings.HeartbeatInterval()))
}

// MaxGroupBytes is how much JSON a group of machine records may hold.
func (cs *State) MaxGroupBytes() int {
	return int(cs.Limits.ValueKB * 1024 * tuning.GroupFillShare)
}

// GroupKeyOf is the key that holds a machine's record.
func (cs *State) GroupKeyOf(host string) string {
	cs.Lock()
	defer cs.Unlock()
	return cs.Inventory.KeyOf(host)
}

// Wake signals without waiting.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
