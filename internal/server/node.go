// Package server runs a controller node: it ties the decision packages to the
// state service, the cloud, the workers, the users and the sibling nodes.
package server

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

	"wheatspur/internal/config"
	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/member"
	"wheatspur/internal/peer"
	"wheatspur/internal/quota"
	"wheatspur/internal/recovery"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// Node is one controller.
type Node struct {
	set    *config.Settings
	limits config.Limits // of the state service, that everything keeps to
	log    *slog.Logger
	now    func() time.Time
	svc    store.KeyValueStore
	lim    *store.Limiter
	cloud  fleet.Provider
	call   caller

	metrics *metrics

	mu            sync.Mutex // guards all below
	cache         *store.Cache
	table         *jobs.Table
	sync          *store.Syncer
	session       member.SessionState
	self          member.Node
	sessions      map[string]member.Node
	versions      map[string]member.Session // the same, with what they say of their programs
	unreachable   map[string]bool           // nodes that say that they hear no worker
	probes        []string                  // workers' addresses to ask while we are unreachable
	probed        time.Time                 // when one of them last answered
	unreachableAt time.Time
	lead          *member.Node
	member        *member.Record
	memberLabels  []string // of its nodes
	reg           *fleet.Inventory
	owners        map[string]string // of machines under the present membership
	view          fleetView
	published     map[string]*publishedHost
	publishedView uint64 // number of the last change in told
	viewAt        time.Time
	types         []wire.MachineType
	machineTypes  map[string]wire.MachineType
	imageGB       map[string]float64  // sizes of images
	held          map[string][]string // images of machines, as their former owners knew them
	workers       map[string]*fleet.Worker
	failing       map[string]*fleet.Worker // those whose tasks failed lately
	siblings      map[string]*sibling
	busyJob       map[string]bool // a write about the job is under way
	quota         *quota.Manager
	recovery      *recovery.Progress
	pacer         *recovery.Pacer      // of starts while this node recovers
	queuedChanges float64              // changes that wait for the budget, a mean over the last passes
	storing       int                  // changes of machine records that the leader has yet to write
	claimsWaited  bool                 // the last pass wrote ends, and no claim though some were due
	dueSince      map[string]time.Time // chunks with ends to store, since when
	notUntil      map[string]time.Time // jobs that lost a race, by when to try again
	preemptedFor  map[string]time.Time // jobs that others were stopped for, by when
	unmet         map[string]int       // tasks without a place, by job, of the last pass
	why           map[string]string
	unmetAt       map[string]time.Time
	raisedAt      time.Time // when our membership last changed
	// The stamp of the last cancellation that is known here, and the time up to
	// which all that users were told of are, beyond the last read.
	cancelled uint64
	certain   time.Time
	leading   leading

	stopping atomic.Bool // the node takes nothing new (Drain)
	beats    heartbeats

	open       func() int // connections of users and workers
	hostWrites sync.Mutex // held while the leader stores machine records

	passWake   chan struct{} // wakes the pass
	memberWake chan struct{} // wakes the membership
	calls      chan struct{} // bounds direct calls
	takes      chan struct{} // bounds submissions under way

	intake   chan *submission // submissions that wait for their durable write
	intakeNo atomic.Uint64    // counts intake records
}

// New returns a node that is ready to run.
func New(set *config.Settings, log *slog.Logger) *Node {
	now := time.Now
	share := tuning.BudgetShare / float64(max(1, len(set.Siblings)+1))
	limits := set.StateLimits()
	lim := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.BudgetQueue, now)
	cloud := fleet.NewClient(set.Endpoints.Cloud, set.Params.Cloud.RPS*tuning.BudgetShare, now)
	return newNode(set, log, now, store.NewClient(set.Endpoints.State, lim), lim, cloud, newWorkerCaller())
}

