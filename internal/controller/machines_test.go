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

// A machine's heartbeats arrive, but no response and no direct call reaches it. It must get no new
// tasks, its services must move only after its lease has certainly expired, and it must be used
// again once it responds to a direct call.
func TestAnUnresponsiveMachineTakesNoNewTasksAndItsServicesMove(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	env.submit(controller, serviceJob("wk-1", 2))
	env.runPasses()
	running := []wire.TaskStatus{{Task: "wk-1/0", Attempt: 1, State: wire.TaskRunning}, {Task: "wk-1/1", Attempt: 1, State: wire.TaskRunning}}
	env.acknowledgeToken("h1", 1, running...)
	// From here on, nothing reaches the machine. The command to start a third task is pending.
	env.submit(controller, serviceJob("wk-2", 1))
	env.runPasses()
	for range 3 {
		env.acknowledgeToken("h1", 1, running...)
		env.clock.add(tuning.ConfirmAfter)
		env.refreshAll()
	}
	if !controller.Workers.ByMachine["h1"].Unresponsive {
		t.Fatal("the machine is not marked unresponsive although it carries out no command")
	}
	env.submit(controller, serviceJob("wk-3", 1))
	env.runPasses()
	if controller.Table.Jobs["wk-3"].TaskCounts[jobs.Claimed] != 0 {
		t.Fatal("a new task was placed on an unresponsive machine")
	}
	// The services stay until the lease has certainly expired, even if another machine is free,
	// because the heartbeats show that the machine still runs them.
	env.addMachine("h2", "service")
	env.acknowledgeToken("h2", 1)
	env.runPasses()
	if controller.claimsOn("h1") != 3 {
		t.Fatalf("%d claims on h1, want 3: tasks were released before the lease has certainly expired", controller.claimsOn("h1"))
	}
	// The lease expires because no response renews it. A new incarnation shows that.
	env.acknowledgeToken("h1", 2)
	env.runPasses()
	env.runPasses()
	if controller.claimsOn("h1") != 0 || controller.claimsOn("h2") != 4 {
		t.Fatalf("%d claims on h1 and %d on h2, want 0 and 4", controller.claimsOn("h1"), controller.claimsOn("h2"))
	}
	// The machine is responsive again: a direct call gets a response.
	controller.Lock()
	controller.Workers.ByMachine["h1"].RecordCallAnswered()
	controller.Unlock()
	env.acknowledgeToken("h1", 2)
	env.submit(controller, serviceJob("wk-4", 1))
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("the machine is not used again after it responded")
	}
}

// A machine that stays unresponsive over several incarnations is scaled in as quarantined.
func TestAMachineThatStaysUnresponsiveIsScaledIn(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "service")
	env.acknowledgeToken("h1", 1)
	controller.Workers.ByMachine["h1"].Unresponsive = true
	var plan autoscale.Output
	for range 4 {
		env.clock.add(leaseDuration)
		env.refreshAll()
		env.acknowledgeToken("h1", controller.Workers.ByMachine["h1"].Incarnation+1)
		controller.Lock()
		controller.Workers.ByMachine["h1"].Unresponsive = true
		controller.leaderLoop.CurrentTerm().ListedAt = env.clock.now()
		plan = autoscale.Plan(controller.leaderLoop.PlanInput(controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
		controller.Unlock()
	}
	if len(plan.ScaleIn) != 1 || plan.ScaleIn[0].Reason != autoscale.ReasonQuarantined {
		t.Fatalf("scale-in %+v, want one machine that is quarantined", plan.ScaleIn)
	}
}

// Some machines send no heartbeats. Scale-out for their services must start before their leases
// expire. If more machines are silent than heard, the likely cause is the controller's own
// connection, and nothing is scaled out.
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
	demandedTasks := func(silent int) (tasks int) {
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
		if got := demandedTasks(silent); got != want {
			t.Errorf("%d of 6 machines are silent: capacity for %d tasks is demanded, want %d", silent, got, want)
		}
	}
}

// The cloud's lists may lag. A stored machine that a list omits counts as missing only if the list
// contains a machine that was created later, which shows that the list is newer. Otherwise the list
// may be older than the omitted machine.
func TestAMissingMachineCountsOnlyInALaterCloudList(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.addMachine("h2", "batch")
	env.addMachine("h3", "batch")
	controller.Lock()
	controller.leaderLoop.CurrentTerm().FirstListed = map[string]time.Time{} // the state after a failover
	controller.Unlock()
	controller.leaderLoop.ReconcileCloudList(context.Background(), []wire.Machine{env.cloud.Machines[0], env.cloud.Machines[2]})
	if term := controller.leaderLoop.CurrentTerm(); term.MissingLists["h2"] != 1 {
		t.Fatalf("missing lists %v after a list with a later machine, want one of h2", term.MissingLists)
	}
	controller.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Machines[:2])
	if term := controller.leaderLoop.CurrentTerm(); term.MissingLists["h3"] != 0 || term.MissingLists["h2"] != 0 {
		t.Fatalf("missing lists %v after a list that may be older, want none", term.MissingLists)
	}
}

