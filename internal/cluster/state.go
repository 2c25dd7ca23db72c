// Package cluster holds what a controller knows of the cluster from the key-value
// store: the cache and the tables fed by it, its own session, the membership, and
// the one lock that guards them and the components that embed State. It decides
// nothing, and what is known at run time only is package fleet's.
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

// State is what this controller knows of the cluster from the key-value store, and
// holds the one lock of the controller. The components embed a pointer to it.
//
// The rules of the lock:
//
//   - It guards the fields of State and all that they point to, and the fields of
//     every component that embeds State. Exempt are Environment, which never
//     changes; Syncer, Limiter and Metrics, which have locks of their own; atomic
//     values and the channels that wake loops; pointers from one component to
//     another and to Cache, which are set before the loops run; and what says so at
//     its declaration.
//   - Handlers and loops take it. A method whose comment says "The lock is held"
//     expects it of its caller and never takes or releases it. Any other method
//     either does without it or takes it itself, and then no caller holds it.
//   - What is decided on one state is decided within one critical section.
//   - No call to the store, the cloud, a worker or a peer is made with it held, and
//     nothing waits with it held but for the locks named next, and for the reader of
//     the metrics, which needs no lock. A channel is sent to only where there is
//     room: Wake drops what a loop has yet to take, and a slot for a direct call is
//     taken only after a look at how many are.
//   - The locks of Syncer, Limiter, Metrics and Log may be taken while it is held;
//     nobody who holds one of them takes it. The leader's lock of machine writes is
//     taken before it.
type State struct {
	Environment
	membershipState

	sync.Mutex
	Cache            *store.Cache                // versions of the stored keys
	Syncer           *store.Syncer               // feeds Cache
	Table            *jobs.Table                 // jobs, tasks and claims as stored
	Inventory        *inventory.Inventory        // machine records as stored
	Quota            *quota.Manager              // shares of the teams' limits and guarantees
	MachineTypeList  []wire.MachineType          // as stored; replaced as a whole, so that a copy may be read without the lock
	MachineTypes     map[string]wire.MachineType // the same by label
	LastCancellation uint64                      // version of the last cancellation that is known here

	QueuedWrites      float64 // operations that wait for this controller's share of the store's budget, a mean over the last passes
	MachineWritesLeft int     // groups of machine records that the leader has yet to write

	Stopping       atomic.Bool   // a clean stop has begun: nothing new is accepted
	loopProgress   loopTimes     // see RecordProgress
	PassWake       chan struct{} // wakes the scheduler
	MembershipWake chan struct{} // wakes the election
}

// Environment is what a controller is given when it is built. Nothing in it is
// replaced while the controller runs, so that the lock is not needed for it.
type Environment struct {
	Settings *config.Settings
	Limits   config.Limits // of the store; every request keeps to them
	Log      *slog.Logger
	Now      func() time.Time
	Store    store.KeyValueStore
	Limiter  *store.Limiter // bounds the requests to the store
	Metrics  *Metrics
}

// NewEnvironment returns an environment, with the store's limits from the settings
// and with metrics of its own.
func NewEnvironment(settings *config.Settings, log *slog.Logger, now func() time.Time, kv store.KeyValueStore, limiter *store.Limiter) Environment {
	return Environment{
		Settings: settings,
		Limits:   settings.StoreLimits(),
		Log:      log,
		Now:      now,
		Store:    kv,
		Limiter:  limiter,
		Metrics:  newMetrics(),
	}
}

// New returns a state that knows nothing of the store yet. OpenCache has to follow.
func New(env Environment) *State {
	return &State{
		Environment: env,
		membershipState: membershipState{
			Self:           membership.Node{Label: env.Settings.Label},
			Session:        membership.NoLease,
			Sessions:       map[string]membership.Node{},
			StoredSessions: map[string]membership.Session{},
			Unreachable:    map[string]bool{},
			shardOwners:    map[string]string{},
		},
		Table:          jobs.NewTable(env.Now),
		Inventory:      inventory.NewInventory(),
		Quota:          quota.NewManager(QuotaTeams(env.Settings.Params.Teams), QuotaOptions(env.Settings)),
		MachineTypes:   map[string]wire.MachineType{},
		PassWake:       make(chan struct{}, 1),
		MembershipWake: make(chan struct{}, 1),
	}
}

// OpenCache gives the state an empty cache of the store, which calls onUpdate with
// every changed value and the lock held. It comes before anything runs.
func (cs *State) OpenCache(onUpdate store.UpdateFunc) {
	cs.Cache = store.NewCache(onUpdate)
	cs.Syncer = store.NewSyncer(cs.Store, jobs.Root, cs, cs.Cache, cs.onStoreChange, cs.Settings.Operator.PollQueue, cs.Now, cs.Log)
}

// QuotaTeams returns the limits and guarantees of the settings' teams.
func QuotaTeams(teams []config.Team) []quota.Team {
	out := make([]quota.Team, len(teams))
	for i, team := range teams {
		out[i] = quota.Team{
			Name:      team.Name,
			Limit:     quota.Amount{CPUs: team.CPUsMax, GPUs: team.GPUsMax},
			Guarantee: quota.Amount{CPUs: team.CPUs, GPUs: team.GPUs},
		}
	}
	return out
}

// QuotaOptions returns the parts of quota that the operators have switched on.
func QuotaOptions(settings *config.Settings) quota.Options {
	return quota.Options{Transfers: settings.Operator.QuotaTransfers, Reservations: settings.Operator.QuotaReservations}
}

// MaxConnections is how many connections of users and workers this controller
// accepts at once. The lock is not needed.
func (cs *State) MaxConnections() int {
	return int(float64(cs.Settings.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

// onStoreChange wakes the loops that decide by what is stored, after each read that
// the cache was fed with. The lock is held.
func (cs *State) onStoreChange() {
	Wake(cs.PassWake)
	Wake(cs.MembershipWake)
}

// HasStore reports whether the store was read recently enough for decisions to rest
// on it. The lock is not needed.
func (cs *State) HasStore() bool {
	return cs.Now().Sub(cs.Syncer.LastReadAt()) < tuning.StoreStaleAfter
}

// SilenceTimeout is how long after a worker's last message its machine counts as
// silent. The lock is not needed.
func (cs *State) SilenceTimeout() time.Duration {
	return time.Duration(tuning.SilentHeartbeats * float64(cs.Settings.HeartbeatInterval()))
}

// MaxGroupBytes is how many bytes of JSON a group of machine records may hold. The
// lock is not needed.
func (cs *State) MaxGroupBytes() int {
	return int(cs.Limits.ValueKB * tuning.BytesPerKB * tuning.GroupFillShare)
}

// MachineGroupKey returns the key that holds a machine's record, "" if it has none. It
// takes the lock.
func (cs *State) MachineGroupKey(machine string) string {
	cs.Lock()
	defer cs.Unlock()
	return cs.Inventory.KeyOf(machine)
}

// Wake signals a loop without waiting: a signal that the loop has yet to take serves.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
