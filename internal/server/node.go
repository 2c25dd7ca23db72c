// Package server runs a controller node: it ties the decision packages to the
// state service, the cloud, the workers, the users and the sibling nodes.
package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
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
	"wheatspur/internal/place"
	"wheatspur/internal/roles"
	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// typesKey holds the machine types, so that every node knows them, also while
// the cloud is out.
const typesKey = jobs.Root + "types"

// sibling is what is known of another node.
type sibling struct {
	cfg    config.Sibling
	client *peer.Client
	status peer.Status
	at     time.Time
	seen   peer.Seen            // the view of its machines that hosts holds
	seenAt time.Time            // when that was last confirmed
	hosts  map[string]peer.Host // its machines
	// what it attests about cancellations
	attestation member.Attestation
}

// publishedHost is what siblings are told of one of this node's machines.
type publishedHost struct {
	host peer.Host
	view uint64 // of its last change
}

// Node is one controller.
type Node struct {
	set    *config.Settings
	limits config.Limits // of the state service, that everything keeps to
	log    *slog.Logger
	now    func() time.Time
	svc    store.Service
	lim    *store.Limiter
	cloud  fleet.Cloud
	call   caller

	metrics *metrics

	mu             sync.Mutex // guards all below
	cache          *store.Cache
	table          *jobs.Table
	sync           *store.Syncer
	session        member.SessionState
	self           member.Node
	sessions       map[string]member.Node
	versions       map[string]member.Session // the same, with what they say of their programs
	unreachable    map[string]bool           // nodes that say that they hear no worker
	probes         []string                  // workers' addresses to ask while we are unreachable
	probed         time.Time                 // when one of them last answered
	unreachableAt  time.Time
	lead           *member.Node
	member         *member.Record
	reg            *fleet.Register
	owners         map[string]string // of machines under the present membership
	view           fleetView
	published      map[string]*publishedHost
	publishedView  uint64 // number of the last change in told
	viewAt         time.Time
	types          []wire.MachineType
	machineTypes   map[string]wire.MachineType
	imageGB        map[string]float64  // sizes of images
	held           map[string][]string // images of machines, as their former owners knew them
	workers        map[string]*fleet.Worker
	failing        map[string]*fleet.Worker // those whose tasks failed lately
	siblings       map[string]*sibling
	busyJob        map[string]bool           // a write about the job is under way
	busyTeam       map[string]bool           // a write of the team's key is under way
	inFlightClaims map[string]jobs.Resources // claims under way, by team
	inDoubt        []inDoubtWrite
	queuedChanges  float64              // changes that wait for the budget, a mean over the last passes
	storing        int                  // changes of machine records that the leader has yet to write
	shortSince     map[string]time.Time // teams whose work waits for a new share, since when
	sharedAt       map[string]time.Time // when a team's limit was last frozen
	dueSince       map[string]time.Time // chunks with ends to store, since when
	notUntil       map[string]time.Time // jobs that lost a race, by when to try again
	preemptedFor   map[string]time.Time // jobs that others were stopped for, by when
	unmet          map[string]int       // tasks without a place, by job, of the last pass
	why            map[string]string
	unmetAt        map[string]time.Time
	raisedAt       time.Time // when our membership last changed
	// The stamp of the last cancellation that is known here, and the time up to
	// which all that users were told of are, beyond the last read.
	cancelled uint64
	certain   time.Time
	leading   leading

	open       func() int // connections of users and workers
	hostWrites sync.Mutex // held while the leader stores machine records

	passWake   chan struct{} // wakes the pass
	memberWake chan struct{} // wakes the membership
	calls      chan struct{} // bounds direct calls
	takes      chan struct{} // bounds submissions under way

	intake   chan *submission // submissions that wait for their durable write
	intakeNo atomic.Uint64    // counts intake records
}