// A drain is stored after a claim on the same machine was planned and before the claim is stored.
// The claim must fail, and the machine must be terminated only after all claims stored before the
// drain have been read. A delayed cloud list must not let the machine join again.
func TestADrainingMachineTakesNoClaimAndIsTerminatedEmpty(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	controller.Lock()
	claims := controller.scheduler.PlanPass()
	drains, _ := controller.leaderLoop.PlanDrains([]autoscale.ScaleIn{{Machine: "h1", Reason: autoscale.ReasonIdle}})
	controller.Unlock()
	controller.leaderLoop.StoreMachines(ctx, drains)
	controller.Lock()
	early, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentTerm(), env.clock.now())
	controller.Unlock()
	if len(early) != 0 {
		t.Fatal("the machine is terminated before all claims stored before the drain have been read")
	}
	for _, write := range claims {
		controller.scheduler.Commit(ctx, write)
	}
	env.refreshAll()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("a claim on a draining machine was stored")
	}
	controller.Lock()
	terminations, _ := controller.leaderLoop.PlanTerminations(controller.leaderLoop.CurrentTerm(), env.clock.now())
	controller.Unlock()
	controller.leaderLoop.TerminateMachines(ctx, terminations)
	// A delayed list still contains the machine.
	controller.leaderLoop.ReconcileCloudList(ctx, env.cloud.Machines)
	if record, known := controller.Inventory.Machines["h1"]; len(env.cloud.Terminated) != 1 || known {
		t.Fatalf("terminated %v, record %+v, want one termination and no record", env.cloud.Terminated, record)
	}
}

// A machine that the cloud's lists omit may still run its tasks, so that its absence alone must
// release none. The termination of the machine releases them.
func TestTasksOfAMissingMachineAreReleasedAfterItsTermination(t *testing.T) {
	env, controller := newEnvWithMachine(t, "batch")
	ctx := context.Background()
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("no task was claimed on h1")
	}
	env.cloud.Machines = nil
	for range tuning.MissingLists + 1 {
		env.clock.add(10 * time.Second)
		controller.leaderLoop.ReconcileCloudList(ctx, nil)
	}
	env.runPasses()
	if controller.claimsOn("h1") != 1 {
		t.Fatal("a task was released because the list omits its machine")
	}
	controller.Lock()
	term := controller.leaderLoop.CurrentTerm()
	controller.leaderLoop.PlanInput(term, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now())
	term.LastHeardAt["h1"] = env.clock.now().Add(-time.Minute)
	plan := autoscale.Plan(controller.leaderLoop.PlanInput(term, controller.MachineIndex.RefreshMachines(env.clock.now()), env.clock.now()))
	_, terminations := controller.leaderLoop.PlanDrains(plan.ScaleIn)
	controller.Unlock()
	if len(terminations) != 1 {
		t.Fatalf("a machine that the lists omit is not terminated; scale-in %v", plan.ScaleIn)
	}
	controller.leaderLoop.TerminateMachines(ctx, terminations)
	env.refreshAll()
	env.runPasses()
	if controller.claimsOn("h1") != 0 {
		t.Fatal("the task was not released after the termination of its machine")
	}
}

// A draining machine fails, and its owner crashes. The machine never acknowledges the fencing token
// of its new owner, which therefore cannot determine that the lease has expired. Guards against
// tasks that stay claimed permanently: the machine is terminated, which releases them.
func TestALostDrainingMachineIsTerminatedToReleaseItsTasks(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.runPasses()
	env.drainMachine("h1", autoscale.ReasonSurplus)
	owner, newOwner := env.ownerOf("h1")
	if owner.claimsOn("h1") != 1 || owner.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatalf("%d claims on h1, which is %s; want 1 and draining", owner.claimsOn("h1"), owner.Inventory.Machines["h1"].Phase)
	}
	// The owner crashes. The new owner gets no heartbeat of the machine.
	env.store.ExpireLease(owner.Self.Incarnation)
	delete(env.controllers, owner.Self.Label)
	for range 3 {
		env.stepMembership()
	}
	lostWhileDraining := func() []string {
		newOwner.Lock()
		defer newOwner.Unlock()
		term, now := newOwner.leaderLoop.CurrentTerm(), env.clock.now()
		newOwner.leaderLoop.PlanInput(term, newOwner.MachineIndex.RefreshMachines(now), now)
		return term.LostWhileDraining
	}
	if lost := lostWhileDraining(); len(lost) != 0 {
		t.Fatalf("%v are terminated before they have been silent long enough", lost)
	}
	env.clock.add(2*leaseDuration + 10*time.Second)
	env.refreshAll()
	lost := lostWhileDraining()
	if len(lost) != 1 {
		t.Fatalf("machines lost while draining: %v, want only h1", lost)
	}
	env.runPasses()
	if newOwner.claimsOn("h1") != 1 {
		t.Fatal("the task was released before the lease of its machine has certainly expired")
	}
	newOwner.leaderLoop.TerminateMachines(context.Background(), lost)
	env.refreshAll()
	env.runPasses()
	if newOwner.claimsOn("h1") != 0 {
		t.Fatal("the task was not released after the termination of its machine")
	}
}

// Writes of machine records wait for the write budget, up to several seconds. Meanwhile, an idle
// machine may get tasks, or another controller may become the leader. A record must be stored only
// if the reason for its change still holds when the write is sent.
func TestMachineRecordsAreStoredOnlyIfTheirDecisionStillHolds(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.submit(controller, arrayJob("wk-1", 1))
	env.runPasses()
	env.drainMachine("h1", autoscale.ReasonIdle)
	if controller.Inventory.Machines["h1"].Phase != inventory.Active {
		t.Fatal("a machine that has tasks again was drained as idle")
	}
	env.drainMachine("h1", autoscale.ReasonSurplus)
	if controller.Inventory.Machines["h1"].Phase != inventory.Draining {
		t.Fatal("a surplus machine was not drained")
	}
	controller.Lock()
	controller.Leader = nil
	controller.Unlock()
	controller.leaderLoop.StoreMachines(context.Background(), []inventory.RecordChange{{Machine: "h9", After: &inventory.Record{MachineType: "g", Zone: "z", Role: "batch", Phase: inventory.Active}}})
	env.refreshAll()
	if controller.Inventory.RecordKey("h9") != "" {
		t.Fatal("a controller that is not the leader stored machine records")
	}
}
