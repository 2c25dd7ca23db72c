package controller

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// acknowledgeToken lets a machine show the present token twice over, as a live one does.
func (env *testEnv) acknowledgeToken(machineName string, session uint64, tasks ...wire.TaskStatus) *Controller {
	env.t.Helper()
	controller, _ := env.ownerOf(machineName)
	if code, _ := controller.receiveHeartbeat(env.heartbeat(machineName, session, controller.fencingToken(), tasks...)); code != 200 {
		env.t.Fatalf("report of %s: %d", machineName, code)
	}
	return controller
}

// A machine whose reports arrive, but which no answer and no command reaches.
func TestAnUnresponsiveMachineTakesNoNewTasksAndItsServicesMove(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	env.submit(controller, serviceJob("wk-1", 2))
	env.runPasses()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	env.acknowledgeToken("h1", 1, running...)
	// From here on nothing reaches it. It is told to start a third task.
	env.submit(controller, serviceJob("wk-2", 1))
	env.runPasses()
	for range 3 {
		env.acknowledgeToken("h1", 1, running...)
		env.clock.add(tuning.ConfirmAfter)
		env.refreshAll()
	}
	if !controller.Workers.ByMachine["h1"].Unresponsive {
		t.Fatal("nobody notices that it does nothing it is told")
	}
	env.submit(controller, serviceJob("wk-3", 1))
	env.runPasses()
	if controller.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 0 {
		t.Fatal("a new task was placed on it")
	}
	// Its services stay until there is proof, even beside a free machine: its
	// reports go on and it runs them.
	env.addMachine("h2", "service")
	env.acknowledgeToken("h2", 1)
	env.runPasses()
	if controller.claimsOn("h1") != 3 {
		t.Fatalf("%d claims on it: released without proof", controller.claimsOn("h1"))
	}
	// Its lease ends, since no answer renewed it: a new session shows that.
	env.acknowledgeToken("h1", 2)
	env.runPasses()
	env.runPasses()
	if controller.claimsOn("h1") != 0 || controller.claimsOn("h2") != 4 {
		t.Fatalf("claims: %d on it, %d on the other machine", controller.claimsOn("h1"), controller.claimsOn("h2"))
	}
	// It hears again: a direct call is answered.
	controller.Lock()
	controller.Workers.ByMachine["h1"].CallAnswered()
	controller.Unlock()
	env.acknowledgeToken("h1", 2)
	env.submit(controller, serviceJob("wk-4", 1))
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("it is not used again")
	}
}