// leading is the leader's memory; it starts empty with each leadership.
type leading struct {
	token        uint64
	nextToken    uint64 // the token of the membership after it
	counter      int
	listed       map[string]wire.Host
	listAt       time.Time
	absent       map[string]int // lists in a row that omitted a machine listed before
	rented       map[string]rental
	refused      map[fleet.Kind]time.Time
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
	kind fleet.Kind
	role place.Role
	at   time.Time
}

// New returns a node that is ready to run.
func New(set *config.Settings, log *slog.Logger) *Node {
	now := time.Now
	share := tuning.BudgetShare / float64(max(1, len(set.Siblings)+1))
	limits := set.StateLimits()
	lim := store.NewLimiter(limits.RPS*share, limits.WriteRPS*share, tuning.BudgetQueue, now)
	cloud := fleet.NewCloudClient(set.Endpoints.Cloud, set.Params.Cloud.RPS*tuning.BudgetShare, now)
	return newNode(set, log, now, store.NewClient(set.Endpoints.State, lim), lim, cloud, newWorkerCaller())
}

func newNode(set *config.Settings, log *slog.Logger, now func() time.Time, svc store.Service, lim *store.Limiter, cloud fleet.Cloud, call caller) *Node {
	n := &Node{
		set: set, limits: set.StateLimits(), log: log, now: now, svc: svc, lim: lim, cloud: cloud, call: call,
		session: member.NoLease, sessions: map[string]member.Node{}, versions: map[string]member.Session{}, reg: fleet.NewRegister(), owners: map[string]string{}, published: map[string]*publishedHost{},
		inFlightClaims: map[string]jobs.Resources{}, shortSince: map[string]time.Time{}, sharedAt: map[string]time.Time{}, dueSince: map[string]time.Time{},
		machineTypes: map[string]wire.MachineType{}, imageGB: map[string]float64{}, held: map[string][]string{}, workers: map[string]*fleet.Worker{}, failing: map[string]*fleet.Worker{}, siblings: map[string]*sibling{},
		busyJob: map[string]bool{}, busyTeam: map[string]bool{}, notUntil: map[string]time.Time{},
		preemptedFor: map[string]time.Time{}, unreachable: map[string]bool{},
		unmet: map[string]int{}, why: map[string]string{}, unmetAt: map[string]time.Time{},
		passWake: make(chan struct{}, 1), memberWake: make(chan struct{}, 1),
		calls: make(chan struct{}, tuning.WorkerCallsMax), takes: make(chan struct{}, set.Operator.IntakeQueue),
		intake: make(chan *submission, set.Operator.IntakeQueue),
	}
	n.self.Label = set.Label
	n.open = func() int { return 0 }
	n.metrics = newMetrics(n)
	n.table = jobs.NewTable(now)
	n.view = newFleetView()
	n.reg.Moved = func(host string) { n.view.records[host] = true }
	n.table.Moved = func(host string) {
		n.view.touch(host)
		if w := n.workers[host]; w != nil {
			w.Changed()
		}
	}
	n.cache = store.NewCache(n.sink)
	n.sync = store.NewSyncer(svc, jobs.Root, &n.mu, n.cache, n.changed, set.Operator.PollQueue, now, log)
	for _, s := range set.Siblings {
		n.siblings[s.Label] = &sibling{cfg: s, client: peer.NewClient(s.Endpoint), hosts: map[string]peer.Host{}}
	}
	return n
}

// Run serves until ctx ends or a listener fails.
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
	g.Go(func() error { return n.sync.Barriers(ctx) })
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
	return g.Wait()
}

