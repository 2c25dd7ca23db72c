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

// fakeClock is a fake clock that all parts of a test share.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) add(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

var machineTypes = []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, FetchGBPerS: 1, Price: 4, SpotPrice: 1, StartupS: 30, Zones: []string{"z"}}}

// unreachableWorkers is a worker side that never answers direct calls.
type unreachableWorkers struct{}

func (unreachableWorkers) SendCommands(string, wire.CommandRequest) (int, *wire.Heartbeat, error) {
	return 0, nil, store.ErrOutcomeUnknown
}

func (unreachableWorkers) Probe(string) error { return store.ErrOutcomeUnknown }

const (
	leaseDuration = 30 * time.Second
	cancelBound   = 60 * time.Second
)

// storeLink is one node's way to the state service.
type storeLink struct {
	*fake.Store
	mu                 sync.Mutex
	rejecting          bool     // it alone is refused, or all are in an outage
	rejectAfterDelayed bool     // it is refused after the last of these
	delayNext          int      // so many transactions get no answer and wait in held
	delayed            []func() // carries them out
	afterWatch         func()   // runs between a watch's answer and its arrival
}

func (link *storeLink) isRejecting() bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	return link.rejecting
}

func (link *storeLink) List(ctx context.Context, prefix, after string) (wire.ListResponse, error) {
	if link.isRejecting() {
		return wire.ListResponse{}, store.ErrRejected
	}
	return link.Store.List(ctx, prefix, after)
}

func (link *storeLink) CompareAndSwap(ctx context.Context, c store.Class, guards []wire.Compare, then []wire.Operation) (uint64, error) {
	link.mu.Lock()
	if link.rejecting {
		link.mu.Unlock()
		return 0, store.ErrRejected
	}
	if link.delayNext > 0 {
		link.delayNext--
		link.rejecting = link.rejectAfterDelayed && link.delayNext == 0
		link.delayed = append(link.delayed, func() { _, _ = link.Store.CompareAndSwap(ctx, c, guards, then) })
		link.mu.Unlock()
		return 0, store.ErrOutcomeUnknown
	}
	link.mu.Unlock()
	return link.Store.CompareAndSwap(ctx, c, guards, then)
}

func (link *storeLink) Watch(ctx context.Context, prefix string, after uint64, hold time.Duration) (wire.WatchResponse, error) {
	if link.isRejecting() {
		return wire.WatchResponse{}, store.ErrRejected
	}
	ev, err := link.Store.Watch(ctx, prefix, after, hold)
	link.mu.Lock()
	slow := link.afterWatch
	link.afterWatch = nil
	link.mu.Unlock()
	if slow != nil {
		slow()
	}
	return ev, err
}

// applyDelayed carries out the transactions that were held.
func (link *storeLink) applyDelayed() {
	link.mu.Lock()
	held := link.delayed
	link.delayed = nil
	link.mu.Unlock()
	for _, f := range held {
		f()
	}
}

// testEnv is a set of nodes with one state service.
type testEnv struct {
	t            testing.TB
	clock        *fakeClock
	store        *fake.Store
	links        map[string]*storeLink // of each node to the state service
	workerClient fleet.WorkerClient    // the workers' side
	cloud        *fake.Cloud
	controllers  map[string]*Controller
	sequence     uint64
	// Nodes that exchange nothing with their siblings.
	isolated map[string]bool
	// configure changes the settings of nodes that are started; nil: nothing.
	configure func(*config.Settings)
}

func newTestEnv(t testing.TB, labels ...string) *testEnv {
	t.Helper()
	return newTestEnvWithWorkers(t, unreachableWorkers{}, labels...)
}

// newEnvWithMachine is a world of one node and one machine, h1, which has
// reported and shown the node's token.
func newEnvWithMachine(t testing.TB, role string) (*testEnv, *Controller) {
	t.Helper()
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", role)
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	return env, controller
}

// newTestEnvWithWorkers is a world with a workers' side of its own.
func newTestEnvWithWorkers(t testing.TB, call fleet.WorkerClient, labels ...string) *testEnv {
	t.Helper()
	env := &testEnv{t: t, clock: &fakeClock{t: time.Unix(100000, 0)}, store: fake.NewStore(), links: map[string]*storeLink{}, cloud: fake.NewCloud(machineTypes, true), controllers: map[string]*Controller{}, isolated: map[string]bool{}}
	env.workerClient = call
	for _, l := range labels {
		env.startController(l, labels)
	}
	for range 4 {
		env.stepMembership()
	}
	// The leader's list loop is driven by hand.
	leader := env.leader()
	if err := leader.leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		t.Fatal(err)
	}
	env.refreshAll()
	env.runPasses() // the leader shares the teams' limits out
	return env
}

// restartAll is the world with a new process of each node; the former ones are gone.
func (env *testEnv) restartAll(labels ...string) *testEnv {
	env.t.Helper()
	for _, controller := range env.controllers {
		env.store.Expire(controller.Self.Incarnation)
	}
	env.controllers = map[string]*Controller{}
	for _, l := range labels {
		env.startController(l, labels)
	}
	for range 4 {
		env.stepMembership()
	}
	return env
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
	p.Workers.ReportS, p.Workers.LeaseS, p.Workers.CancelS = 3, leaseDuration.Seconds(), cancelBound.Seconds()
	p.State.RPS, p.State.WriteRPS, p.State.ValueKB, p.State.TxnOps = 1000, 1000, 4, 12
	p.Cloud.RPS, p.Cloud.ListLagS = 10, 1
	return s
}

