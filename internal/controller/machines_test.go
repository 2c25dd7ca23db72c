package controller

import (
	"context"
	"testing"
	"time"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// A machine's heartbeats arrive, but no response and no direct call reaches it. It
// gets no new tasks; its services move only when its lease has surely expired, and it
// is used again once it answers.
func TestAnUnresponsiveMachineTakesNoNewTasksAndItsServicesMove(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	env.submit(controller, serviceJob("wk-1", 2))
	env.runPasses()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	env.acknowledgeToken("h1", 1, running...)
	// From here on nothing reaches it. Its commands are to start a third task.
	env.submit(controller, serviceJob("wk-2", 1))
	env.runPasses()
	for range 3 {
		env.acknowledgeToken("h1", 1, running...)
		env.clock.add(tuning.ConfirmAfter)
		env.refreshAll()
	}
	if !controller.Workers.ByMachine["h1"].Unresponsive {
		t.Fatal("nobody notices that it carries out no command")
	}
	env.submit(controller, serviceJob("wk-3", 1))
	env.runPasses()
	if controller.Table.Jobs["wk-3"].Counts[jobs.Claimed] != 0 {
		t.Fatal("a new task was placed on it")
	}
	// Its services stay until its lease has surely expired, even beside a free machine: its
	// heartbeats go on and it runs them.
	env.addMachine("h2", "service")
	env.acknowledgeToken("h2", 1)
	env.runPasses()
	if controller.claimsOn("h1") != 3 {
		t.Fatalf("%d claims on it: released before its lease has surely expired", controller.claimsOn("h1"))
	}
	// Its lease ends, since no answer renewed it: a new incarnation shows that.
	env.acknowledgeToken("h1", 2)
	env.runPasses()
	env.runPasses()
	if controller.claimsOn("h1") != 0 || controller.claimsOn("h2") != 4 {
		t.Fatalf("claims: %d on it, %d on the other machine", controller.claimsOn("h1"), controller.claimsOn("h2"))
	}
	// It is responsive again: a direct call is answered.
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

// A machine that stays unresponsive over several incarnations is replaced.
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
		controller.leaderLoop.CurrentTerm().ListedAt = env.clock.now()
		out = autoscale.Plan(controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
		controller.Unlock()
	}
	if len(out.ScaleIn) != 1 || out.ScaleIn[0].Reason != autoscale.ReasonQuarantined {
		t.Fatalf("%+v", out.ScaleIn)
	}
}

// Machines fall silent: scale-out for their services starts at once, not only when
// their leases have expired. If hardly any machine is heard, it is the controller that
// hears nothing, and nothing is scaled out.
func TestScaleOutForServicesStartsWhileTheirMachinesAreSilent(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.setTeamLimit(1000)
	env.raiseFencingToken()
	machineNames := []string{"h1", "h2", "h3", "h4", "h5", "h6"}
	for _, machineName := range machineNames {
		env.addMachine(machineName, "service")
		env.acknowledgeToken(machineName, 1)
	}
	env.submit(controller, serviceJob("wk-1", 24))
	env.runPasses()
	plannedTasks := func(silent int) (tasks int) {
		env.clock.add(controller.SilenceTimeout() + time.Second)
		env.refreshAll()
		for _, machineName := range machineNames[silent:] {
			env.acknowledgeToken(machineName, 1)
		}
		controller.Lock()
		defer controller.Unlock()
		now := controller.Now()
		for _, want := range controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(now), now).Demands {
			if want.Job.ID == "wk-1" {
				tasks += want.Count
			}
		}
		return tasks
	}
	for silent, want := range map[int]int{0: 0, 2: 8, 5: 0} {
		if got := plannedTasks(silent); got != want {
			t.Errorf("%d of 6 machines are silent: room for %d tasks is scaled out, want %d", silent, got, want)
		}
	}
}

// A cloud list that shows a machine created later is newer than all before it: what it
// omits is gone. A list that does not may be older than a new machine, which must not
// count as missing.
func TestAMissingMachineCountsOnlyInALaterCloudList(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.addMachine("h2", "batch")
	env.addMachine("h3", "batch")
	controller.Lock()
	controller.leaderLoop.CurrentTerm().FirstListed = map[string]time.Time{} // as after a failover
	controller.Unlock()
	controller.leaderLoop.ReconcileCloudList(context.Background(), []wire.Machine{env.cloud.Machines[0], env.cloud.Machines[2]})
	if state := controller.leaderLoop.CurrentTerm(); state.MissingLists["h2"] != 1 {
		t.Fatalf("absences %v beside a later machine", state.MissingLists)
	}
	controller.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Machines[:2])
	if state := controller.leaderLoop.CurrentTerm(); state.MissingLists["h3"] != 0 || state.MissingLists["h2"] != 0 {
		t.Fatalf("absences %v in a list that may be older", state.MissingLists)
	}
}

