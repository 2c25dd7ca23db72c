// Package cluster holds what a controller knows about the cluster from the key-value store: the
// cache and the tables that it feeds, the controller's own session, the membership, and the
// one lock that guards them and the components that embed State. It makes no decisions.
// What is known only at run time is kept in package fleet.
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

// State is what this controller knows about the cluster from the key-value store. It holds the
// one lock of the controller, and the components embed a pointer to it.
//
// The rules of the lock:
//
//   - It guards the fields of State and everything they point to, and the fields of every
//     component that embeds State. Exempt are Environment, which never changes; Syncer,
//     Limiter and Metrics, which do their own locking; atomic values and the channels that
//     wake loops; pointers from one component to another and to Cache, which are set before
//     the loops run; and whatever is declared as exempt.
//   - Handlers and loops take it. A method whose comment says "The lock is held" expects its
//     caller to hold it, and never takes or releases it. Any other method either works
//     without it or takes it itself, and then must not be called with it held.
//   - A decision that rests on one view of the state is made within one critical section.
//   - No call to the store, the cloud, a worker or a peer is made while it is held. Nothing
//     blocks while it is held, except on the locks named below and on the reader of the
//     metrics, which needs no lock. Sends to channels do not block: Wake drops the signal if
//     one is pending, and a slot for a direct call is taken only after checking that one is
//     free.
//   - The locks of Syncer, Limiter, Metrics and Log may be taken while it is held, but it is
//     never taken while one of them is held. The leader's lock of machine writes is taken
//     before it.
type State struct {
	Environment
	membershipState

	sync.Mutex
	Cache            *store.Cache                // versions of the stored keys
	Syncer           *store.Syncer               // feeds Cache
	Table            *jobs.Table                 // jobs, tasks and claims as stored
	Inventory        *inventory.Inventory        // machine records as stored
	Quota            *quota.Manager              // shares of the limits and guarantees of teams
	MachineTypeList  []wire.MachineType          // as stored; replaced as a whole, so that a copy of the slice can be read without the lock
	MachineTypes     map[string]wire.MachineType // the same, by label
	LastCancellation uint64                      // version of the last cancellation that this controller knows

	QueuedWrites      float64 // writes that wait for this controller's share of the store's rate limit, averaged over the last passes
	MachineWritesLeft int     // groups of machine records that the leader still has to write

	Stopping       atomic.Bool   // a graceful stop has begun, and nothing new is accepted
	loopProgress   loopTimes     // see RecordProgress
	PassWake       chan struct{} // wakes the scheduler
	MembershipWake chan struct{} // wakes the election
}

// Environment holds what a controller is given when it is created. Nothing in it is replaced
// while the controller runs, so it can be read without the lock.
type Environment struct {
	Settings *config.Settings
	Limits   config.StoreLimits // of the store; every request stays within them
	Log      *slog.Logger
	Now      func() time.Time
	Store    store.KeyValueStore
	Limiter  *store.Limiter // limits the rate of requests to the store
	Metrics  *Metrics
}

// NewEnvironment returns an environment with the store's limits from the settings and with new
// metrics.
func NewEnvironment(settings *config.Settings, log *slog.Logger, now func() time.Time, kv store.KeyValueStore, limiter *store.Limiter) Environment {
	return Environment{
		Settings: settings,
		Limits:   settings.EffectiveStoreLimits(),
		Log:      log,
		Now:      now,
		Store:    kv,
		Limiter:  limiter,
		Metrics:  newMetrics(),
	}
}

// New returns a state that knows nothing from the store yet. OpenCache must be called next.
func New(env Environment) *State {
	return &State{
		Environment: env,
		membershipState: membershipState{
			Self:           membership.Controller{Label: env.Settings.Label},
			Session:        membership.NoLease,
			Sessions:       map[string]membership.Controller{},
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

// OpenCache gives the state an empty cache of the store, which calls onUpdate with every
// changed value while the lock is held. It must be called before any loop runs.
func (cs *State) OpenCache(onUpdate store.UpdateFunc) {
	cs.Cache = store.NewCache(onUpdate)
	cs.Syncer = store.NewSyncer(cs.Store, jobs.RootPrefix, cs, cs.Cache, cs.onStoreChange, cs.Settings.Operator.PollQueue, cs.Now, cs.Log)
}

// QuotaTeams returns the limits and guarantees of the teams in the settings.
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

// QuotaOptions returns the optional quota features that the operators have enabled.
func QuotaOptions(settings *config.Settings) quota.Options {
	return quota.Options{Transfers: settings.Operator.QuotaTransfers, Reservations: settings.Operator.QuotaReservations}
}

// MaxConnections returns the number of connections from users and workers that this controller
// accepts at the same time. The lock is not needed.
func (cs *State) MaxConnections() int {
	return int(float64(cs.Settings.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

// onStoreChange wakes the loops whose decisions depend on what is stored. It is called after
// each read that was fed to the cache. The lock is held.
func (cs *State) onStoreChange() {
	Wake(cs.PassWake)
	Wake(cs.MembershipWake)
}

// StoreReadRecently reports whether the last read of the store is recent enough to base decisions
// on. The lock is not needed.
func (cs *State) StoreReadRecently() bool {
	return cs.Now().Sub(cs.Syncer.LastReadAt()) < tuning.StoreStaleAfter
}

// SilenceTimeout returns the time after a worker's last message after which its machine counts
// as silent. The lock is not needed.
func (cs *State) SilenceTimeout() time.Duration {
	return time.Duration(tuning.UnschedulableHeartbeats * float64(cs.Settings.HeartbeatInterval()))
}

// MaxRecordGroupBytes returns the maximum size of a group of machine records, in bytes of JSON. The
// lock is not needed.
func (cs *State) MaxRecordGroupBytes() int {
	return int(cs.Limits.ValueKB * tuning.BytesPerKB * tuning.GroupFillShare)
}

// MachineGroupKey returns the key that holds the record of a machine, or "" if it has no
// record. It takes the lock.
func (cs *State) MachineGroupKey(machine string) string {
	cs.Lock()
	defer cs.Unlock()
	return cs.Inventory.RecordKey(machine)
}

// Wake signals a loop without blocking. A signal that is still pending is enough, so the new
// one is dropped.
func Wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
