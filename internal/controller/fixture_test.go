package controller

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/fleet"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/leader"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/placement"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// fakeClock is a clock that all components of a test share and the test advances.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) add(duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(duration)
}

var machineTypes = []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, FetchGBPerS: 1, Price: 4, SpotPrice: 1, StartupS: 30, Zones: []string{"z"}}}

// unreachableWorkers is a worker client whose direct calls get no response.
type unreachableWorkers struct{}

func (unreachableWorkers) SendCommands(string, wire.CommandRequest) (int, *wire.Heartbeat, error) {
	return 0, nil, store.ErrOutcomeUnknown
}

func (unreachableWorkers) Probe(string) error { return store.ErrOutcomeUnknown }

const (
	leaseDuration = 30 * time.Second
	cancelBound   = 60 * time.Second
)

// testEnv is a set of controllers with a fake store, a fake cloud and a shared clock. Only the intake
// and read barrier loops run; the test drives everything else.
type testEnv struct {
	t            testing.TB
	clock        *fakeClock
	store        *fake.Store
	links        map[string]*storeLink // by controller label
	workerClient fleet.WorkerClient    // of all controllers
	cloud        *fake.Cloud
	controllers  map[string]*Controller
	sequence     uint64
	// isolated holds the labels of controllers that exchange no status with their peers.
	isolated map[string]bool
	// configure, if not nil, changes the settings of each controller before it starts.
	configure func(*config.Settings)
}

func newTestEnv(t testing.TB, labels ...string) *testEnv {
	t.Helper()
	return newTestEnvWithWorkers(t, unreachableWorkers{}, labels...)
}

// newEnvWithMachine returns an environment of one controller and one machine, h1,
// which has acknowledged the fencing token.
func newEnvWithMachine(t testing.TB, role string) (*testEnv, *Controller) {
	t.Helper()
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", role)
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	return env, controller
}

// newTestEnvWithWorkers returns an environment whose controllers use the given worker client.
func newTestEnvWithWorkers(t testing.TB, workerClient fleet.WorkerClient, labels ...string) *testEnv {
	t.Helper()
	env := &testEnv{t: t, clock: &fakeClock{t: time.Unix(100000, 0)}, store: fake.NewStore(), links: map[string]*storeLink{}, cloud: fake.NewCloud(machineTypes, true), controllers: map[string]*Controller{}, isolated: map[string]bool{}}
	env.workerClient = workerClient
	for _, label := range labels {
		env.startController(label, labels)
	}
	for range 4 {
		env.stepMembership()
	}
	// No cloud sync loop runs, so the test refreshes the machine types itself.
	leader := env.leader()
	if err := leader.leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		t.Fatal(err)
	}
	env.refreshAll()
	env.runPasses() // the leader distributes the team limits
	return env
}

// restartAll expires all sessions and replaces the controllers by new ones with the given labels.
func (env *testEnv) restartAll(labels ...string) *testEnv {
	env.t.Helper()
	for _, controller := range env.controllers {
		env.store.ExpireLease(controller.Self.Incarnation)
	}
	env.controllers = map[string]*Controller{}
	for _, label := range labels {
		env.startController(label, labels)
	}
	for range 4 {
		env.stepMembership()
	}
	return env
}

