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

// describeFleet returns what a pass sees of the machines, in a form that can be
// compared.
func describeFleet(f *placement.Fleet) []string {
	var out []string
	for _, m := range f.Machines {
		tasks := slices.Clone(m.Tasks)
		slices.SortFunc(tasks, func(a, b placement.ClaimedTask) int {
			return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Task, b.ID.Task))
		})
		line := fmt.Sprintf("%s %s %s %s %v %s open %v session %d images %v free %.3f freeing %.3f tasks", m.Name, m.Type, m.Zone, m.Owner,
			m.Spot, m.Role, m.Schedulable, m.Incarnation, m.Images, m.Free, m.Freeing)
		for _, r := range tasks {
			line += fmt.Sprintf(" %s/%v", r.ID, r.Stopping)
		}
		out = append(out, line)
	}
	return out
}

// checkMachineIndex compares the index of the fleet that is kept up to date, and the
// sums of claims in it, with ones that are built anew.
func checkMachineIndex(t testing.TB, controller *Controller) {
	t.Helper()
	controller.Lock()
	defer controller.Unlock()
	if controller.Membership == nil || !controller.IsMember() {
		return
	}
	now := controller.Now()
	kept, held, view := describeFleet(controller.MachineIndex.RefreshMachines(now)), controller.MachineIndex.ClaimedByNode(), controller.MachineIndex
	controller.MachineIndex.Reset()
	anew, sums := describeFleet(controller.MachineIndex.RefreshMachines(now)), controller.MachineIndex.ClaimedByNode()
	controller.MachineIndex = view // goes on, so that what it misses adds up
	if !slices.Equal(kept, anew) {
		for i := range anew {
			if i >= len(kept) || kept[i] != anew[i] {
				t.Fatalf("%s: %d machines are kept, %d are there; the first that differs:\n%s\n%s", controller.Self.Label, len(kept), len(anew), kept[min(i, len(kept)-1)], anew[i])
			}
		}
		t.Fatalf("%s: %d machines are kept, %d are there", controller.Self.Label, len(kept), len(anew))
	}
	for _, m := range controller.Membership.Nodes {
		for _, team := range controller.Settings.Params.Teams {
			if a, b := held[m.Label][team.Name], sums[m.Label][team.Name]; math.Abs(a.GPUs-b.GPUs) > 1e-6 || math.Abs(a.CPUs-b.CPUs) > 1e-6 {
				t.Fatalf("%s: claims of %s on the machines of %s: %v kept, %v are there", controller.Self.Label, team.Name, m.Label, a, b)
			}
		}
	}
}

// The end of one task on a fleet with thousands of claims reindexes one machine, not
// all that the chunk's tasks run on. Guards against a pass that walks all tasks of the
// fleet: it took half of a small machine's processor.
func TestAChangeOfOneTaskReindexesOneMachine(t *testing.T) {
	env := newFleetEnv(t, "a")
	env.liftTeamLimit()
	env.submitJobs(0, 20)
	controller := env.leader()
	for range 6 {
		env.runPasses()
	}
	controller.Lock()
	controller.MachineIndex.RefreshMachines(controller.Now())
	job := controller.Table.Jobs["wk-200000"]
	task := job.Task(0)
	if len(job.Claims) != 60 || len(controller.MachineIndex.Changed) != 0 {
		t.Fatalf("%d tasks are claimed, %d machines are to be entered", len(job.Claims), len(controller.MachineIndex.Changed))
	}
	// Two copies of a chunk that differ in one task, as a watch brings them.
	tasks := job.ChunkCopy(0)
	tasks[0], _ = tasks[0].Next(jobs.TaskEvent{Kind: jobs.Complete})
	raw := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), raw); err != nil {
		t.Fatal(err)
	}
	if len(controller.MachineIndex.Changed) != 1 || !controller.MachineIndex.Changed[task.Machine] {
		t.Errorf("%d machines are to be entered, only %s has changed", len(controller.MachineIndex.Changed), task.Machine)
	}
	if err := controller.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), raw); err != nil {
		t.Fatal(err)
	}
	if len(controller.MachineIndex.Changed) != 1 {
		t.Errorf("%d machines are to be entered after the same chunk came once more", len(controller.MachineIndex.Changed))
	}
	controller.Unlock()
	checkMachineIndex(t, controller)
}

// What a pass plans on machines of other owners is rolled back: tasks that it would
// preempt there are tasks like others in the next pass.
func TestAPassRollsBackTheMachineIndex(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.liftTeamLimit()
	env.raiseFencingToken()
	for i := range 6 {
		env.addMachine(fmt.Sprintf("h%d", i), "service")
	}
	for _, listed := range env.cloud.Machines {
		owner, _ := env.ownerOf(listed.Name)
		owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
	low := serviceJob("wk-1", 24)
	low.Priority = wire.PriorityLow
	env.submit(env.leader(), low)
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
		during := describeFleet(controller.MachineIndex.Fleet)
		after := describeFleet(controller.MachineIndex.RefreshMachines(now))
		placement.Schedule(controller.scheduler.PlacementInput(controller.MachineIndex.Fleet, now))
		controller.MachineIndex.Rebuild = true // a machine has come: all are indexed anew
		rebuilt := describeFleet(controller.MachineIndex.RefreshMachines(now))
		controller.Unlock()
		if !slices.Equal(before, rebuilt) {
			t.Errorf("%s: before a pass and in a new index:\n%v\n%v", controller.Self.Label, before, rebuilt)
		}
		preempted += len(out.Preemptions)
		if slices.Equal(before, during) {
			t.Errorf("%s plans nothing: the test needs a pass that does", controller.Self.Label)
		}
		if !slices.Equal(before, after) {
			t.Errorf("%s: before and after a pass:\n%v\n%v", controller.Self.Label, before, after)
		}
	}
	if preempted != 12 {
		t.Errorf("%d tasks are stopped for 12", preempted)
	}
}

// A change on a machine reaches peers with the next status, not only when all machines
// are compared with what peers know.
func TestAMachineChangeIsPublishedBeforeTheNextFullComparison(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	env.addMachine("h1", "batch")
	controller, other := env.ownerOf("h1")
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	env.exchangePeerStatus()
	controller.Lock()
	controller.Peers.OwnStatus(other.Peers.Siblings[controller.Self.Label].MachinesVersion) // the clock stands: all were compared now
	controller.Unlock()
	notice := 10.0
	heartbeat := env.heartbeat("h1", 1, controller.fencingToken())
	heartbeat.TerminationNoticeS = &notice
	controller.receiveHeartbeat(heartbeat)
	env.sendPeerStatus(controller, other)
	if h := other.Peers.Siblings[controller.Self.Label].Machines["h1"]; h.TerminationNotice < 0 {
		t.Errorf("the peer knows %+v, without the notice", h)
	}
}