// It is replaced if it stays that way.
func TestAMachineThatStaysUnresponsiveIsScaledIn(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	controller.Workers.ByMachine["h1"].Unresponsive = true
	var out autoscale.Output
	for range 4 {
		env.clock.add(leaseDuration)
		env.refreshAll()
		env.acknowledgeToken("h1", controller.Workers.ByMachine["h1"].Incarnation+1)
		controller.Lock()
		controller.Workers.ByMachine["h1"].Unresponsive = true
		controller.leaderLoop.CurrentLeaderState().ListedAt = env.clock.now()
		out = autoscale.Plan(controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentLeaderState(), controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
		controller.Unlock()
	}
	if len(out.ScaleIn) != 1 || out.ScaleIn[0].Reason != autoscale.ReasonQuarantined {
		t.Fatalf("%+v", out.ScaleIn)
	}
}

// Copies of reports come late: by seconds, by more than a lease, after a new
// session, after a reap, after a change of owner, and to a node just started.
func TestReplayedHeartbeatsChangeNothing(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller := env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.runPasses()
	done := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseError}
	before := env.heartbeat("h1", 1, controller.fencingToken())
	env.acknowledgeToken("h1", 1, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	late := *before
	if code, body := controller.receiveHeartbeat(&late); code == 200 {
		t.Fatalf("a copy was answered as a report: %v", body)
	}
	if controller.claimsOn("h1") != 1 || len(controller.Workers.ByMachine["h1"].Tasks) != 1 {
		t.Fatal("a copy without the task took it out of sight")
	}
	// A failed attempt is released, reaped and claimed again; then the report
	// that listed it comes once more.
	exited := env.heartbeat("h1", 1, controller.fencingToken(), done)
	controller.receiveHeartbeat(exited)
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1, done)
	env.runPasses()
	env.clock.add(5 * time.Second)
	env.acknowledgeToken("h1", 1)
	env.runPasses()
	again := *exited
	controller.receiveHeartbeat(&again)
	env.runPasses()
	controller.Lock()
	task := controller.Table.Jobs["wk-1"].Task(0)
	controller.Unlock()
	if task.State == jobs.Completed || task.Attempt > 2 {
		t.Fatalf("a copy of a reaped attempt changed the task: %+v", task)
	}
	// The machine dies. Copies go on for well over a lease; the lease ends all
	// the same, and they make nothing look alive.
	last := env.heartbeat("h1", 1, controller.fencingToken())
	controller.receiveHeartbeat(last)
	for range 6 {
		env.clock.add(leaseDuration / 4)
		env.refreshAll()
		c := *last
		controller.receiveHeartbeat(&c)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("copies kept the lease of a dead machine alive")
	}
	controller.Lock()
	open := controller.MachineIndex.RefreshMachines(env.clock.now()).Machine("h1").Schedulable
	controller.Unlock()
	if open {
		t.Fatal("copies make a dead machine look alive")
	}
	// The owner's process is replaced: the new one, or the other node, knows
	// nothing of the machine and gets a copy first.
	env.store.Expire(controller.Self.Incarnation)
	env.refreshAll()
	controller.election.EndSession(controller.Self.Incarnation)
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
	now, _ := env.ownerOf("h1")
	c := *last
	now.receiveHeartbeat(&c)
	env.submit(now, arrayJob("wk-2", 1))
	env.runPasses()
	if now.claimsOn("h1") != 0 {
		t.Fatal("a task was placed on a dead machine that a copy spoke for")
	}
}

// A controller that loses the state service and its siblings, not its workers.
func TestAPartitionedControllerKeepsTasksRunningAndStartsNone(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller := env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.submit(controller, arrayJob("wk-2", 1))
	env.runPasses()
	env.runPasses()
	running := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}
	env.acknowledgeToken("h1", 1, running)
	env.store.Down = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	code, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken(), running))
	if o := commandsOf(t, code, body); len(o) != 0 {
		t.Fatalf("without the state service it orders %v", o)
	}
	reads := env.store.Reads
	for _, path := range []string{"/work/wk-1", "/work/wk-77"} {
		if code, _, c := sendRequest(controller, "GET", path, nil); code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
			t.Fatalf("GET %s: %d", path, code)
		}
	}
	if code, _, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-9", 1)); code != 503 {
		t.Fatalf("a submission: %d", code)
	}
	if env.store.Reads != reads {
		t.Fatal("users wait for a read that can't come back")
	}
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()+1, running)); code == 200 {
		t.Fatal("a report with a higher token was answered with 200")
	}
	// Its time is up: it sends its workers on. The other node has them by then
	// and releases nothing without proof.
	env.clock.add(cancelBound - leaseDuration)
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken(), running)); code != 421 {
		t.Fatalf("its workers get %d when its time is up", code)
	}
	env.store.Down = false
	env.store.Expire(controller.Self.Incarnation)
	env.refreshAll()
	controller.election.EndSession(controller.Self.Incarnation)
	for range 4 {
		env.stepMembership()
	}
	env.runPasses()
	heir := env.leader()
	if heir.claimsOn("h1") != 2 {
		t.Fatal("claims were released without proof")
	}
	for range 3 {
		// On return it registers again, once, and asks for nothing more.
		controller.Lock()
		controller.Session, controller.Self.Incarnation = controller.Session.Next(membership.LeaseGranted), 0
		controller.Unlock()
		controller.Self.Incarnation, _ = env.store.GrantLease(context.Background(), time.Second)
		break
	}
	for range 4 {
		env.stepMembership()
	}
	revision := env.store.Revision
	for range 5 {
		env.stepMembership()
		env.runPasses()
	}
	if env.store.Revision-revision > 4 {
		t.Fatalf("%d changes after its return", env.store.Revision-revision)
	}
}