// userConns is how many connections of users and workers this node takes.
func (n *Node) userConns() int {
	return int(float64(n.set.Params.Limits.MaxConnections) * tuning.ConnShare)
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

// sink takes changed values from the cache; mu is held.
func (n *Node) sink(key string, v wire.Raw, version uint64) {
	if err := n.applyRecord(key, v, version); err != nil {
		n.log.Error("stored record can't be read", "key", key, "stamp", version, "err", err)
	}
}

func (n *Node) applyRecord(key string, v wire.Raw, version uint64) error {
	switch {
	case strings.HasPrefix(key, jobs.JobPrefix):
		jobID := strings.TrimPrefix(key, jobs.JobPrefix)
		err := n.table.ApplyJob(jobID, v)
		if j := n.table.Jobs[jobID]; err != nil || j != nil && j.Record.Phase == jobs.Cancelled {
			n.cancelled = max(n.cancelled, version)
		}
		return err
	case strings.HasPrefix(key, jobs.IntakePrefix):
		return n.table.ApplyIntake(key, v, version)
	case strings.HasPrefix(key, jobs.ChunkPrefix):
		return n.table.ApplyChunk(key, v)
	case strings.HasPrefix(key, jobs.TeamPrefix):
		return n.table.ApplyTeam(strings.TrimPrefix(key, jobs.TeamPrefix), v)
	case strings.HasPrefix(key, fleet.GroupPrefix), strings.HasPrefix(key, fleet.HostPrefix):
		return n.reg.Apply(key, v)
	case strings.HasPrefix(key, member.NodePrefix):
		label := strings.TrimPrefix(key, member.NodePrefix)
		if v == nil {
			delete(n.sessions, label)
			delete(n.versions, label)
			return nil
		}
		s, err := member.DecodeSession(v)
		if err == nil {
			n.sessions[label], n.versions[label] = s.Node, *s
		}
		return err
	case strings.HasPrefix(key, member.UnreachablePrefix):
		label := strings.TrimPrefix(key, member.UnreachablePrefix)
		if v == nil {
			delete(n.unreachable, label)
		} else {
			n.unreachable[label] = true
		}
	case key == member.LeadKey:
		n.lead = nil
		if v == nil {
			return nil
		}
		m, err := member.DecodeNode(v)
		n.lead = m
		return err
	case key == member.Key:
		return n.applyMembership(v)
	case key == typesKey:
		var r wire.MachineTypes
		if v == nil {
			return nil
		}
		if err := wire.Unmarshal(v, &r); err != nil {
			return err
		}
		n.types, n.view.stale = r.Types, true
		clear(n.machineTypes)
		for _, t := range r.Types {
			n.machineTypes[t.Label] = t
		}
	}
	return nil
}

func (n *Node) applyMembership(v wire.Raw) error {
	if v == nil {
		n.member = nil
		return nil
	}
	var r member.Record
	if err := wire.Unmarshal(v, &r); err != nil {
		return err
	}
	last := n.member
	n.member = &r
	n.raisedAt = n.now()
	clear(n.owners)
	clear(n.published)
	// Who takes a machine over knows its images from what its former owner
	// told. Guards against fetches beside machines that hold the image.
	clear(n.held)
	for _, s := range n.siblings {
		for host, h := range s.hosts {
			n.held[host] = h.Images
		}
	}
	// A machine that was ours under the last membership and is under this one
	// has had no other owner: what it has proven stands. Guards against a
	// fleet that takes nothing until each machine has reported, with every node
	// that comes or goes, and against tasks behind a cut that nobody may release.
	next := last != nil && r.Follows(last) && last.Has(n.self) && r.Has(n.self)
	for host, w := range n.workers {
		n.held[host] = w.Images
		if n.ownerOf(host) != n.self.Label {
			// What another owner does meanwhile makes this view worthless.
			delete(n.workers, host)
		} else if !next || last.Owner(host) != n.self.Label {
			w.RaiseToken()
		}
	}
	n.resetView()
	n.shareBudget()
	n.log.Info("membership", "baton", r.Token, "leader", r.Leader.Label, "nodes", len(r.Nodes))
	return nil
}

// ownerOf is the member that a machine is hashed to; mu is held.
func (n *Node) ownerOf(host string) string {
	o, ok := n.owners[host]
	if !ok {
		o = n.member.Owner(host)
		if n.reg.Key(host) != "" {
			n.owners[host] = o // bounded by what is stored
		}
	}
	return o
}

// shareBudget sets this node's part of the state service's budget: requests in
// equal parts; of the changes one half in equal parts, two of them to the
// leader, which also stores machines, roles and limits, and the other half by
// what waits at each node, while every member tells it. Guards against most of
// the budget lying idle at nodes that have little to store. mu is held.
func (n *Node) shareBudget() {
	live := float64(max(1, len(n.member.Nodes)))
	parts := 1 / (live + 1)
	if n.member.Leader == n.self {
		parts *= 2
	}
	allKnown, sum := true, n.queuedChanges
	for _, m := range n.member.Nodes {
		if m == n.self {
			continue
		}
		s := n.siblings[m.Label]
		if allKnown = allKnown && s != nil && n.freshSibling(s) && s.status.Incarnation == m.Incarnation; !allKnown {
			break
		}
		sum += float64(s.status.QueuedChanges)
	}
	if allKnown && sum >= 1 {
		parts = (parts + n.queuedChanges/sum) / 2
	}
	n.lim.SetRate(n.limits.RPS*tuning.BudgetShare/live, n.limits.WriteRPS*tuning.BudgetShare*parts)
}

// entitled reports whether this node is a member of the newest membership it
// knows; mu is held.
func (n *Node) entitled() bool {
	return n.member != nil && n.session == member.Registered && n.member.Has(n.self) && n.cache.Settled()
}

// leads reports whether this node is the leader; mu is held.
func (n *Node) leads() bool {
	return n.entitled() && n.member.Leader == n.self && n.lead != nil && *n.lead == n.self
}

// pipelines reports whether every member reads jobs that are stored waiting; mu
// is held. A node that does not would run such a job at once if it took it in,
// and would stop its tasks on its machines.
func (n *Node) pipelines() bool {
	return n.member != nil && n.member.Knows(member.FormPipelines, n.versions)
}

// spans reports whether every node with a session knows of memberships that
// span several tokens; mu is held.
func (n *Node) spans() bool {
	for label, s := range n.sessions {
		if v := n.versions[label]; v.Node != s || v.Form < member.FormSpans {
			return false
		}
	}
	return true
}

// hasState reports whether the state service was read lately.
func (n *Node) hasState() bool { return n.now().Sub(n.sync.Fresh()) < tuning.StateStale }

// superseded reports whether a sibling that reads the state service knows a
// newer membership, so that this node should hand its workers over; mu is held.
func (n *Node) superseded() bool {
	if n.member == nil {
		return false
	}
	for _, s := range n.siblings {
		if n.freshSibling(s) && s.status.HasState && s.status.Token > n.member.Token {
			return true
		}
	}
	return false
}

func (n *Node) freshSibling(s *sibling) bool {
	return !s.at.IsZero() && n.now().Sub(s.at) < tuning.PeerFresh
}

// healthy decides GET /up: a node without the state service passes users on
// while a sibling has it; if none has, there is nobody better. A node that
// hears no sibling either can't tell, and holds that it alone is cut off.
// Guards against a cut-off node, which refuses every request and closes its
// connections, drawing all users as the one with the fewest.
func (n *Node) healthy() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.hasState() {
		return n.cache.Settled()
	}
	alone := len(n.siblings) > 0
	for _, s := range n.siblings {
		if n.freshSibling(s) {
			if s.status.HasState {
				return false
			}
			alone = false
		}
	}
	return !alone && n.cache.Settled()
}

