package controller

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/fleet"
	"wheatspur/internal/jobs"
	"wheatspur/internal/leader"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// clock is a fake clock that all parts of a test share.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

var machineTypes = []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, FetchGBPerS: 1, Price: 4, SpotPrice: 1, StartupS: 30, Zones: []string{"z"}}}

// unanswered is a worker side that never answers direct calls.
type unanswered struct{}

func (unanswered) SendCommands(string, wire.CommandRequest) (int, *wire.Heartbeat, error) {
	return 0, nil, store.ErrOutcomeUnknown
}

func (unanswered) Probe(string) error { return store.ErrOutcomeUnknown }

const (
	lease  = 30 * time.Second
	cancel = 60 * time.Second
)

// access is one node's way to the state service.
type access struct {
	*fake.Store
	mu     sync.Mutex
	refuse bool     // it alone is refused, or all are in an outage
	cut    bool     // it is refused after the last of these
	late   int      // so many transactions get no answer and wait in held
	held   []func() // carries them out
	slow   func()   // runs between a watch's answer and its arrival
}

func (a *access) refuses() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.refuse
}

func (a *access) List(ctx context.Context, prefix, after string) (wire.ListResponse, error) {
	if a.refuses() {
		return wire.ListResponse{}, store.ErrRejected
	}
	return a.Store.List(ctx, prefix, after)
}

func (a *access) CompareAndSwap(ctx context.Context, c store.Class, guards []wire.Compare, then []wire.Operation) (uint64, error) {
	a.mu.Lock()
	if a.refuse {
		a.mu.Unlock()
		return 0, store.ErrRejected
	}
	if a.late > 0 {
		a.late--
		a.refuse = a.cut && a.late == 0
		a.held = append(a.held, func() { _, _ = a.Store.CompareAndSwap(ctx, c, guards, then) })
		a.mu.Unlock()
		return 0, store.ErrOutcomeUnknown
	}
	a.mu.Unlock()
	return a.Store.CompareAndSwap(ctx, c, guards, then)
}

func (a *access) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	if a.refuses() {
		return wire.WatchResponse{}, store.ErrRejected
	}
	ev, err := a.Store.Watch(ctx, prefix, after, hold)
	a.mu.Lock()
	slow := a.slow
	a.slow = nil
	a.mu.Unlock()
	if slow != nil {
		slow()
	}
	return ev, err
}

// carryOut carries out the transactions that were held.
func (a *access) carryOut() {
	a.mu.Lock()
	held := a.held
	a.held = nil
	a.mu.Unlock()
	for _, f := range held {
		f()
	}
}

// world is a set of nodes with one state service.
type world struct {
	t        testing.TB
	clk      *clock
	st       *fake.Store
	way      map[string]*access // of each node to the state service
	call     fleet.WorkerClient // the workers' side
	cl       *fake.Cloud
	nodes    map[string]*Controller
	sequence uint64
	// Nodes that exchange nothing with their siblings.
	silent map[string]bool
	// operator changes the settings of nodes that are started; nil: nothing.
	operator func(*config.Settings)
}

func newWorld(t testing.TB, labels ...string) *world {
	t.Helper()
	return newWorldWith(t, unanswered{}, labels...)
}

// worldWithMachine is a world of one node and one machine, h1, which has
// reported and shown the node's token.
func worldWithMachine(t testing.TB, role string) (*world, *Controller) {
	t.Helper()
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.addHost("h1", role)
	n.take(w.report("h1", 1, n.membershipToken()))
	return w, n
}

// newWorldWith is a world with a workers' side of its own.
func newWorldWith(t testing.TB, call fleet.WorkerClient, labels ...string) *world {
	t.Helper()
	w := &world{t: t, clk: &clock{t: time.Unix(100000, 0)}, st: fake.NewStore(), way: map[string]*access{}, cl: fake.NewCloud(machineTypes, true), nodes: map[string]*Controller{}, silent: map[string]bool{}}
	w.call = call
	for _, l := range labels {
		w.start(l, labels)
	}
	for range 4 {
		w.settle()
	}
	// The leader's list loop is driven by hand.
	lead := w.leader()
	if err := lead.leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		t.Fatal(err)
	}
	w.sync()
	w.passAll() // the leader shares the teams' limits out
	return w
}

// again is the world with a new process of each node; the former ones are gone.
func (w *world) again(labels ...string) *world {
	w.t.Helper()
	for _, n := range w.nodes {
		w.st.Expire(n.Self.Incarnation)
	}
	w.nodes = map[string]*Controller{}
	for _, l := range labels {
		w.start(l, labels)
	}
	for range 4 {
		w.settle()
	}
	return w
}

func settings(label string, labels []string) *config.Settings {
	s := &config.Settings{Label: label, Operator: config.DefaultOperator()}
	for _, l := range labels {
		if l != label {
			s.Siblings = append(s.Siblings, config.Sibling{Label: l, Endpoint: "127.0.0.1:1"})
		}
	}
	p := &s.Params
	p.Teams = []config.Team{{Name: "x", GPUsMax: 8}}
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = 3, lease.Seconds(), cancel.Seconds()
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 1000, 1000, 4, 12
	p.Cloud.RPS, p.Cloud.ListLagS = 10, 1
	return s
}