func settings(label string, labels []string) *config.Settings {
	s := &config.Settings{Label: label, Operator: config.DefaultOperatorSettings()}
	for _, peerLabel := range labels {
		if peerLabel != label {
			s.Siblings = append(s.Siblings, config.Sibling{Label: peerLabel, Endpoint: "127.0.0.1:1"})
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
	controllerSettings := settings(label, labels)
	if env.configure != nil {
		env.configure(controllerSettings)
	}
	controller := newController(dependencies{Environment: cluster.NewEnvironment(controllerSettings, log, env.clock.now, env.links[label], limiter), cloud: env.cloud, workerClient: env.workerClient})
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

// newUnsyncedController returns a controller that uses the environment's store and cloud but has
// read nothing from the store and runs no loops.
func (env *testEnv) newUnsyncedController(controllerSettings *config.Settings) *Controller {
	first := env.controllers["a"]
	environment := cluster.NewEnvironment(controllerSettings, first.Log, env.clock.now, env.store, first.Limiter)
	return newController(dependencies{Environment: environment, cloud: env.cloud, workerClient: unreachableWorkers{}})
}

// applyRecord applies a stored record to a controller.
func applyRecord(controller *Controller, key string, value []byte) error {
	return controller.applyRecord(key, value, 0)
}

// applyMembership applies a membership record to a controller. The lock is held.
func applyMembership(controller *Controller, record membership.Record) error {
	return controller.applyMembership(wire.MustMarshal(record))
}

// isHealthy reports whether a controller passes health checks.
func isHealthy(controller *Controller) bool { return controller.healthy() }

// refreshAll makes every controller read the latest state from the store.
func (env *testEnv) refreshAll() {
	env.t.Helper()
	for _, controller := range env.controllers {
		if err := controller.Syncer.Refresh(context.Background()); err != nil {
			env.t.Fatal(err)
		}
	}
}

// stepMembership runs one membership step on every controller.
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
		leads := controller.IsLeader()
		controller.Unlock()
		if leads {
			return controller
		}
	}
	env.t.Fatal("no controller is the leader")
	return nil
}

// addMachine adds a running machine of the given role to the cloud's machine list and makes the
// leader reconcile that list.
func (env *testEnv) addMachine(machineName string, role string) {
	env.t.Helper()
	controller := env.leader()
	env.cloud.Machines = append(env.cloud.Machines, wire.Machine{Name: machineName, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
	controller.Lock()
	controller.leaderLoop.CurrentTerm().ScalingOut[machineName] = leader.PendingMachine{Role: toRole(role)}
	controller.Unlock()
	controller.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Machines)
	env.refreshAll()
}

// ownerOf returns the controller that owns a machine's shard and, if there is one, another
// controller.
func (env *testEnv) ownerOf(machineName string) (owner, other *Controller) {
	leader := env.leader()
	leader.Lock()
	label := leader.Membership.ShardOwner(machineName)
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

func (c *Controller) receiveHeartbeat(heartbeat *wire.Heartbeat) (int, any) {
	c.Lock()
	defer c.Unlock()
	return c.Workers.ProcessHeartbeat(heartbeat)
}

// runPass runs one scheduling pass of a controller and commits its writes.
func (env *testEnv) runPass(controller *Controller) {
	controller.Lock()
	pending := controller.scheduler.PlanPass()
	controller.Unlock()
	for _, write := range pending {
		controller.scheduler.Commit(context.Background(), write)
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

// sendRequest sends a user's request to a controller's handler.
func sendRequest(controller *Controller, method, path string, body any) (int, wire.JobStatus, *fasthttp.RequestCtx) {
	var ctx fasthttp.RequestCtx
	ctx.Request.Header.SetMethod(method)
	ctx.Request.SetRequestURI("http://x" + path)
	switch b := body.(type) {
	case nil:
	case []byte:
		ctx.Request.SetBody(b)
	default:
		ctx.Request.SetBody(wire.MustMarshal(b))
	}
	controller.serveUser(&ctx)
	var status wire.JobStatus
	_ = wire.Unmarshal(ctx.Response.Body(), &status)
	return ctx.Response.StatusCode(), status, &ctx
}

func arrayJob(jobID string, tasks int) wire.JobSpec {
	return wire.JobSpec{ID: jobID, Class: "c", Team: "x", Kind: wire.KindArray, Priority: wire.PriorityNormal, Tasks: tasks,
		CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, EstimateS: 10}
}

func serviceJob(jobID string, tasks int) wire.JobSpec {
	spec := arrayJob(jobID, tasks)
	spec.Kind, spec.Priority = wire.KindService, wire.PriorityCritical
	return spec
}

func (env *testEnv) submit(controller *Controller, spec wire.JobSpec) {
	env.t.Helper()
	if code, _, _ := sendRequest(controller, "POST", "/work", spec); code != http.StatusCreated {
		env.t.Fatalf("submission of %s: status %d", spec.ID, code)
	}
	env.refreshAll()
}

// fencingToken returns the token with which the controller begins to command its machines.
func (c *Controller) fencingToken() uint64 {
	c.Lock()
	defer c.Unlock()
	return c.Membership.FirstToken()
}

func (c *Controller) jobRecord(jobID string) jobs.Record {
	c.Lock()
	defer c.Unlock()
	return c.Table.Jobs[jobID].Record
}

func (c *Controller) claimsOn(machineName string) int {
	c.Lock()
	defer c.Unlock()
	return len(c.Table.ClaimsByMachine[machineName])
}

func (env *testEnv) sendPeerStatus(from, to *Controller) {
	from.Lock()
	from.Peers.PublishedAt = time.Time{}
	own := from.Peers.OwnStatus(to.Peers.Siblings[from.Self.Label].MachinesVersion)
	from.Unlock()
	status, err := peer.DecodeStatus(own.Encode())
	if err != nil {
		env.t.Fatal(err)
	}
	to.Peers.ApplyPeerStatus(status, env.clock.now())
}

func heartbeatCommands(t testing.TB, code int, body any) []wire.Command {
	t.Helper()
	response, ok := body.(wire.HeartbeatResponse)
	if code != http.StatusOK || !ok {
		t.Fatalf("response to a heartbeat: status %d, body %v", code, body)
	}
	return response.Commands
}

// acknowledgeToken sends a heartbeat of a machine with the current fencing token to the machine's
// owner, and returns the owner.
func (env *testEnv) acknowledgeToken(machineName string, session uint64, tasks ...wire.TaskStatus) *Controller {
	env.t.Helper()
	controller, _ := env.ownerOf(machineName)
	if code, _ := controller.receiveHeartbeat(env.heartbeat(machineName, session, controller.fencingToken(), tasks...)); code != http.StatusOK {
		env.t.Fatalf("heartbeat of %s: status %d", machineName, code)
	}
	return controller
}

// heartbeatAll sends a heartbeat of every machine, so that none counts as silent, and exchanges the
// peer statuses.
func (env *testEnv) heartbeatAll() {
	env.refreshAll()
	for _, machine := range env.cloud.Machines {
		owner, _ := env.ownerOf(machine.Name)
		owner.receiveHeartbeat(env.heartbeat(machine.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
}

// exchangePeerStatus exchanges the statuses of all controllers that are not isolated.
func (env *testEnv) exchangePeerStatus() {
	for _, controller := range env.controllers {
		for _, peerController := range env.controllers {
			if peerController != controller && !env.isolated[controller.Self.Label] && !env.isolated[peerController.Self.Label] {
				env.sendPeerStatus(controller, peerController)
			}
		}
	}
}

// raiseFencingToken gives a controller other than the leader a new session. The membership change
// raises the fencing token, so that the quota shares are rewritten.
func (env *testEnv) raiseFencingToken() {
	env.t.Helper()
	for _, controller := range env.controllers {
		if controller != env.leader() {
			env.store.ExpireLease(controller.Self.Incarnation)
			env.refreshAll()
			controller.election.ExpireSession(controller.Self.Incarnation)
			controller.Self.Incarnation, _ = env.store.GrantLease(context.Background(), time.Second)
			controller.Session = controller.Session.Next(membership.LeaseGranted)
			break
		}
	}
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
}

// otherLabel returns the label of the other one of two controllers.
func (env *testEnv) otherLabel(controller *Controller) string {
	env.t.Helper()
	for label := range env.controllers {
		if label != controller.Self.Label {
			return label
		}
	}
	env.t.Fatal("there is no other controller")
	return ""
}

// storeSessionVersion stores a controller's session as an older program version would, without a
// format version, or as the current version does.
func (env *testEnv) storeSessionVersion(label string, old bool) {
	env.t.Helper()
	controller := env.controllers[label]
	session := any(controller.Self)
	if !old {
		session = membership.Session{Controller: controller.Self, Format: membership.CurrentFormat, ProgramVersion: "x"}
	}
	key := membership.SessionKey(label)
	if _, err := env.store.CompareAndSwap(context.Background(), store.ClassLease, nil, []wire.Operation{{Put: key, Value: wire.MustMarshal(session), LeaseID: controller.Self.Incarnation}}); err != nil {
		env.t.Fatal(err)
	}
	env.refreshAll()
}

// drainMachine makes the leader store a machine as draining.
func (env *testEnv) drainMachine(machineName, reason string) {
	env.t.Helper()
	controller := env.leader()
	before := controller.Inventory.Machines[machineName]
	after := before
	after.Phase, after.Reason = inventory.Draining, reason
	controller.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: machineName, Before: &before, After: &after}})
	env.refreshAll()
}

// setTeamLimit sets the GPU limit of the team x.
func (c *Controller) setTeamLimit(gpus float64) {
	c.Settings.Params.Teams[0].GPUsMax = gpus
	c.Quota.Configure(cluster.QuotaTeams(c.Settings.Params.Teams), cluster.QuotaOptions(c.Settings))
}

func dependentJob(spec wire.JobSpec, dependsOn ...string) wire.JobSpec {
	spec.DependsOn = dependsOn
	return spec
}

// finishTasks reports that claimed tasks on a machine exited with cause "done", and makes the
// controllers store it.
func (env *testEnv) finishTasks(machineName string, tasks ...string) {
	env.t.Helper()
	var statuses []wire.TaskStatus
	for _, task := range tasks {
		statuses = append(statuses, wire.TaskStatus{Task: task, Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone})
	}
	env.acknowledgeToken(machineName, 1, statuses...)
	env.clock.add(2 * time.Second)
	env.runPasses()
}

// checkStates checks that every controller reports the given states, by job ID.
func (env *testEnv) checkStates(description string, want map[string]string) {
	env.t.Helper()
	env.refreshAll()
	for label, controller := range env.controllers {
		for jobID, phase := range want {
			if code, status, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code != http.StatusOK || status.State != phase {
				env.t.Errorf("%s: controller %s: status %d, state %s of %s, want %s", description, label, code, status.State, jobID, phase)
			}
		}
	}
}

func toRole(s string) placement.Role { return placement.Role(s) }

func ptr[T any](v T) *T { return &v }
