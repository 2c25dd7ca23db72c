package controller

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

func toRole(s string) placement.Role { return placement.Role(s) }

func TestStatusCodesOfUserRequests(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	good := arrayJob("wk-1", 2)
	bad := good
	bad.Team = "nobody"
	huge := good
	huge.ID, huge.CPUs = "wk-2", 99
	long := good
	long.ID = "wk-5"
	for range 32 {
		long.MachineTypes = append(long.MachineTypes, "g"+strings.Repeat("x", 99))
	}
	long.Class, long.Image = strings.Repeat("c", 200), strings.Repeat("b", 200)
	negative := good
	negative.ID, negative.GPUs = "wk-3", -1
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"new job", "POST", "/work", good, 201},
		{"known job", "POST", "/work", good, 200},
		{"known job, malformed now", "POST", "/work", map[string]any{"ref": "wk-1"}, 200},
		{"known job, impossible now", "POST", "/work", bad, 200},
		{"not CBOR", "POST", "/work", []byte("{"), 400},
		{"not a map", "POST", "/work", []int{1}, 400},
		{"a field missing", "POST", "/work", map[string]any{"ref": "wk-9"}, 400},
		{"out of range", "POST", "/work", negative, 400},
		{"too large to store", "POST", "/work", long, 422},
		{"fits no machine", "POST", "/work", huge, 422},
		{"more than the team's limit", "POST", "/work", serviceJob("wk-4", 9), 422},
		{"poll", "GET", "/work/wk-1", nil, 200},
		{"unknown job", "GET", "/work/wk-77", nil, 404},
		{"no job id", "GET", "/work/x", nil, 404},
		{"cancel unknown", "POST", "/work/wk-77/cancel", nil, 404},
		{"unknown path", "GET", "/nothing", nil, 404},
		{"wrong method", "GET", "/work", nil, 405},
		{"health", "GET", "/up", nil, 200},
	} {
		if code, _, _ := sendRequest(controller, c.method, c.path, c.body); code != c.want {
			t.Errorf("%s: %d, want %d", c.name, code, c.want)
		}
	}
}

func TestSubmissionsAreRefusedBeforeMachineTypesAreKnown(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.MachineTypeList = nil
	code, _, c := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1))
	if code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d without machine types", code)
	}
}

func TestAWriteOfUnknownOutcomeIsResolvedByAReadBarrier(t *testing.T) {
	env := newTestEnv(t, "a")
	env.store.Lose = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work", arrayJob("wk-1", 1)); code != 200 || status.State != wire.StateQueued {
		t.Fatalf("submission whose answer was lost: %d %+v", code, status)
	}
	env.store.Lose = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("cancellation whose answer was lost: %d %+v", code, status)
	}
}

func TestOnlyFinalStatesAreAnsweredDuringAStoreOutage(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.submit(controller, arrayJob("wk-1", 1))
	env.submit(controller, arrayJob("wk-2", 1))
	if code, _, _ := sendRequest(controller, "POST", "/work/wk-2/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	env.store.Down = true
	env.clock.add(time.Minute)
	for path, want := range map[string]int{"/work/wk-1": 503, "/work/wk-2": 200, "/work/wk-99": 503, "/up": 200} {
		if code, _, _ := sendRequest(controller, "GET", path, nil); code != want {
			t.Errorf("GET %s: %d, want %d", path, code, want)
		}
	}
	if code, _, c := sendRequest(controller, "POST", "/work", arrayJob("wk-3", 1)); code != 503 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("a submission during an outage: %d", code)
	}
}

func TestAFullIntakeQueueRefusesAtOnce(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	for range cap(controller.api.SubmissionSlots) {
		controller.api.SubmissionSlots <- struct{}{}
	}
	code, _, c := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1))
	if code != 429 || len(c.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d from a full intake", code)
	}
	if code, _, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != 404 {
		t.Fatalf("a poll beside a full intake: %d", code)
	}
}

