package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// describeFleet returns a line for each machine with the state that a pass reads, for comparisons.
func describeFleet(f *placement.Fleet) []string {
	var out []string
	for _, m := range f.Machines {
		tasks := slices.Clone(m.Tasks)
		slices.SortFunc(tasks, func(a, b placement.ClaimedTask) int {
			return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Task, b.ID.Task))
		})
		line := fmt.Sprintf("%s %s %s %s %v %s open %v session %d images %v free %.3f freeing %.3f tasks", m.Name, m.Type, m.Zone, m.Owner,
			m.Spot, m.Role, m.Schedulable, m.Incarnation, m.Images, m.Free, m.Freeing)
		for _, task := range tasks {
			line += fmt.Sprintf(" %s/%v", task.ID, task.Stopping)
		}
		out = append(out, line)
	}
	return out
}

// checkMachineIndex compares the machine index that the controller updates incrementally, and its
// sums of claims, with a rebuilt one.
func checkMachineIndex(t testing.TB, controller *Controller) {
	t.Helper()
	controller.Lock()
	defer controller.Unlock()
	if controller.Membership == nil || !controller.IsMember() {
		return
	}
	now := controller.Now()
	indexed, indexedClaims, index := describeFleet(controller.MachineIndex.RefreshMachines(now)), controller.MachineIndex.ClaimTotals(), controller.MachineIndex
	controller.MachineIndex.Reset()
	rebuilt, rebuiltClaims := describeFleet(controller.MachineIndex.RefreshMachines(now)), controller.MachineIndex.ClaimTotals()
	controller.MachineIndex = index // kept, so that missed updates accumulate until a later check
	if !slices.Equal(indexed, rebuilt) {
		for i := range rebuilt {
			if i >= len(indexed) || indexed[i] != rebuilt[i] {
				t.Fatalf("%s: %d machines in the index, %d in a rebuilt one; the first that differs:\n%s\n%s", controller.Self.Label, len(indexed), len(rebuilt), indexed[min(i, len(indexed)-1)], rebuilt[i])
			}
		}
		t.Fatalf("%s: %d machines in the index, %d in a rebuilt one", controller.Self.Label, len(indexed), len(rebuilt))
	}
	for _, m := range controller.Membership.Members {
		for _, team := range controller.Settings.Params.Teams {
			if a, b := indexedClaims[m.Label][team.Name], rebuiltClaims[m.Label][team.Name]; math.Abs(a.GPUs-b.GPUs) > 1e-6 || math.Abs(a.CPUs-b.CPUs) > 1e-6 {
				t.Fatalf("%s: claims of %s on the machines of %s: %v in the index, %v in a rebuilt one", controller.Self.Label, team.Name, m.Label, a, b)
			}
		}
	}
}

// On a fleet with thousands of claims, the end of one task reindexes only its machine, not those of
// the other tasks in its chunk. Guards against a pass that iterates over all tasks of the fleet, which
// took half of the CPU time of a small machine.
func TestAChangeOfOneTaskReindexesOneMachine(t *testing.T) {
	env := newFleetEnv(t, "a")
	env.raiseTeamLimit()
	env.submitJobs(0, 20)
	controller := env.leader()
	for range 6 {
		env.runPasses()
	}
	controller.Lock()
	controller.MachineIndex.RefreshMachines(controller.Now())
	job := controller.Table.Jobs["wk-200000"]
	task := job.Task(0)
	if len(job.Claims) != 60 || len(controller.MachineIndex.ChangedMachines) != 0 {
		t.Fatalf("%d tasks are claimed, %d machines are to be reindexed", len(job.Claims), len(controller.MachineIndex.ChangedMachines))
	}
	// A watch delivers a copy of the chunk in which one task differs, and then the same copy again.
	tasks := job.ChunkCopy(0)
	tasks[0], _ = tasks[0].Next(jobs.TaskEvent{Kind: jobs.EventTaskComplete})
	value := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), value); err != nil {
		t.Fatal(err)
	}
	if len(controller.MachineIndex.ChangedMachines) != 1 || !controller.MachineIndex.ChangedMachines[task.Machine] {
		t.Errorf("%d machines are to be reindexed, only %s has changed", len(controller.MachineIndex.ChangedMachines), task.Machine)
	}
	if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), value); err != nil {
		t.Fatal(err)
	}
	if len(controller.MachineIndex.ChangedMachines) != 1 {
		t.Errorf("%d machines are to be reindexed after the same chunk was applied again", len(controller.MachineIndex.ChangedMachines))
	}
	controller.Unlock()
	checkMachineIndex(t, controller)
}

// The next refresh of the machine index rolls back what a pass has planned. Guards against tasks that
// a pass would preempt on machines of other owners counting as preempted in the next pass.
func TestAPassRollsBackTheMachineIndex(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.raiseTeamLimit()
	env.raiseFencingToken()
	for i := range 6 {
		env.addMachine(fmt.Sprintf("h%d", i), "service")
	}
	for _, listed := range env.cloud.Machines {
		owner, _ := env.ownerOf(listed.Name)
		owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
	lowPriority := serviceJob("wk-1", 24)
	lowPriority.Priority = wire.PriorityLow
	env.submit(env.leader(), lowPriority)
	for range 4 {
		env.runPasses()
	}
	env.submit(env.leader(), serviceJob("wk-2", 12))
	preempted := 0
	for _, controller := range env.controllers {
		controller.Lock()
		now := controller.Now()
		before := describeFleet(controller.MachineIndex.RefreshMachines(now))
		out := placement.Schedule(controller.scheduler.PlacementInput(controller.MachineIndex.RefreshMachines(now), now))
		during := describeFleet(controller.MachineIndex.PlacementFleet)
		after := describeFleet(controller.MachineIndex.RefreshMachines(now))
		placement.Schedule(controller.scheduler.PlacementInput(controller.MachineIndex.PlacementFleet, now))
		controller.MachineIndex.NeedsRebuild = true // as after a machine has joined
		rebuilt := describeFleet(controller.MachineIndex.RefreshMachines(now))
		controller.Unlock()
		if !slices.Equal(before, rebuilt) {
			t.Errorf("%s: before a pass and in a rebuilt index:\n%v\n%v", controller.Self.Label, before, rebuilt)
		}
		preempted += len(out.Preemptions)
		if slices.Equal(before, during) {
			t.Errorf("%s plans nothing, so there is nothing to roll back", controller.Self.Label)
		}
		if !slices.Equal(before, after) {
			t.Errorf("%s: before and after a pass:\n%v\n%v", controller.Self.Label, before, after)
		}
	}
	if preempted != 12 {
		t.Errorf("%d tasks are preempted, want 12", preempted)
	}
}

// A change of a machine reaches peers with the next status. Guards against sending it only after the
// next full comparison of all machines with what peers know.
func TestAMachineChangeIsPublishedBeforeTheNextFullComparison(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller, other := env.ownerOf("h1")
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	env.exchangePeerStatus()
	controller.Lock()
	controller.Peers.OwnStatus(other.Peers.Siblings[controller.Self.Label].MachinesVersion) // compares all machines; the clock does not advance, so the next full comparison is not due
	controller.Unlock()
	notice := 10.0
	heartbeat := env.heartbeat("h1", 1, controller.fencingToken())
	heartbeat.TerminationNoticeS = &notice
	controller.receiveHeartbeat(heartbeat)
	env.sendPeerStatus(controller, other)
	if machine := other.Peers.Siblings[controller.Self.Label].Machines["h1"]; machine.TerminationNotice < 0 {
		t.Errorf("the peer did not receive the termination notice: %+v", machine)
	}
}