// runMember keeps the session, the leadership and the membership.
func (n *Node) runMember(ctx context.Context) error {
	var touched time.Time
	for ctx.Err() == nil {
		n.mu.Lock()
		state, leaseID, settled := n.session, n.self.Incarnation, n.cache.Settled()
		n.mu.Unlock()
		switch {
		case state == member.NoLease:
			id, err := n.svc.Lease(ctx, tuning.SessionTTL)
			if err != nil {
				n.log.Info("no lease yet", "err", err)
				sleep(ctx, tuning.RetryPause)
				continue
			}
			touched = n.now()
			n.mu.Lock()
			n.self.Incarnation = id
			n.session = n.session.Next(member.GotLease)
			n.mu.Unlock()
			continue
		case n.now().Sub(touched) >= tuning.SessionTouch:
			touched = n.now()
			if err := n.svc.Touch(ctx, leaseID); errors.Is(err, store.ErrNoLease) {
				n.endSession()
				continue
			} else if err != nil {
				n.log.Debug("session not renewed", "err", err)
				touched = n.now().Add(tuning.RetryPause - tuning.SessionTouch)
			}
		}
		if settled {
			if err := n.memberStep(ctx); err != nil {
				n.log.Debug("membership step failed", "err", err)
				if errors.Is(err, store.ErrNoLease) {
					n.endSession()
				} else {
					_ = n.sync.Barrier(tuning.BarrierWait)
				}
			}
		}
		left := tuning.SessionTouch - n.now().Sub(touched)
		select {
		case <-ctx.Done():
		case <-n.memberWake:
			sleep(ctx, 10*time.Millisecond)
		case <-time.After(max(left, 10*time.Millisecond)):
		}
	}
	return nil
}