func newNode(set *config.Settings, log *slog.Logger, now func() time.Time, svc store.KeyValueStore, lim *store.Limiter, cloud fleet.Provider, call caller) *Node {
	n := &Node{
		set:          set,
		limits:       set.StateLimits(),
		log:          log,
		now:          now,
		svc:          svc,
		lim:          lim,
		cloud:        cloud,
		call:         call,
		session:      member.NoLease,
		sessions:     map[string]member.Node{},
		versions:     map[string]member.Session{},
		reg:          fleet.NewInventory(),
		owners:       map[string]string{},
		published:    map[string]*publishedHost{},
		quota:        quota.NewManager(quotaTeams(set.Params.Teams), quotaOptions(set)),
		dueSince:     map[string]time.Time{},
		machineTypes: map[string]wire.MachineType{},
		imageGB:      map[string]float64{},
		held:         map[string][]string{},
		workers:      map[string]*fleet.Worker{},
		failing:      map[string]*fleet.Worker{},
		siblings:     map[string]*sibling{},
		busyJob:      map[string]bool{},
		notUntil:     map[string]time.Time{},
		preemptedFor: map[string]time.Time{},
		unreachable:  map[string]bool{},
		unmet:        map[string]int{},
		why:          map[string]string{},
		unmetAt:      map[string]time.Time{},
		passWake:     make(chan struct{}, 1),
		memberWake:   make(chan struct{}, 1),
		calls:        make(chan struct{}, tuning.WorkerCallsMax),
		takes:        make(chan struct{}, set.Operator.IntakeQueue),
		intake:       make(chan *submission, set.Operator.IntakeQueue),
	}
	n.self.Label = set.Label
	n.recovery = recovery.NewProgress(now())
	n.pacer = recovery.NewPacer(float64(set.Operator.RecoveryStarts), now())
	n.open = func() int { return 0 }
	n.metrics = newMetrics(n)
	n.table = jobs.NewTable(now)
	n.view = newFleetView()
	n.reg.OnChange = func(host string) { n.view.records[host] = true }
	n.table.OnMachineChange = func(host string) {
		n.view.touch(host)
		if w := n.workers[host]; w != nil {
			w.MarkChanged()
		}
	}
	n.cache = store.NewCache(n.sink)
	n.sync = store.NewSyncer(svc, jobs.Root, &n.mu, n.cache, n.changed, set.Operator.PollQueue, now, log)
	for _, s := range set.Siblings {
		n.siblings[s.Label] = &sibling{cfg: s, client: peer.NewClient(s.Endpoint), hosts: map[string]peer.MachineStatus{}}
	}
	return n
}

// Run serves until ctx ends or a listener fails. It returns nil in the first case.
func (n *Node) Run(ctx context.Context) error {
	ul, err := net.Listen("tcp4", n.set.Bind)
	if err != nil {
		return fmt.Errorf("bind: %w", err)
	}
	pl, err := net.Listen("tcp4", n.set.PeerListen)
	if err != nil {
		ul.Close()
		return fmt.Errorf("peer_listen: %w", err)
	}
	asked := ctx
	g, ctx := errgroup.WithContext(ctx)
	user := n.httpServer(n.serveUser, n.userConns())
	bounded := &boundedListener{Listener: ul, most: int64(n.userConns()), after: n.set.Operator.RetryAfterSecond}
	n.open = func() int { return int(bounded.open.Load()) }
	peers := n.httpServer(n.servePeer, 2*tuning.PeerConns*(len(n.siblings)+1))
	peers.MaxRequestBodySize = 1 << 20
	g.Go(func() error { return user.Serve(bounded) })
	g.Go(func() error { return peers.Serve(pl) })
	g.Go(func() error {
		<-ctx.Done()
		return errors.Join(ul.Close(), pl.Close())
	})
	g.Go(func() error { return n.sync.Run(ctx) })
	g.Go(func() error { return n.sync.ServeBarriers(ctx) })
	g.Go(func() error { return n.runSession(ctx) })
	g.Go(func() error { return n.runMember(ctx) })
	g.Go(func() error { return n.runProbes(ctx) })
	for range tuning.IntakeLanes {
		g.Go(func() error { return n.runIntake(ctx) })
	}
	g.Go(func() error { return n.runPass(ctx) })
	g.Go(func() error { return n.runCloud(ctx) })
	g.Go(func() error { return n.runLead(ctx) })
	for _, s := range n.siblings {
		g.Go(func() error { return n.runPeer(ctx, s) })
	}
	n.log.Info("serving", "node", n.set.Label, "bind", n.set.Bind, "peers", len(n.siblings))
	if err := g.Wait(); asked.Err() == nil {
		return err
	}
	return nil // what the closed listeners say
}

// userConns is how many connections of users and workers this node takes.
func (n *Node) userConns() int {
	return int(float64(n.set.Params.Limits.MaxConnections) * tuning.ConnectionShare)
}

func (n *Node) httpServer(h fasthttp.RequestHandler, conns int) *fasthttp.Server {
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

// changed runs with mu held after each watch response.
func (n *Node) changed() {
	wake(n.passWake)
	wake(n.memberWake)
}

// hasState reports whether the state service was read lately.
func (n *Node) hasState() bool { return n.now().Sub(n.sync.LastReadAt()) < tuning.StoreStaleAfter }

// healthy decides GET /up: a node without the state service passes users on
// while a sibling has it; if none has, there is nobody better. A node that
// hears no sibling either can't tell, and holds that it alone is cut off.
// Guards against a cut-off node, which refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (n *Node) healthy() bool {
	if n.draining() {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasState() {
		return n.cache.Consistent()
	}
	alone := len(n.siblings) > 0
	for _, s := range n.siblings {
		if n.freshSibling(s) {
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

// silentAfter is how long after its last message a machine counts as silent.
func (n *Node) silentAfter() time.Duration {
	return time.Duration(tuning.SilentHeartbeats * float64(n.set.Report()))
}

// unfit reports whether a machine should get no tasks for now.
func (n *Node) unfit(w *fleet.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.FailedJobs) >= tuning.MachineFailuresMax || now.Sub(w.LastRefusal) < tuning.RefusalPause
}