func TestCommandsFollowStoredClaimsAndReleases(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	b := controller.fencingToken()
	controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	env.submit(controller, arrayJob("wk-1", 1))
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders before a claim is stored: %v", o)
	}
	env.runPasses()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b))
	if o := commandsOf(t, 200, body); len(o) != 1 || o[0].Verb != wire.VerbStart || o[0].Attempt != 1 {
		t.Fatalf("orders for a stored claim: %v", o)
	}
	exited := wire.TaskStatus{Task: "wk-1/0", Attempt: 1, State: wire.TaskExited, ExitCause: wire.ExitCauseDone}
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b, exited))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders before the release is stored: %v", o)
	}
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State == wire.StateDone {
		t.Fatal("called done before it is stored")
	}
	env.runPasses()
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State != wire.StateDone || status.Done != 1 {
		t.Fatalf("after the release: %+v", status)
	}
	// Direct calls of the pass were not answered: a start may be under way.
	controller.Lock()
	controller.Workers.ByMachine["h1"].StartsAnswered([]worker.Attempt{{ID: jobs.TaskID{Job: "wk-1"}, Number: 1}}, b, 1, 1)
	controller.Unlock()
	_, body = controller.receiveHeartbeat(env.heartbeat("h1", 1, b, exited))
	if o := commandsOf(t, 200, body); len(o) != 1 || o[0].Verb != wire.VerbReap {
		t.Fatalf("after the release: %v", o)
	}
	if rec := controller.jobRecord("wk-1"); rec.Phase != jobs.Done || rec.Spec != nil {
		t.Fatalf("final record: %+v", rec)
	}
}

func TestOnlyTheShardOwnerAnswersAHeartbeat(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	code, body := other.receiveHeartbeat(env.heartbeat("h1", 1, 0))
	if r, ok := body.(wire.Redirect); code != 421 || !ok || r.Node != owner.Self.Label {
		t.Fatalf("another node answered %d %v", code, body)
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, owner.fencingToken()+1)); code == 200 {
		t.Fatal("200 to a worker that has seen a higher token")
	}
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, 0)); code != 200 {
		t.Fatalf("the owner answered %d", code)
	}
}

func TestFailoverMovesMachinesAndRaisesTheFencingToken(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	old := owner.fencingToken()
	env.store.Expire(owner.Self.Incarnation)
	delete(env.controllers, owner.Self.Label)
	for range 4 {
		env.stepMembership()
	}
	if other.fencingToken() <= old {
		t.Fatalf("token %d after %d", other.fencingToken(), old)
	}
	if code, _ := other.receiveHeartbeat(env.heartbeat("h1", 1, old)); code != 200 {
		t.Fatalf("the new owner answered %d", code)
	}
	// The former owner has not noticed: it must not hold a worker that has.
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, other.fencingToken())); code == 200 {
		t.Fatal("the former owner answered 200")
	}
}

// Cancel wins over a claim that was computed before it was seen.
func TestAStaleClaimFailsAfterACancellation(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	owner.receiveHeartbeat(env.heartbeat("h1", 1, owner.fencingToken()))
	env.sendPeerStatus(owner, other)
	env.submit(owner, arrayJob("wk-1", 1))
	owner.Lock()
	pending := owner.scheduler.Schedule()
	owner.Unlock()
	if len(pending) != 1 {
		t.Fatalf("%d writes for one claim", len(pending))
	}
	if code, _, _ := sendRequest(other, "POST", "/work/wk-1/cancel", nil); code != 200 {
		t.Fatal(code)
	}
	owner.scheduler.Commit(context.Background(), pending[0])
	env.refreshAll()
	if owner.claimsOn("h1") != 0 {
		t.Fatal("a cancelled job was claimed")
	}
}

// A node that can't read cancellations keeps leases alive for a while, starts
// nothing, and then stops answering so that the leases end in time.
func TestAPartitionedControllerStopsRenewingLeasesBeforeTheCancellationBound(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.store.Down = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	_, body := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	if o := commandsOf(t, 200, body); len(o) != 0 {
		t.Fatalf("orders without the state service: %v", o)
	}
	env.clock.add(controller.Settings.RenewalBound() - tuning.StoreStaleAfter)
	if code, _ := controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken())); code == 200 {
		t.Fatal("200 after the bound")
	}
	if last := controller.Settings.RenewalBound() + leaseDuration; last >= cancelBound {
		t.Fatalf("a lease may last %v after the last read, a cancellation has %v", last, cancelBound)
	}
}