// A process that is back within a fraction of a second, in the middle of an
// election: its old session is still held, its write of the lead key and of
// the membership have unknown outcomes, its old calls still arrive.
func TestAControllerRestartsDuringAnElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	env := newTestEnv(t, labels...)
	old := env.leader()
	label, token := old.Self.Label, old.fencingToken()
	env.addMachine("h1", "batch")
	// A write of the old process that is still under way.
	old.Lock()
	held := env.store.Keys[membership.Key].Version
	stale := *old.Membership
	stale.FencingToken++
	old.Unlock()
	fresh := env.startController(label, labels) // its old session and lead key still stand
	for range 6 {
		env.stepMembership()
	}
	leader := env.leader()
	if leader.fencingToken() <= token {
		t.Fatal("the restart did not raise the token")
	}
	if leader.Membership.Contains(old.Self) || !leader.Membership.Contains(fresh.Self) {
		t.Fatalf("members %+v", leader.Membership.Nodes)
	}
	// The old process's write arrives late and changes nothing.
	if _, err := env.store.CompareAndSwap(context.Background(), 0, []wire.Compare{{Key: membership.Key, Version: held}},
		[]wire.Operation{{Put: membership.Key, Value: wire.MustMarshal(stale)}}); err == nil {
		t.Fatal("a membership of the old process was stored")
	}
	// A membership write whose answer is lost is not written twice.
	env.store.Expire(fresh.Self.Incarnation)
	env.refreshAll()
	env.store.Lose = 1
	for range 6 {
		env.stepMembership()
	}
	seen := map[uint64]bool{}
	for _, controller := range env.controllers {
		if controller != fresh {
			seen[controller.fencingToken()] = true
		}
	}
	if len(seen) != 1 {
		t.Fatalf("tokens %v", seen)
	}
	// The old process, if it still ran, is entitled to nothing.
	old.Syncer.ReadBarrier(time.Second)
	if code, _ := old.receiveHeartbeat(env.heartbeat("h1", 1, token)); code == 200 {
		t.Fatal("the old process answers workers")
	}
}

// After an outage every job's polls are answered, whichever they are: no
// queue fails the same ones again and again.
func TestPollsOfAllJobsAreAnsweredAfterAStoreOutage(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const known = 600
	for i := range known {
		v := wire.MustMarshal(jobs.Record{Phase: jobs.Open, Tasks: 1, ChunkSize: 70, Spec: ptr(arrayJob(fmt.Sprintf("wk-%d", i), 1))})
		if _, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: jobs.JobKey(fmt.Sprintf("wk-%d", i)), Value: v}}); err != nil {
			t.Fatal(err)
		}
	}
	env.store.Down = true
	env.clock.add(time.Minute)
	if code, _, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != 503 {
		t.Fatalf("a poll in an outage: %d", code)
	}
	env.store.Down = false
	env.refreshAll()
	left := map[string]bool{}
	for i := range known {
		left[fmt.Sprintf("wk-%d", i)] = true
	}
	for round := 0; len(left) > 0; round++ {
		if round == 4 {
			t.Fatalf("%d jobs get no answer in four rounds of polls", len(left))
		}
		var wg sync.WaitGroup
		var mu sync.Mutex
		// Those that are answered leave the map meanwhile.
		for _, jobID := range slices.Collect(maps.Keys(left)) {
			wg.Go(func() {
				if code, _, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code == 200 {
					mu.Lock()
					defer mu.Unlock()
					delete(left, jobID)
				}
			})
		}
		wg.Wait()
	}
}

func ptr[T any](v T) *T { return &v }