func (w *world) start(label string, labels []string) *Controller {
	w.t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	lim := store.NewLimiter(1000, 1000, 64, w.clk.now)
	w.way[label] = &access{Store: w.st}
	set := settings(label, labels)
	if w.operator != nil {
		w.operator(set)
	}
	n := newController(dependencies{Environment: cluster.NewEnvironment(set, log, w.clk.now, w.way[label], lim), cloud: w.cl, workerClient: w.call})
	ctx, stop := context.WithCancel(context.Background())
	w.t.Cleanup(stop)
	go func() { _ = n.Syncer.ServeBarriers(ctx) }()
	go func() { _ = n.api.RunIntake(ctx) }()
	w.nodes[label] = n
	n.Self.Incarnation, _ = w.st.GrantLease(ctx, time.Second)
	n.Session = n.Session.Next(membership.LeaseGranted)
	if err := n.Syncer.Load(ctx); err != nil {
		w.t.Fatal(err)
	}
	return n
}

// sync lets every node read what is stored.
func (w *world) sync() {
	w.t.Helper()
	for _, n := range w.nodes {
		if err := n.Syncer.Refresh(context.Background()); err != nil {
			w.t.Fatal(err)
		}
	}
}

// settle gives every node a step of its membership.
func (w *world) settle() {
	w.sync()
	for _, n := range w.nodes {
		_ = n.election.MembershipStep(context.Background())
	}
	w.sync()
}

func (w *world) leader() *Controller {
	for _, n := range w.nodes {
		n.Lock()
		ok := n.IsLeader()
		n.Unlock()
		if ok {
			return n
		}
	}
	w.t.Fatal("nobody leads")
	return nil
}

// addHost lets the leader list a running machine; its role is the one given.
func (w *world) addHost(host string, role string) {
	w.t.Helper()
	l := w.leader()
	w.cl.Listed = append(w.cl.Listed, wire.Machine{Name: host, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
	l.Lock()
	l.leaderLoop.CurrentLeaderState().ScalingOut[host] = leader.ScaleOutRecord{Role: placeRole(role)}
	l.Unlock()
	l.leaderLoop.ReconcileCloudList(context.Background(), w.cl.Listed)
	w.sync()
}

// owner is the node that a machine is hashed to, and another node if any.
func (w *world) owner(host string) (owner, other *Controller) {
	l := w.leader()
	l.Lock()
	label := l.Membership.Owner(host)
	l.Unlock()
	for name, n := range w.nodes {
		if name != label {
			other = n
		}
	}
	return w.nodes[label], other
}

func (w *world) report(host string, session, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	w.sequence++
	return &wire.Heartbeat{Machine: host, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", Incarnation: session, Sequence: w.sequence, FencingToken: token, Tasks: tasks}
}

func (n *Controller) take(r *wire.Heartbeat) (int, any) {
	n.Lock()
	defer n.Unlock()
	return n.Workers.AnswerHeartbeat(r)
}

// passes runs a node's pass and its writes.
func (w *world) pass(n *Controller) {
	n.Lock()
	txns := n.scheduler.Schedule()
	n.Unlock()
	for _, t := range txns {
		n.scheduler.Commit(context.Background(), t)
	}
}

func (w *world) passAll() {
	for range 2 {
		for _, n := range w.nodes {
			w.pass(n)
		}
		w.sync()
	}
}

// ask sends a user's request to a node's handler.
func ask(n *Controller, method, path string, body any) (int, wire.JobStatus, *fasthttp.RequestCtx) {
	var c fasthttp.RequestCtx
	c.Request.Header.SetMethod(method)
	c.Request.SetRequestURI("http://x" + path)
	switch b := body.(type) {
	case nil:
	case []byte:
		c.Request.SetBody(b)
	default:
		c.Request.SetBody(wire.MustMarshal(b))
	}
	n.serveUser(&c)
	var st wire.JobStatus
	_ = wire.Unmarshal(c.Response.Body(), &st)
	return c.Response.StatusCode(), st, &c
}

func work(jobID string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: jobID, Class: "c", Team: "x", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks,
		CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, EstimateS: 10}
}

func service(jobID string, tasks int) wire.JobSpec {
	w := work(jobID, tasks)
	w.Kind, w.Priority = wire.KindService, wire.PriorityCritical
	return w
}

func (w *world) submit(n *Controller, wk wire.JobSpec) {
	w.t.Helper()
	if code, _, _ := ask(n, "POST", "/work", wk); code != 201 {
		w.t.Fatalf("submission of %s: %d", wk.ID, code)
	}
	w.sync()
}

func (n *Controller) membershipToken() uint64 {
	n.Lock()
	defer n.Unlock()
	return n.Membership.FencingToken
}

func (n *Controller) job(jobID string) jobs.Record {
	n.Lock()
	defer n.Unlock()
	return n.Table.Jobs[jobID].Record
}

func (n *Controller) claimsOn(host string) int {
	n.Lock()
	defer n.Unlock()
	return len(n.Table.ClaimsByMachine[host])
}

func (w *world) exchange(from, to *Controller) {
	from.Lock()
	from.Peers.PublishedAt = time.Time{}
	own := from.Peers.OwnStatus(to.Peers.Siblings[from.Self.Label].MachinesVersion)
	from.Unlock()
	st, err := peer.DecodeStatus(own.Encode())
	if err != nil {
		w.t.Fatal(err)
	}
	to.Peers.ApplyPeerStatus(st, w.clk.now())
}

func commandsOf(t testing.TB, code int, body any) []wire.Command {
	t.Helper()
	o, ok := body.(wire.HeartbeatResponse)
	if code != 200 || !ok {
		t.Fatalf("a report was answered %d %v", code, body)
	}
	return o.Commands
}