// A drain races with a claim: the claim must fail, and the machine is terminated only
// after all claims that the drain may have missed were read. A cloud list that is late
// must not let it join again.
func TestADrainingMachineTakesNoClaimAndIsTerminatedEmpty(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	controller.Lock()
	claim := controller.scheduler.PlanPass()
	drains, _ := controller.leaderLoop.PlanDrains([]autoscale.ScaleIn{{Machine: "h1", Reason: autoscale.ReasonIdle}})
	controller.Unlock()
	controller.leaderLoop.StoreMachines(ctx, drains)
	controller.Lock()
	early, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentTerm(), env.clock.now())
	controller.Unlock()
	if len(early) != 0 {
		t.Fatal("terminated before all claims that the drain may have missed were read")
	}
	for _, c := range claim {
		controller.scheduler.Commit(ctx, c)
	}
	env.refreshAll()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("a claim on a drained machine was stored")
	}
	controller.Lock()
	returns, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentTerm(), env.clock.now())
	controller.Unlock()
	controller.leaderLoop.TerminateMachines(ctx, returns)
	// A list that is late still shows it; it must not join again.
	controller.leaderLoop.ReconcileCloudList(ctx, env.cloud.Machines)
	if rec, known := controller.Inventory.Machines["h1"]; len(env.cloud.Terminated) != 1 || known {
		t.Fatalf("terminated %v, still known: %+v", env.cloud.Terminated, rec)
	}
}

// Absence from the cloud list alone releases no task: it may run on. The termination
// of the machine does.
func TestTasksOfAMissingMachineAreReleasedAfterItsTermination(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("no claim")
	}
	env.cloud.Machines = nil
	for range tuning.MissingLists + 1 {
		env.clock.add(10 * time.Second)
		controller.leaderLoop.ReconcileCloudList(ctx, nil)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("absence from the list released a task")
	}
	controller.Lock()
	state := controller.leaderLoop.CurrentTerm()
	controller.leaderLoop.PlanInput(state, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now())
	state.LastHeard["h1"] = env.clock.now().Add(-time.Minute)
	out := autoscale.Plan(controller.leaderLoop.PlanInput(state, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
	_, returns := controller.leaderLoop.PlanDrains(out.ScaleIn)
	controller.Unlock()
	if len(returns) != 1 {
		t.Fatalf("a machine that the list omits is not terminated: drains %v", out.ScaleIn)
	}
	controller.leaderLoop.TerminateMachines(ctx, returns)
	env.refreshAll()
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("the termination did not release the task")
	}
}

// A machine that was lost while draining never acknowledges its owner's next fencing
// token, so that the expiry of its lease can't be shown. Guards against its tasks
// staying claimed for ever: it is terminated, which releases them.
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
	// Its owner crashes; the new owner gets no heartbeat of it.
	env.store.Expire(owner.Self.Incarnation)
	delete(env.controllers, owner.Self.Label)
	for range 3 {
		env.stepMembership()
	}
	plan := func() []string {
		other.Lock()
		defer other.Unlock()
		state, now := other.leaderLoop.CurrentTerm(), env.clock.now()
		other.leaderLoop.PlanInput(state, other.MachineIndex.RefreshMachines(now), now)
		return state.LostWhileDraining
	}
	if lost := plan(); len(lost) != 0 {
		t.Fatalf("%v are terminated before they are surely silent", lost)
	}
	env.clock.add(2*leaseDuration + 10*time.Second)
	env.refreshAll()
	lost := plan()
	if len(lost) != 1 {
		t.Fatalf("lost: %v", lost)
	}
	env.runPasses()
	if other.claimsOn("h1") != 1 {
		t.Fatal("its task is released before its lease has surely expired")
	}
	other.leaderLoop.TerminateMachines(context.Background(), lost)
	env.refreshAll()
	env.runPasses()
	if other.claimsOn("h1") != 0 {
		t.Fatal("its task is never released")
	}
}

// Writes of machine records wait for the budget, up to seconds: a machine that was
// idle may have tasks by then, and another controller may lead. The decision must hold
// when the write goes out.
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
		t.Fatal("a controller that does not lead stores machine records")
	}
}