// Reports that no honest, up-to-date worker sends are answered by the
// protocol and change nothing; carried out requests that come again too.
func TestInvalidHeartbeatsAndRepeatedRequestsChangeNothing(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 3)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.acknowledgeToken("h1", 3, wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning})
	revision := env.store.Revision
	for name, heartbeat := range map[string]*wire.Heartbeat{
		"session goes back":    {Machine: "h1", MachineType: "g", Incarnation: 2, Sequence: 999, FencingToken: controller.fencingToken()},
		"sequence goes back":   {Machine: "h1", MachineType: "g", Incarnation: 3, Sequence: 1, FencingToken: controller.fencingToken()},
		"token from nowhere":   {Machine: "h1", MachineType: "g", Incarnation: 4, Sequence: 1, FencingToken: controller.fencingToken() + 7},
		"session zero":         {Machine: "h1", MachineType: "g", Sequence: 1},
		"no name":              {Incarnation: 1, Sequence: 1},
		"shards from nowhere":  {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{{Task: "nonsense", Attempt: 1, State: wire.TaskRunning}}},
		"unknown machine":      {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 2, FencingToken: controller.fencingToken()},
		"exit of another's":    {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 3, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
		"exit without a claim": {Machine: "h9", MachineType: "x", Incarnation: 1, Sequence: 4, FencingToken: controller.fencingToken(), Tasks: []wire.TaskStatus{{Task: "wk-77/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}}},
	} {
		if code, _, _ := sendRequest(controller, "POST", "/checkin", heartbeat); code != 200 && code != 400 && code != 421 && code != 503 {
			t.Errorf("%s: %d", name, code)
		}
	}
	for range 2 {
		if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != 200 || status.State != wire.StateRunning {
			t.Fatalf("repeated submission: %d %+v", code, status)
		}
	}
	env.runPasses()
	if env.store.Revision != revision || controller.claimsOn("h1") != 1 || controller.claimsOn("h9") != 0 {
		t.Fatalf("%d changes, %d claims", env.store.Revision-revision, controller.claimsOn("h1"))
	}
	if code, _, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	revision = env.store.Revision
	if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateCancelled || env.store.Revision != revision {
		t.Fatalf("repeated cancellation: %d %+v", code, status)
	}
	if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("a submission after its cancellation: %d %+v", code, status)
	}
}

// With its siblings down a node holds the workers of all; between their
// reports they must not keep users and health checks out.
func TestManyOpenConnectionsCloseThoseOfWorkersNotUsers(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.Settings.Params.Limits.MaxConnections = 1000
	env.addMachine("h1", "batch")
	for _, c := range []struct {
		open  int
		close bool
	}{{100, false}, {700, true}} {
		controller.Workers.OpenConnections = func() int { return c.open }
		if _, _, ctx := sendRequest(controller, "POST", "/checkin", env.heartbeat("h1", 1, controller.fencingToken())); ctx.Response.ConnectionClose() != c.close {
			t.Errorf("%d open connections: a worker's is closed %v", c.open, ctx.Response.ConnectionClose())
		}
		if code, _, ctx := sendRequest(controller, "GET", "/up", nil); code != 200 || ctx.Response.ConnectionClose() {
			t.Errorf("%d open connections: health check %d", c.open, code)
		}
	}
}

// A list that shows a machine created later is newer than all before it: what
// it omits is gone. A list that does not may be older than a new machine.
func TestAMissingMachineCountsOnlyInALaterCloudList(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.addMachine("h2", "batch")
	env.addMachine("h3", "batch")
	controller.Lock()
	controller.leaderLoop.CurrentLeaderState().FirstListed = map[string]time.Time{} // as after a change of leader
	controller.Unlock()
	controller.leaderLoop.ReconcileCloudList(context.Background(), []wire.Machine{env.cloud.Listed[0], env.cloud.Listed[2]})
	if l := controller.leaderLoop.CurrentLeaderState(); l.MissingLists["h2"] != 1 {
		t.Fatalf("absences %v beside a later machine", l.MissingLists)
	}
	controller.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Listed[:2])
	if l := controller.leaderLoop.CurrentLeaderState(); l.MissingLists["h3"] != 0 || l.MissingLists["h2"] != 0 {
		t.Fatalf("absences %v in a list that may be older", l.MissingLists)
	}
}

// A zone is cut off, and a node restarts: what the machines behind the cut ran
// is released when their leases end, though no report shows the new token, if
// nobody else has owned them meanwhile; and no other.
func TestAcknowledgedTokensOutliveAMembershipThatKeepsTheOwner(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	for _, controller := range env.controllers {
		controller.setTeamLimit(1000)
	}
	env.raiseFencingToken()
	machineNames := make([]string, 12)
	for i := range machineNames {
		machineNames[i] = fmt.Sprintf("h%d", i)
		env.addMachine(machineNames[i], "service")
		env.acknowledgeToken(machineNames[i], 1)
	}
	env.exchangePeerStatus()
	env.submit(env.leader(), serviceJob("wk-1", 48))
	for range 3 {
		env.runPasses()
	}
	owners := map[string]string{}
	for _, h := range machineNames {
		o, _ := env.ownerOf(h)
		owners[h] = o.Self.Label
		if o.claimsOn(h) == 0 {
			t.Fatalf("nothing is placed on %s", h)
		}
	}
	before := map[string]uint64{}
	for _, controller := range env.controllers {
		before[controller.Self.Label] = controller.Self.Incarnation
	}
	env.raiseFencingToken() // from here on no machine is heard
	env.clock.add(time.Duration(float64(leaseDuration)*tuning.DriftFactor) + tuning.LeaseMargin + time.Second)
	for range 4 {
		env.refreshAll()
		env.runPasses()
		env.clock.add(tuning.ReleaseGather)
	}
	kept, moved := 0, 0
	for _, h := range machineNames {
		o, _ := env.ownerOf(h)
		same := owners[h] == o.Self.Label && before[o.Self.Label] == o.Self.Incarnation
		switch claims := o.claimsOn(h); {
		case same && claims > 0:
			t.Errorf("%s stays with %s, which may not release its %d tasks", h, o.Self.Label, claims)
		case !same && claims == 0:
			t.Errorf("%s has another owner, which released its tasks unproven", h)
		case same:
			kept++
		default:
			moved++
		}
	}
	if kept == 0 || moved == 0 {
		t.Fatalf("%d machines stayed, %d moved: nothing is tested", kept, moved)
	}
}

// A node that has missed a membership can't tell who owned its machines under
// it: their proof is void.
func TestAMissedMembershipVoidsAcknowledgedTokens(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	for _, c := range []struct {
		name string
		next func(*membership.Record) uint64
		want worker.TokenState
	}{
		{"the next", func(r *membership.Record) uint64 { return r.LastToken() + 1 }, worker.TokenAcknowledged},
		{"the one after it", func(r *membership.Record) uint64 { return r.LastToken() + 2 }, worker.TokenUnacknowledged},
		{"an older version's, which takes a token of the one before", func(r *membership.Record) uint64 { return r.FencingToken + 1 }, worker.TokenUnacknowledged},
	} {
		controller.Lock()
		r := *controller.Membership
		controller.Workers.ByMachine["h1"].State = worker.TokenAcknowledged
		r.FencingToken, r.TokenRange = c.next(controller.Membership), tuning.TokenSpan
		err := controller.applyMembership(wire.MustMarshal(r))
		got := controller.Workers.ByMachine["h1"].State
		controller.Unlock()
		if err != nil || got != c.want {
			t.Errorf("under %s membership the machine is %s, want %s (%v)", c.name, got, c.want, err)
		}
	}
}

// Machines fall silent: room for their services is rented at once, not when the
// proof has come. If hardly any is heard, it is the node that hears nothing.
func TestScaleOutForServicesStartsWhileTheirMachinesAreSilent(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.setTeamLimit(1000)
	env.raiseFencingToken()
	machineNames := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	for _, h := range machineNames {
		env.addMachine(h, "service")
		env.acknowledgeToken(h, 1)
	}
	env.submit(controller, serviceJob("wk-1", 24))
	env.runPasses()
	ahead := func(silent int) (tasks int) {
		env.clock.add(controller.SilenceTimeout() + time.Second)
		env.refreshAll()
		for _, h := range machineNames[silent:] {
			env.acknowledgeToken(h, 1)
		}
		controller.Lock()
		defer controller.Unlock()
		now := controller.Now()
		for _, want := range controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentLeaderState(), controller.MachineIndex.RefreshMachines(now), now).Demands {
			if want.Job.ID == "wk-1" {
				tasks += want.Count
			}
		}
		return tasks
	}
	for silent, want := range map[int]int{0: 0, 2: 8, 5: 0} {
		if got := ahead(silent); got != want {
			t.Errorf("%d of 6 machines are silent: room for %d tasks is rented, want %d", silent, got, want)
		}
	}
}