func (n *Node) endSession() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.session = n.session.Next(member.LeaseEnded)
	n.log.Info("session ended")
}

// memberStep stores the session key, takes the lead or writes the membership.
func (n *Node) memberStep(ctx context.Context) error {
	n.mu.Lock()
	key := member.NodeKey(n.self.Label)
	var guards []wire.Guard
	var change wire.Change
	reachabilityChanged := false // the change is about it
	stored := n.sessions[n.self.Label] == n.self
	if n.session == member.Registered && !stored {
		// Guards against a late write of a former process of this node.
		n.session = member.Leased
	}
	if n.session == member.Leased && stored {
		n.session = n.session.Next(member.Stored)
	}
	if n.session == member.Leased {
		guards = []wire.Guard{n.cache.Guard(key)}
		session := member.Session{Node: n.self, Form: member.Form, Version: tuning.Version}
		change = wire.Change{Set: key, Value: wire.MustMarshal(session), LeaseID: n.self.Incarnation}
	} else {
		now := n.now()
		unreachable := n.reachability(now).Next()
		a := member.Decide(member.View{Self: n.self, Sessions: n.sessions, Unreachable: n.unreachable, Lead: n.lead, Member: n.member, Spans: n.spans()})
		switch {
		case unreachable != n.unreachable[n.self.Label]:
			guards = []wire.Guard{n.cache.Guard(key)}
			change = wire.Change{Drop: member.UnreachableKey(n.self.Label)}
			if unreachable {
				change = wire.Change{Set: member.UnreachableKey(n.self.Label), Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation}
				n.chooseProbes(now)
			}
			reachabilityChanged = true
		case a.TakeLead:
			guards = []wire.Guard{n.cache.Guard(member.LeadKey), n.cache.Guard(key)}
			change = wire.Change{Set: member.LeadKey, Value: wire.MustMarshal(n.self), LeaseID: n.self.Incarnation}
		case a.Write != nil:
			guards = []wire.Guard{n.cache.Guard(member.LeadKey), n.cache.Guard(member.Key)}
			change = wire.Change{Set: member.Key, Value: wire.MustMarshal(a.Write)}
		default:
			n.mu.Unlock()
			return nil
		}
	}
	n.mu.Unlock()
	changes := []wire.Change{change}
	revision, err := n.svc.Multi(ctx, store.ClassLease, guards, changes)
	if err != nil {
		return err
	}
	if reachabilityChanged {
		// Not before: a node that is cut off tries again and again.
		n.log.Info("reachability of workers changes", "unreachable", change.Set != "")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if change.Set != member.Key {
		// The membership comes by watch only: everything stored before it must
		// be in the cache before it counts.
		n.cache.Own(changes, revision)
	}
	if change.Set == key {
		n.session = n.session.Next(member.Stored)
	}
	wake(n.memberWake)
	return nil
}

// reachability sums up whether this node hears its workers; mu is held.
func (n *Node) reachability(now time.Time) member.Reachability {
	e := member.Reachability{Unreachable: n.unreachable[n.self.Label]}
	if n.member == nil || !n.entitled() {
		return e
	}
	if e.Unreachable {
		if now.Sub(n.unreachableAt) > tuning.UnreachableMin {
			e.Answered = len(n.probes) == 0 || n.probed.After(n.unreachableAt)
		}
		return e
	}
	silent := n.silentAfter()
	for host, w := range n.workers {
		if n.ownerOf(host) != n.self.Label || w.Heard.IsZero() {
			continue
		}
		if now.Sub(w.Heard) < silent {
			e.Heard++
		} else if len(n.table.Hosts[host]) > 0 && now.Sub(n.raisedAt) > silent {
			e.Silent++
		}
	}
	for _, s := range n.siblings {
		if !n.freshSibling(s) {
			continue
		}
		for _, h := range s.hosts {
			if !h.Silent {
				e.SiblingsReachable = true
				break
			}
		}
	}
	return e
}

// chooseProbes remembers workers to ask until one answers; mu is held.
func (n *Node) chooseProbes(now time.Time) {
	n.probes, n.unreachableAt, n.probed = nil, now, time.Time{}
	for _, w := range n.workers {
		if w.Address != "" && len(n.probes) < tuning.ReachabilityProbes {
			n.probes = append(n.probes, w.Address)
		}
	}
}

// runProbes asks workers, while this node is unreachable, whether they reach it again.
func (n *Node) runProbes(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, n.set.Report())
		n.mu.Lock()
		var ask []string
		if n.unreachable[n.self.Label] {
			ask = n.probes
		}
		n.mu.Unlock()
		for _, address := range ask {
			if n.call.show(address) != nil {
				continue
			}
			n.mu.Lock()
			n.probed = n.now()
			n.mu.Unlock()
			wake(n.memberWake)
			break
		}
	}
	return nil
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

