// Package server runs a controller node: it ties the decision packages to the
// state service, the cloud, the workers, the users and the sibling nodes.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"wheatspur/internal/cloud"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/quota"
	"wheatspur/internal/recovery"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// Controller is one controller.
type Controller struct {
	settings     *config.Settings
	limits       config.Limits // of the state service, that everything keeps to
	log          *slog.Logger
	now          func() time.Time
	store        store.KeyValueStore
	limiter      *store.Limiter
	cloud        cloud.Provider
	workerClient workerClient

	metrics *metrics

	mu                  sync.Mutex // guards all below
	cache               *store.Cache
	table               *jobs.Table
	syncer              *store.Syncer
	session             membership.SessionState
	self                membership.Node
	sessions            map[string]membership.Node
	storedSessions      map[string]membership.Session // the same, with what they say of their programs
	unreachable         map[string]bool               // nodes that say that they hear no worker
	probes              []string                      // workers' addresses to ask while we are unreachable
	probeAnsweredAt     time.Time                     // when one of them last answered
	unreachableSince    time.Time
	leader              *membership.Node
	membership          *membership.Record
	memberLabels        []string // of its nodes
	inventory           *inventory.Inventory
	shardOwners         map[string]string // of machines under the present membership
	machineIndex        machineIndex
	publishedMachines   map[string]*publishedMachine
	publishedVersion    uint64 // number of the last change in told
	publishedAt         time.Time
	machineTypeList     []wire.MachineType
	machineTypes        map[string]wire.MachineType
	imageSizes          map[string]float64  // sizes of images
	inheritedImages     map[string][]string // images of machines, as their former owners knew them
	workers             map[string]*worker.Worker
	failingWorkers      map[string]*worker.Worker // those whose tasks failed lately
	siblings            map[string]*sibling
	writesInFlight      map[string]bool // a write about the job is under way
	quota               *quota.Manager
	recoveryProgress    *recovery.Progress
	pacer               *recovery.Pacer      // of starts while this node recovers
	queuedWrites        float64              // changes that wait for the budget, a mean over the last passes
	machineWritesLeft   int                  // changes of machine records that the leader has yet to write
	claimsDeferred      bool                 // the last pass wrote ends, and no claim though some were due
	releaseDueSince     map[string]time.Time // chunks with ends to store, since when
	backoffUntil        map[string]time.Time // jobs that lost a race, by when to try again
	preemptedFor        map[string]time.Time // jobs that others were stopped for, by when
	unplaced            map[string]int       // tasks without a place, by job, of the last pass
	pendingReasons      map[string]string
	unplacedSince       map[string]time.Time
	membershipChangedAt time.Time // when our membership last changed
	// The stamp of the last cancellation that is known here, and the time up to
	// which all that users were told of are, beyond the last read.
	lastCancellation uint64
	attestedUntil    time.Time
	leaderState      leaderState

	stopping     atomic.Bool // the node takes nothing new (Drain)
	loopProgress loopTimes

	openConnections func() int // connections of users and workers
	machineWriteMu  sync.Mutex // held while the leader stores machine records

	passWake        chan struct{} // wakes the pass
	membershipWake  chan struct{} // wakes the membership
	callSlots       chan struct{} // bounds direct calls
	submissionSlots chan struct{} // bounds submissions under way

	intake        chan *submission // submissions that wait for their durable write
	intakeCounter atomic.Uint64    // counts intake records
}

// New returns a node that is ready to run.
func New(set *config.Settings, log *slog.Logger) *Controller {
	now := time.Now
	share := tuning.BudgetShare / float64(max(1, len(set.Siblings)+1))
	limits := set.StateLimits()
	lim := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.BudgetQueue, now)
	cloud := cloud.NewClient(set.Endpoints.Cloud, set.Params.Cloud.RPS*tuning.BudgetShare, now)
	return newNode(set, log, now, store.NewClient(set.Endpoints.State, lim), lim, cloud, newHTTPWorkerClient())
}

func newNode(set *config.Settings, log *slog.Logger, now func() time.Time, svc store.KeyValueStore, lim *store.Limiter, cloud cloud.Provider, call workerClient) *Controller {
	n := &Controller{
		settings:          set,
		limits:            set.StateLimits(),
		log:               log,
		now:               now,
		store:             svc,
		limiter:           lim,
		cloud:             cloud,
		workerClient:      call,
		session:           membership.NoLease,
		sessions:          map[string]membership.Node{},
		storedSessions:    map[string]membership.Session{},
		inventory:         inventory.NewInventory(),
		shardOwners:       map[string]string{},
		publishedMachines: map[string]*publishedMachine{},
		quota:             quota.NewManager(quotaTeams(set.Params.Teams), quotaOptions(set)),
		releaseDueSince:   map[string]time.Time{},
		machineTypes:      map[string]wire.MachineType{},
		imageSizes:        map[string]float64{},
		inheritedImages:   map[string][]string{},
		workers:           map[string]*worker.Worker{},
		failingWorkers:    map[string]*worker.Worker{},
		siblings:          map[string]*sibling{},
		writesInFlight:    map[string]bool{},
		backoffUntil:      map[string]time.Time{},
		preemptedFor:      map[string]time.Time{},
		unreachable:       map[string]bool{},
		unplaced:          map[string]int{},
		pendingReasons:    map[string]string{},
		unplacedSince:     map[string]time.Time{},
		passWake:          make(chan struct{}, 1),
		membershipWake:    make(chan struct{}, 1),
		callSlots:         make(chan struct{}, tuning.WorkerCallsMax),
		submissionSlots:   make(chan struct{}, set.Operator.IntakeQueue),
		intake:            make(chan *submission, set.Operator.IntakeQueue),
	}
	n.self.Label = set.Label
	n.recoveryProgress = recovery.NewProgress(now())
	n.pacer = recovery.NewPacer(float64(set.Operator.RecoveryStarts), now())
	n.openConnections = func() int { return 0 }
	n.metrics = newMetrics(n)
	n.table = jobs.NewTable(now)
	n.machineIndex = newMachineIndex()
	n.inventory.OnChange = func(host string) { n.machineIndex.changedRecords[host] = true }
	n.table.OnMachineChange = func(host string) {
		n.machineIndex.markChanged(host)
		if w := n.workers[host]; w != nil {
			w.MarkChanged()
		}
	}
	n.cache = store.NewCache(n.applyStored)
	n.syncer = store.NewSyncer(svc, jobs.Root, &n.mu, n.cache, n.onStoreChange, set.Operator.PollQueue, now, log)
	for _, s := range set.Siblings {
		n.siblings[s.Label] = &sibling{settings: s, client: peer.NewClient(s.Endpoint), machines: map[string]peer.MachineStatus{}}
	}
	return n
}