func TestHealthDependsOnPeersThatReachTheStore(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.store.Down = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	env.sendPeerStatus(b, a)
	if !a.healthy() {
		t.Fatal("unhealthy though no node has the state service")
	}
	// It hears no sibling either: users would all come to it, the one with the
	// fewest connections, and be refused.
	env.clock.add(tuning.PeerFresh + time.Second)
	if a.healthy() {
		t.Fatal("healthy though cut off from the state service and the siblings")
	}
	env.store.Down = false
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	env.sendPeerStatus(b, a)
	if a.healthy() || !b.healthy() {
		t.Fatalf("cut off: healthy %v, its sibling: %v", a.healthy(), b.healthy())
	}
}

func TestADrainingMachineTakesNoClaimAndIsTerminatedEmpty(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	controller.Lock()
	claim := controller.scheduler.Schedule()
	drains, _ := controller.leaderLoop.PlanDrains([]autoscale.ScaleIn{{Machine: "h1", Reason: autoscale.ReasonIdle}})
	controller.Unlock()
	controller.leaderLoop.StoreMachines(ctx, drains)
	controller.Lock()
	early, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentLeaderState(), env.clock.now())
	controller.Unlock()
	if len(early) != 0 {
		t.Fatal("returned before all claims that the drain may have missed were read")
	}
	for _, c := range claim {
		controller.scheduler.Commit(ctx, c)
	}
	env.refreshAll()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("a claim on a drained machine was stored")
	}
	controller.Lock()
	returns, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentLeaderState(), env.clock.now())
	controller.Unlock()
	controller.leaderLoop.Terminate(ctx, returns)
	// A list that is late still shows it; it must not join again.
	controller.leaderLoop.ReconcileCloudList(ctx, env.cloud.Listed)
	if rec, known := controller.Inventory.Machines["h1"]; len(env.cloud.Returned) != 1 || known {
		t.Fatalf("returned %v, still known: %+v", env.cloud.Returned, rec)
	}
}

// A returned machine is the proof that releases its claims.
func TestTasksOfAMissingMachineAreReleasedAfterItsTermination(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("no claim")
	}
	env.cloud.Listed = nil
	for range tuning.MissingLists + 1 {
		env.clock.add(10 * time.Second)
		controller.leaderLoop.ReconcileCloudList(ctx, nil)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("absence from the list released a task")
	}
	controller.Lock()
	l := controller.leaderLoop.CurrentLeaderState()
	controller.leaderLoop.PlanInput(l, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now())
	l.LastHeard["h1"] = env.clock.now().Add(-time.Minute)
	out := autoscale.Plan(controller.leaderLoop.PlanInput(l, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
	_, returns := controller.leaderLoop.PlanDrains(out.ScaleIn)
	controller.Unlock()
	if len(returns) != 1 {
		t.Fatalf("a machine that the list omits is not returned: drains %v", out.ScaleIn)
	}
	controller.leaderLoop.Terminate(ctx, returns)
	env.refreshAll()
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("the return did not release the task")
	}
}

// After a node's crash its siblings hear nothing of its machines for a while;
// the leader once took them for silent and returned them all.
func TestMachinesOfACrashedControllerAreNotSilent(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	leader := env.leader()
	var other *Controller
	for _, controller := range env.controllers {
		if controller != leader {
			other = controller
		}
	}
	machineName := ""
	for i := 0; machineName == ""; i++ {
		if h := "h" + string(rune('a'+i)); leader.Membership.Owner(h) == other.Self.Label {
			machineName = h
		}
	}
	env.addMachine(machineName, "batch")
	units := func() autoscale.Machine {
		leader.Lock()
		defer leader.Unlock()
		for _, u := range leader.leaderLoop.PlanInput(leader.leaderLoop.CurrentLeaderState(), leader.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()).Machines {
			if u.Name == machineName {
				return u
			}
		}
		return autoscale.Machine{}
	}
	for range 40 { // heard for a long time
		env.clock.add(5 * time.Second)
		env.refreshAll()
		other.receiveHeartbeat(env.heartbeat(machineName, 1, other.fencingToken()))
		env.sendPeerStatus(other, leader)
		units()
	}
	other.Lock()
	clear(other.Workers.ByMachine) // as after a restart
	other.Unlock()
	env.sendPeerStatus(other, leader)
	env.clock.add(2 * time.Second)
	if u := units(); u.Silent || u.Missing {
		t.Fatalf("a machine heard seconds ago: %+v", u)
	}
}