// runPeer exchanges statuses with one sibling.
func (n *Node) runPeer(ctx context.Context, s *sibling) error {
	for ctx.Err() == nil {
		n.mu.Lock()
		own := n.ownStatus(peer.Seen{})
		own.Seen = s.seen
		n.mu.Unlock()
		own.Hosts, own.Whole = nil, false // they come with the answer to the sibling's own
		asked := n.now()
		st, err := s.client.Exchange(own.Encode(), tuning.PeerTimeout)
		if err == nil {
			n.notePeer(st, asked)
		}
		sleep(ctx, tuning.PeerEvery)
	}
	return nil
}

// notePeer enters a sibling's status. If it answers one of ours, asked is when
// that was sent, and the changes of its machines since the view that we have
// come with it; else asked is zero.
func (n *Node) notePeer(st peer.Status, asked time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.siblings[st.Label]
	if s == nil {
		return
	}
	now := n.now()
	seen := peer.Seen{View: st.View, Token: st.Token, Incarnation: st.Incarnation}
	answer := !asked.IsZero()
	if answer {
		n.applyAttestation(s, st, asked, now)
	}
	if answer && (st.Whole || seen.Token == s.seen.Token && seen.Incarnation == s.seen.Incarnation) {
		if st.Whole {
			for host := range s.hosts {
				n.view.touch(host)
			}
			clear(s.hosts)
		}
		for _, h := range st.Hosts {
			n.view.touch(h.Name)
			s.hosts[h.Name] = h
			if h.Silent && n.leading.heard != nil {
				n.leading.hear(h.Name, now.Add(-h.Age))
			}
		}
		s.seen, s.seenAt = seen, now
	}
	st.Hosts = nil
	s.status, s.at = st, now
	if n.member != nil && st.Token > n.member.Token {
		wake(n.memberWake)
	}
}