// Run serves until ctx ends or a listener fails. It returns nil in the first case.
func (n *Controller) Run(ctx context.Context) error {
	ul, err := net.Listen("tcp4", n.settings.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	pl, err := net.Listen("tcp4", n.settings.PeerListen)
	if err != nil {
		ul.Close()
		return fmt.Errorf("peer_listen: %w", err)
	}
	asked := ctx
	g, ctx := errgroup.WithContext(ctx)
	user := n.httpServer(n.serveUser, n.maxConnections())
	bounded := &boundedListener{Listener: ul, max: int64(n.maxConnections()), retryAfterS: n.settings.Operator.RetryAfterSecond}
	n.openConnections = func() int { return int(bounded.open.Load()) }
	peers := n.httpServer(n.servePeer, 2*tuning.PeerConns*(len(n.siblings)+1))
	peers.MaxRequestBodySize = 1 << 20
	g.Go(func() error { return user.Serve(bounded) })
	g.Go(func() error { return peers.Serve(pl) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(ul.Close(), pl.Close())
	})
	g.Go(func() error { return n.syncer.Run(ctx) })
	g.Go(func() error { return n.syncer.ServeBarriers(ctx) })
	g.Go(func() error { return n.runSession(ctx) })
	g.Go(func() error { return n.runMembership(ctx) })
	g.Go(func() error { return n.runProbes(ctx) })
	for range tuning.IntakeLanes {
		g.Go(func() error { return n.runIntake(ctx) })
	}
	g.Go(func() error { return n.runScheduler(ctx) })
	g.Go(func() error { return n.runCloudSync(ctx) })
	g.Go(func() error { return n.runLeader(ctx) })
	for _, s := range n.siblings {
		g.Go(func() error { return n.runPeerExchange(ctx, s) })
	}
	n.log.Info("serving", "node", n.settings.Label, "bind", n.settings.Bind, "peers", len(n.siblings))
	if err := g.Wait(); asked.Err() == nil {
		return err
	}
	return nil // what the closed listeners say
}

// maxConnections is how many connections of users and workers this node takes.
func (n *Controller) maxConnections() int {
	return int(float64(n.settings.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

func (n *Controller) httpServer(h fasthttp.RequestHandler, conns int) *fasthttp.Server {
	return &fasthttp.Server{
		// fasthttp counts a connection until a little after its end.
		Handler: h, Name: "wheatspur", Concurrency: 2 * max(conns, 8),
		ReadTimeout: tuning.ReadTimeout, WriteTimeout: tuning.WriteTimeout, IdleTimeout: tuning.IdleTimeout,
		MaxRequestBodySize: wire.MaxBody, ReadBufferSize: 4096, WriteBufferSize: 4096,
		NoDefaultServerHeader: true, NoDefaultDate: true, ReduceMemoryUsage: true, CloseOnShutdown: true,
		ErrorHandler: badRequest, Logger: discardLogger{},
	}
}

// discardLogger drops fasthttp's own lines; what matters is logged by the handlers.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// wake signals without waiting.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// onStoreChange runs with mu held after each watch response.
func (n *Controller) onStoreChange() {
	wake(n.passWake)
	wake(n.membershipWake)
}

// hasStore reports whether the state service was read lately.
func (n *Controller) hasStore() bool {
	return n.now().Sub(n.syncer.LastReadAt()) < tuning.StoreStaleAfter
}

// healthy decides GET /up: a node without the state service passes users on
// while a sibling has it; if none has, there is nobody better. A node that
// hears no sibling either can't tell, and holds that it alone is cut off.
// Guards against a cut-off node, which refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (n *Controller) healthy() bool {
	if n.draining() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasStore() {
		return n.cache.Consistent()
	}
	alone := len(n.siblings) > 0
	for _, s := range n.siblings {
		if n.isFresh(s) {
			if s.status.HasStore {
				return false
			}
			alone = false
		}
	}
	return !alone && n.cache.Consistent()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// jitter spreads d between half and one and a half.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// silenceTimeout is how long after its last message a machine counts as silent.
func (n *Controller) silenceTimeout() time.Duration {
	return time.Duration(tuning.SilentHeartbeats * float64(n.settings.HeartbeatInterval()))
}

// isQuarantined reports whether a machine should get no tasks for now.
func (n *Controller) isQuarantined(w *worker.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusal) < tuning.RefusalPause
}