// A former process's late write of the session key must not stand.
func TestASessionIsStoredAgainAfterALateWriteOfAFormerProcess(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	old := membership.Node{Label: "a", Incarnation: 777}
	env.store.Leases[777] = true
	_, err := env.store.CompareAndSwap(context.Background(), 0, nil, []wire.Operation{{Put: membership.SessionKey("a"), Value: wire.MustMarshal(old), LeaseID: 777}})
	if err != nil {
		t.Fatal(err)
	}
	for range 4 {
		env.stepMembership()
	}
	controller.Lock()
	defer controller.Unlock()
	if controller.Sessions["a"] != controller.Self || !controller.IsMember() {
		t.Fatalf("session %+v, self %+v", controller.Sessions["a"], controller.Self)
	}
}

// Users of a node that alone has lost the state service must not notice.
func TestRequestsAreForwardedToAPeerThatReachesTheStore(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := b.httpServer(b.servePeer, 8)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	a.Peers.Siblings["b"].Client = peer.NewClient(ln.Addr().String())
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	env.sendPeerStatus(b, a)
	a.Store = nil // any use of the state service by this node would panic
	if code, _, _ := sendRequest(a, "POST", "/work", arrayJob("wk-1", 1)); code != 201 {
		t.Fatalf("submission: %d", code)
	}
	if code, status, _ := sendRequest(a, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %+v", code, status)
	}
	if code, _, _ := sendRequest(a, "GET", "/work/wk-2", nil); code != 404 {
		t.Fatalf("poll of an unknown job: %d", code)
	}
}

func TestStatusAndMetricsShowLeaderAndPendingJobs(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.submit(controller, serviceJob("wk-1", 1))
	env.runPasses()
	_, _, c := sendRequest(controller, "GET", "/status", nil)
	if body := string(c.Response.Body()); !strings.Contains(body, "leader a") || !strings.Contains(body, "waiting wk-1 tasks 1 because "+placement.ReasonNoRoom) {
		t.Fatalf("status:\n%s", body)
	}
	_, _, c = sendRequest(controller, "GET", "/metrics", nil)
	body := string(c.Response.Body())
	for _, want := range []string{"wheatspur_leader 1", "wheatspur_tasks_without_place 1", `wheatspur_answers_total{request="submission",status="201"} 1`} {
		if !strings.Contains(body, want) {
			t.Errorf("metrics lack %s:\n%s", want, body)
		}
	}
}

// The largest job must stay within the value limit and cost a pass little.
func TestAJobArrayOfTheLargestSizeStaysWithinLimits(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.setTeamLimit(0)
	env.addMachine("h1", "batch")
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	big := arrayJob("wk-1", wire.MaxTasks)
	big.GPUs = 0.01
	big.CPUs = 0.01
	big.RAMGB = 0.01
	env.submit(controller, big)
	for range 4 {
		env.clock.add(10 * time.Second)
		env.refreshAll()
		controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
		start := time.Now()
		controller.Lock()
		pending := controller.scheduler.Schedule()
		controller.Unlock()
		if d := time.Since(start); d > 2*time.Second {
			t.Errorf("a pass took %v", d)
		}
		for _, x := range pending {
			controller.scheduler.Commit(context.Background(), x)
		}
		env.refreshAll()
	}
	if controller.claimsOn("h1") < 2*tuning.TasksPerJob {
		t.Fatalf("%d tasks claimed in four passes", controller.claimsOn("h1"))
	}
	for k, e := range env.store.Keys {
		var v any
		if err := wire.Unmarshal(e.Value, &v); err != nil || len(fmt.Sprint(v)) > 4096 {
			t.Errorf("%s: %d bytes, %v", k, len(fmt.Sprint(v)), err)
		}
	}
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State != wire.StateRunning || status.Done != 0 {
		t.Fatalf("%+v", status)
	}
}
