package controller

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/membership"
	"wheatspur/wire"
)

// TestFailoverMovesMachinesAndRaisesTheFencingToken expires a controller's session: another one must
// own its machines under a higher fencing token. The former owner, which has not noticed, must not
// renew the leases of workers that have seen the new token.
func TestFailoverMovesMachinesAndRaisesTheFencingToken(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	owner, other := env.ownerOf("h1")
	old := owner.fencingToken()
	env.store.ExpireLease(owner.Self.Incarnation)
	delete(env.controllers, owner.Self.Label)
	for range 4 {
		env.stepMembership()
	}
	if other.fencingToken() <= old {
		t.Fatalf("fencing token %d after a failover, was %d", other.fencingToken(), old)
	}
	if code, _ := other.receiveHeartbeat(env.heartbeat("h1", 1, old)); code != http.StatusOK {
		t.Fatalf("the new owner answered %d", code)
	}
	// The former owner has not noticed the failover, the worker has.
	if code, _ := owner.receiveHeartbeat(env.heartbeat("h1", 1, other.fencingToken())); code == http.StatusOK {
		t.Fatal("the former owner answered 200")
	}
}

// TestControllerRestartDuringElection restarts a controller within a fraction of a second during an
// election. The session of the former process has not expired, its writes of the leader key and of
// the membership have unknown outcomes, and its late calls still arrive. None of these may count for
// the new process.
func TestControllerRestartDuringElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	env := newTestEnv(t, labels...)
	old := env.leader()
	label, token := old.Self.Label, old.fencingToken()
	env.addMachine("h1", "batch")
	// A write of the old process that is still in flight.
	old.Lock()
	version := env.store.Keys[membership.RecordKey].Version
	stale := *old.Membership
	stale.FencingToken++
	old.Unlock()
	restarted := env.startController(label, labels) // its old session and leader key have not expired
	for range 6 {
		env.stepMembership()
	}
	leader := env.leader()
	if leader.fencingToken() <= token {
		t.Fatal("the restart did not raise the fencing token")
	}
	if leader.Membership.Contains(old.Self) || !leader.Membership.Contains(restarted.Self) {
		t.Fatalf("members %+v", leader.Membership.Members)
	}
	// The old process's write arrives late and changes nothing.
	if _, err := env.store.CompareAndSwap(context.Background(), 0, []wire.Compare{{Key: membership.RecordKey, Version: version}},
		[]wire.Operation{{Put: membership.RecordKey, Value: wire.MustMarshal(stale)}}); err == nil {
		t.Fatal("a late membership write of the old process was stored")
	}
	// A membership write whose answer is lost is not written twice.
	env.store.ExpireLease(restarted.Self.Incarnation)
	env.refreshAll()
	env.store.LoseResponses = 1
	for range 6 {
		env.stepMembership()
	}
	tokens := map[uint64]bool{}
	for _, controller := range env.controllers {
		if controller != restarted {
			tokens[controller.fencingToken()] = true
		}
	}
	if len(tokens) != 1 {
		t.Fatalf("controllers have different fencing tokens: %v", tokens)
	}
	// The old process is no member, even if it still runs.
	_ = old.Syncer.ReadBarrier(time.Second) // the outcome makes no difference
	if code, _ := old.receiveHeartbeat(env.heartbeat("h1", 1, token)); code == http.StatusOK {
		t.Fatal("the old process answers workers")
	}
}

// TestRollingUpgradeWithCrashDuringElection upgrades the controllers one after the other while tasks
// run. The leader crashes during the election that its own upgrade causes, and restarts with the
// older version. No task may lose its claim or restart.
func TestRollingUpgradeWithCrashDuringElection(t *testing.T) {
	labels := []string{"a", "b", "c"}
	env := newTestEnv(t, labels...)
	for _, label := range labels {
		env.storeSessionVersion(label, true)
	}
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], serviceJob("wk-1", 2))
	env.runPasses()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	restart := func(label string, old bool) {
		env.store.ExpireLease(env.controllers[label].Self.Incarnation)
		env.startController(label, labels)
		env.stepMembership() // a single step: only its session is certainly stored, the election goes on
		if old {
			env.storeSessionVersion(label, true)
		}
	}
	checkDependenciesSupported := func(want bool) {
		t.Helper()
		for label, controller := range env.controllers {
			controller.Lock()
			got := controller.DependenciesSupported()
			controller.Unlock()
			if got != want {
				t.Fatalf("%s: dependencies supported: %v, want %v", label, got, want)
			}
		}
	}
	leaderLabel := env.leader().Self.Label
	restart(leaderLabel, false)
	restart(leaderLabel, true) // it crashes before it is a member, and restarts with the older version
	for _, label := range labels {
		for range 4 {
			env.stepMembership()
		}
		checkDependenciesSupported(false)
		restart(label, false)
		for range 4 {
			env.stepMembership()
		}
		env.acknowledgeToken("h1", 1, running...)
		env.runPasses()
		if controller := env.controllers[label]; controller.claimsOn("h1") != 2 || controller.Table.Jobs["wk-1"].Task(0).Attempt != 1 {
			t.Fatalf("after the upgrade of %s: %d claims, attempt %d", label, controller.claimsOn("h1"), controller.Table.Jobs["wk-1"].Task(0).Attempt)
		}
	}
	checkDependenciesSupported(true)
	code, body := env.controllers["a"].receiveHeartbeat(env.heartbeat("h1", 1, env.controllers["a"].fencingToken(), running...))
	if response, ok := body.(wire.HeartbeatResponse); code == http.StatusOK && (!ok || len(response.Commands) != 0) {
		t.Fatalf("a heartbeat with healthy tasks is answered with %v", body)
	}
	env.submit(env.controllers["b"], arrayJob("wk-2", 1))
	env.submit(env.controllers["c"], dependentJob(arrayJob("wk-3", 1), "wk-2"))
}

// TestMachinesOfACrashedControllerAreNotSilent clears a controller's workers, as a restart does, so
// that its peers get no news of its machines for a while. The leader once considered such machines
// silent and terminated all of them.
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
		if name := "h" + string(rune('a'+i)); leader.Membership.ShardOwner(name) == other.Self.Label {
			machineName = name
		}
	}
	env.addMachine(machineName, "batch")
	plannedMachine := func() autoscale.Machine {
		leader.Lock()
		defer leader.Unlock()
		for _, machine := range leader.leaderLoop.PlanInput(leader.leaderLoop.CurrentTerm(), leader.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()).Machines {
			if machine.Name == machineName {
				return machine
			}
		}
		return autoscale.Machine{}
	}
	for range 40 { // the machine sends heartbeats for a long time
		env.clock.add(5 * time.Second)
		env.refreshAll()
		other.receiveHeartbeat(env.heartbeat(machineName, 1, other.fencingToken()))
		env.sendPeerStatus(other, leader)
		plannedMachine()
	}
	other.Lock()
	clear(other.Workers.ByMachine) // as after a restart
	other.Unlock()
	env.sendPeerStatus(other, leader)
	env.clock.add(2 * time.Second)
	if machine := plannedMachine(); machine.Silent || machine.Missing {
		t.Fatalf("a machine that sent a heartbeat seconds ago is silent or missing: %+v", machine)
	}
}