func (env *testEnv) startController(label string, labels []string) *Controller {
	env.t.Helper()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	limiter := store.NewLimiter(1000, 1000, 64, env.clock.now)
	env.links[label] = &storeLink{Store: env.store}
	set := settings(label, labels)
	if env.configure != nil {
		env.configure(set)
	}
	controller := newController(dependencies{Environment: cluster.NewEnvironment(set, log, env.clock.now, env.links[label], limiter), cloud: env.cloud, workerClient: env.workerClient})
	ctx, stop := context.WithCancel(context.Background())
	env.t.Cleanup(stop)
	go func() { _ = controller.Syncer.ServeBarriers(ctx) }()
	go func() { _ = controller.api.RunIntake(ctx) }()
	env.controllers[label] = controller
	controller.Self.Incarnation, _ = env.store.GrantLease(ctx, time.Second)
	controller.Session = controller.Session.Next(membership.LeaseGranted)
	if err := controller.Syncer.Load(ctx); err != nil {
		env.t.Fatal(err)
	}
	return controller
}

// refreshAll lets every node read what is stored.
func (env *testEnv) refreshAll() {
	env.t.Helper()
	for _, controller := range env.controllers {
		if err := controller.Syncer.Refresh(context.Background()); err != nil {
			env.t.Fatal(err)
		}
	}
}

// stepMembership gives every node a step of its membership.
func (env *testEnv) stepMembership() {
	env.refreshAll()
	for _, controller := range env.controllers {
		_ = controller.election.MembershipStep(context.Background())
	}
	env.refreshAll()
}

func (env *testEnv) leader() *Controller {
	for _, controller := range env.controllers {
		controller.Lock()
		ok := controller.IsLeader()
		controller.Unlock()
		if ok {
			return controller
		}
	}
	env.t.Fatal("nobody leads")
	return nil
}

// addMachine lets the leader list a running machine; its role is the one given.
func (env *testEnv) addMachine(machineName string, role string) {
	env.t.Helper()
	l := env.leader()
	env.cloud.Listed = append(env.cloud.Listed, wire.Machine{Name: machineName, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
	l.Lock()
	l.leaderLoop.CurrentLeaderState().ScalingOut[machineName] = leader.ScaleOutRecord{Role: toRole(role)}
	l.Unlock()
	l.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Listed)
	env.refreshAll()
}

// ownerOf is the node that a machine is hashed to, and another node if any.
func (env *testEnv) ownerOf(machineName string) (owner, other *Controller) {
	leader := env.leader()
	leader.Lock()
	label := leader.Membership.Owner(machineName)
	leader.Unlock()
	for name, controller := range env.controllers {
		if name != label {
			other = controller
		}
	}
	return env.controllers[label], other
}

func (env *testEnv) heartbeat(machineName string, session, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	env.sequence++
	return &wire.Heartbeat{Machine: machineName, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", Incarnation: session, Sequence: env.sequence, FencingToken: token, Tasks: tasks}
}

func (n *Controller) receiveHeartbeat(heartbeat *wire.Heartbeat) (int, any) {
	n.Lock()
	defer n.Unlock()
	return n.Workers.AnswerHeartbeat(heartbeat)
}

// passes runs a node's pass and its writes.
func (env *testEnv) runPass(controller *Controller) {
	controller.Lock()
	pending := controller.scheduler.Schedule()
	controller.Unlock()
	for _, t := range pending {
		controller.scheduler.Commit(context.Background(), t)
	}
}

func (env *testEnv) runPasses() {
	for range 2 {
		for _, controller := range env.controllers {
			env.runPass(controller)
		}
		env.refreshAll()
	}
}

// sendRequest sends a user's request to a node's handler.
func sendRequest(controller *Controller, method, path string, body any) (int, wire.JobStatus, *fasthttp.RequestCtx) {
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
	controller.serveUser(&c)
	var status wire.JobStatus
	_ = wire.Unmarshal(c.Response.Body(), &status)
	return c.Response.StatusCode(), status, &c
}

func arrayJob(jobID string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: jobID, Class: "c", Team: "x", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks,
		CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, EstimateS: 10}
}

func serviceJob(jobID string, tasks int) wire.JobSpec {
	w := arrayJob(jobID, tasks)
	w.Kind, w.Priority = wire.KindService, wire.PriorityCritical
	return w
}

func (env *testEnv) submit(controller *Controller, spec wire.JobSpec) {
	env.t.Helper()
	if code, _, _ := sendRequest(controller, "POST", "/work", spec); code != 201 {
		env.t.Fatalf("submission of %s: %d", spec.ID, code)
	}
	env.refreshAll()
}

func (n *Controller) fencingToken() uint64 {
	n.Lock()
	defer n.Unlock()
	return n.Membership.FencingToken
}

func (n *Controller) jobRecord(jobID string) jobs.Record {
	n.Lock()
	defer n.Unlock()
	return n.Table.Jobs[jobID].Record
}

func (n *Controller) claimsOn(machineName string) int {
	n.Lock()
	defer n.Unlock()
	return len(n.Table.ClaimsByMachine[machineName])
}

func (env *testEnv) sendPeerStatus(from, to *Controller) {
	from.Lock()
	from.Peers.PublishedAt = time.Time{}
	own := from.Peers.OwnStatus(to.Peers.Siblings[from.Self.Label].MachinesVersion)
	from.Unlock()
	st, err := peer.DecodeStatus(own.Encode())
	if err != nil {
		env.t.Fatal(err)
	}
	to.Peers.ApplyPeerStatus(st, env.clock.now())
}

func commandsOf(t testing.TB, code int, body any) []wire.Command {
	t.Helper()
	o, ok := body.(wire.HeartbeatResponse)
	if code != 200 || !ok {
		t.Fatalf("a report was answered %d %v", code, body)
	}
	return o.Commands
}