// drainMachine stores that a machine takes no more tasks.
func (env *testEnv) drainMachine(machineName, why string) {
	env.t.Helper()
	controller := env.leader()
	was := controller.Inventory.Machines[machineName]
	is := was
	is.Phase, is.Reason = inventory.Draining, why
	controller.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: machineName, Before: &was, After: &is}})
	env.refreshAll()
}

// A machine that was taken while it was being drained showed its owner's next
// token to nobody, so its lease proved nothing, and nobody gave it back: its
// tasks stayed claimed for ever.
func TestALostDrainingMachineIsTerminatedToReleaseItsTasks(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.runPasses()
	env.drainMachine("h1", autoscale.ReasonSurplus)
	owner, other := env.ownerOf("h1")
	if owner.claimsOn("h1") != 1 || owner.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatalf("%d claims, %s", owner.claimsOn("h1"), owner.Inventory.Machines["h1"].Phase)
	}
	// Its owner ends and never hears it again.
	env.store.Expire(owner.Self.Incarnation)
	delete(env.controllers, owner.Self.Label)
	for range 3 {
		env.stepMembership()
	}
	plan := func() []string {
		other.Lock()
		defer other.Unlock()
		l, now := other.leaderLoop.CurrentLeaderState(), env.clock.now()
		other.leaderLoop.PlanInput(l, other.MachineIndex.RefreshMachines(now), now)
		return l.LostWhileDraining
	}
	if lost := plan(); len(lost) != 0 {
		t.Fatalf("%v are given back before they are surely silent", lost)
	}
	env.clock.add(2*leaseDuration + 10*time.Second)
	env.refreshAll()
	lost := plan()
	if len(lost) != 1 {
		t.Fatalf("lost: %v", lost)
	}
	env.runPasses()
	if other.claimsOn("h1") != 1 {
		t.Fatal("its task is released without proof")
	}
	other.leaderLoop.Terminate(context.Background(), lost)
	env.refreshAll()
	env.runPasses()
	if other.claimsOn("h1") != 0 {
		t.Fatal("its task is never released")
	}
}

// Machine records wait for the budget, up to seconds: one that was idle may
// have work when its turn comes, and another leader may have changed it.
func TestMachineRecordsAreStoredOnlyIfTheirDecisionStillHolds(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.drainMachine("h1", autoscale.ReasonIdle)
	if controller.Inventory.Machines["h1"].Phase != inventory.Active {
		t.Fatal("a machine that has work again goes because it was idle")
	}
	env.drainMachine("h1", autoscale.ReasonSurplus)
	if controller.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatal("a machine is not drained")
	}
	controller.Lock()
	controller.Leader = nil
	controller.Unlock()
	controller.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: "h9", After: &inventory.Record{MachineType: "g", Zone: "z", Role: "batch", Phase: inventory.Active}}})
	env.refreshAll()
	if controller.Inventory.KeyOf("h9") != "" {
		t.Fatal("a node that does not lead stores machine records")
	}
}