// applyAttestation enters what a sibling says of cancellations, and how far all of them
// are known by it; mu is held.
func (n *Node) applyAttestation(s *sibling, st peer.Status, asked, now time.Time) {
	if !st.Counts || st.Incarnation == 0 {
		s.attestation = member.Attestation{}
		return
	}
	s.attestation = s.attestation.Update(st.Incarnation, st.Cancelled, asked, now)
	all := make([]member.Attestation, 0, len(n.siblings))
	for _, o := range n.siblings {
		all = append(all, o.attestation)
	}
	if at := member.KnownUntil(n.sync.Fresh(), n.cache.Revision(), all); at.After(n.certain) {
		n.certain = at
	}
}

// knownUntil is the time up to which every cancellation that a user was told of
// is in the cache; mu is held.
func (n *Node) knownUntil() time.Time {
	if fresh := n.sync.Fresh(); fresh.After(n.certain) {
		return fresh
	}
	return n.certain
}

// ownStatus is this node's status, with what has changed of its machines since
// the view that a sibling has; mu is held.
func (n *Node) ownStatus(seen peer.Seen) peer.Status {
	now := n.now()
	st := peer.Status{Label: n.self.Label, Incarnation: n.self.Incarnation, Revision: n.cache.Revision(), HasState: n.hasState() && n.cache.Settled()}
	if n.member != nil {
		st.Token = n.member.Token
	}
	if n.entitled() && now.Sub(n.viewAt) >= tuning.ViewEvery {
		n.viewAt = now
		n.refreshPublished(now)
	}
	st.Counts, st.Cancelled = n.cache.Settled(), n.cancelled
	st.QueuedChanges = uint32(math.Ceil(n.queuedChanges))
	st.View = n.publishedView
	st.Whole = seen.Token != st.Token || seen.Incarnation != st.Incarnation || seen.View > n.publishedView
	if n.entitled() {
		for _, t := range n.published {
			if st.Whole || t.view > seen.View {
				st.Hosts = append(st.Hosts, t.host)
			}
		}
	}
	return st
}

// refreshPublished notes what has changed of this node's machines; mu is held.
func (n *Node) refreshPublished(now time.Time) {
	silent := n.silentAfter()
	for host, w := range n.unpublished(now) {
		if w.Heard.IsZero() {
			continue
		}
		h := peer.Host{Name: host, Session: w.Session, Silent: now.Sub(w.Heard) > silent, Proven: w.State == fleet.Proven,
			Notice: -1, Suspect: n.unfit(w, now)}
		if !w.TakenAt.IsZero() {
			h.Notice = 0
		}
		t := n.published[host]
		if t == nil {
			t = &publishedHost{}
			n.published[host] = t
		} else if o := t.host; o.Session == h.Session && o.Silent == h.Silent && o.Proven == h.Proven && o.Notice == h.Notice &&
			o.Suspect == h.Suspect && slices.Equal(o.Images, w.Images) {
			continue
		}
		h.Age = now.Sub(w.Heard)
		h.Images = slices.Clone(w.Images)
		n.publishedView++
		t.host, t.view = h, n.publishedView
	}
}

// unpublished lists the workers whose machines may differ from what siblings are
// told of them: those that something has changed for, and every so often all, for
// those that have fallen silent; mu is held.
func (n *Node) unpublished(now time.Time) map[string]*fleet.Worker {
	v := &n.view
	some := n.workers
	if now.Sub(v.publishedAll) < tuning.SweepEvery && !now.Before(v.publishedAll) {
		some = make(map[string]*fleet.Worker, len(v.unpublished))
		for host := range v.unpublished {
			if w := n.workers[host]; w != nil {
				some[host] = w
			}
		}
	} else {
		v.publishedAll = now
	}
	clear(v.unpublished)
	return some
}

// silentAfter is how long after its last message a machine counts as silent.
func (n *Node) silentAfter() time.Duration {
	return time.Duration(tuning.SilentReports * float64(n.set.Report()))
}

// unfit reports whether a machine should get no tasks for now.
func (n *Node) unfit(w *fleet.Worker, now time.Time) bool {
	return w.Unresponsive || len(w.Errors) >= tuning.HostErrorsMax || now.Sub(w.Refused) < tuning.NoRoomPause
}
