package controller

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/leader"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// fleetSize is the number of machines of the largest known deployment, rounded up.
const fleetSize = 3300

// newFleetEnv returns an environment with a fleet of fleetSize machines, each of which has sent a
// heartbeat. Half of the machines have the service role, the other half the batch role.
func newFleetEnv(t testing.TB, labels ...string) *testEnv {
	t.Helper()
	env := newTestEnv(t, labels...)
	env.addFleet(fleetSize)
	return env
}

// addFleet adds machines to the cloud list and to the stored records, with alternating roles, and
// sends a heartbeat of each.
func (env *testEnv) addFleet(machines int) {
	leaderController := env.leader()
	for i := range machines {
		machineName := fmt.Sprintf("host-%06d", i)
		env.cloud.Machines = append(env.cloud.Machines, wire.Machine{Name: machineName, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
		role := placement.Batch
		if i%2 == 0 {
			role = placement.Service
		}
		leaderController.Lock()
		leaderController.leaderLoop.CurrentTerm().ScalingOut[machineName] = leader.PendingMachine{Role: role}
		leaderController.Unlock()
	}
	leaderController.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Machines)
	env.refreshAll()
	for _, listed := range env.cloud.Machines {
		owner, _ := env.ownerOf(listed.Name)
		owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
}

// submitJobs submits services of 8 tasks each and arrays of 60 tasks each.
func (env *testEnv) submitJobs(services, arrays int) {
	leader := env.leader()
	for i := range services {
		env.submit(leader, serviceJob(fmt.Sprintf("wk-1%05d", i), 8))
	}
	for i := range arrays {
		env.submit(leader, arrayJob(fmt.Sprintf("wk-2%05d", i), 60))
	}
}

// raiseTeamLimit replaces the low default limit of team x by one that no test reaches.
func (env *testEnv) raiseTeamLimit() {
	for _, controller := range env.controllers {
		controller.setTeamLimit(1e6)
	}
}

// 3300 machines join, hundreds of jobs are claimed, and the tasks of the arrays end. The number of
// transactions of each step is bounded; the time is not. Guards against writes whose number grows
// with the machines or tasks instead of with their groups or jobs.
func TestAFleetOf3300MachinesCostsFewWrites(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	env.raiseTeamLimit()
	env.raiseFencingToken()
	checkWrites := func(name string, limit uint64, step func()) {
		t.Helper()
		before := env.store.Revision
		step()
		if writes := env.store.Revision - before; writes > limit {
			t.Errorf("%s: %d transactions, want at most %d", name, writes, limit)
		}
	}
	leader := env.leader()
	checkWrites("3300 machines join", fleetSize/16, func() { env.addFleet(fleetSize) })
	const services, arrays = 150, 60
	env.submitJobs(services, arrays)
	checkWrites("210 jobs are claimed", 2*(services+arrays), func() {
		for range 30 {
			env.runPasses()
		}
	})
	claimed := 0
	for _, job := range leader.Table.Open {
		claimed += job.TaskCounts[jobs.Claimed]
	}
	if claimed != services*8+arrays*60 {
		t.Fatalf("%d tasks are claimed, want %d", claimed, services*8+arrays*60)
	}
	// All tasks of the arrays end, most of them on machines of other owners. Each owner stores the
	// ends of its tasks of a chunk at once or collects them first.
	tasks := map[string][]wire.TaskStatus{}
	for _, job := range leader.Table.Open {
		for i, task := range job.Claims {
			status := wire.TaskStatus{Task: jobs.TaskName(job.ID, i), Attempt: task.Attempt, State: wire.TaskRunning}
			if !job.IsService() {
				status.State, status.ExitCause = wire.TaskExited, wire.ExitCauseDone
			}
			tasks[task.Machine] = append(tasks[task.Machine], status)
		}
	}
	checkWrites("3600 tasks end", 4*arrays, func() {
		for _, listed := range env.cloud.Machines {
			owner, _ := env.ownerOf(listed.Name)
			owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken(), tasks[listed.Name]...))
		}
		for range 12 {
			env.clock.add(tuning.ReleaseBatchDelay)
			env.refreshAll()
			env.runPasses()
		}
	})
	for i := range arrays {
		if jobID := fmt.Sprintf("wk-2%05d", i); leader.Table.Jobs[jobID].Record.Phase != jobs.Done {
			t.Fatalf("%s is %s, want done", jobID, leader.Table.Jobs[jobID].Record.Phase)
		}
	}
	// Nothing has changed, so that peer statuses must contain no machines.
	env.exchangePeerStatus()
	for _, controller := range env.controllers {
		for _, peerController := range env.controllers {
			if peerController == controller {
				continue
			}
			controller.Lock()
			peerStatus := controller.Peers.OwnStatus(peerController.Peers.Siblings[controller.Self.Label].MachinesVersion)
			controller.Unlock()
			if size := len(peerStatus.Encode()); size > 300 {
				t.Errorf("the peer status from %s to %s has %d bytes although nothing has changed", controller.Self.Label, peerController.Self.Label, size)
			}
		}
	}
	for key, entry := range env.store.Keys {
		if len(entry.Value) > 4096 {
			t.Errorf("the value of %s has %d bytes", key, len(entry.Value))
		}
	}
}

// All controllers but the leader crash. The leader writes at most two memberships, keeps the
// acknowledged tokens of its own machines, and takes over the other machines when they send
// heartbeats. No claim is lost or made again.
func TestOneControllerTakesOverAFleetOf3300Machines(t *testing.T) {
	env := newFleetEnv(t, "a", "b", "c")
	env.raiseTeamLimit()
	env.raiseFencingToken()
	for _, listed := range env.cloud.Machines {
		owner, _ := env.ownerOf(listed.Name)
		owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
	env.submitJobs(60, 20)
	for range 12 {
		env.runPasses()
	}
	leader := env.leader()
	claimed := func() (n int) {
		for _, job := range leader.Table.Open {
			n += job.TaskCounts[jobs.Claimed]
		}
		return n
	}
	claimsBefore, ownedByLeader := claimed(), 0
	for _, listed := range env.cloud.Machines {
		if machineOwner, _ := env.ownerOf(listed.Name); machineOwner == leader {
			ownedByLeader++
		}
	}
	if claimsBefore != 60*8+20*60 {
		t.Fatalf("%d tasks are claimed, want %d", claimsBefore, 60*8+20*60)
	}
	revision := env.store.Revision
	for label, controller := range env.controllers {
		if controller != leader {
			env.store.ExpireLease(controller.Self.Incarnation)
			delete(env.controllers, label)
		}
	}
	for range 3 {
		env.stepMembership()
	}
	written := 0
	for _, event := range env.store.Events {
		if event.Version > revision && event.Put == membership.RecordKey {
			written++
		}
	}
	if written > 2 {
		t.Errorf("%d memberships were written after two controllers crashed, want at most 2", written)
	}
	acknowledged := 0
	for _, knownWorker := range leader.Workers.ByMachine {
		if knownWorker.State == worker.TokenAcknowledged {
			acknowledged++
		}
	}
	if acknowledged != ownedByLeader {
		t.Errorf("%d machines have an acknowledged token, want the %d that the leader owned before", acknowledged, ownedByLeader)
	}
	for _, listed := range env.cloud.Machines {
		if code, _ := leader.receiveHeartbeat(env.heartbeat(listed.Name, 1, leader.fencingToken())); code != http.StatusOK {
			t.Fatalf("the heartbeat of %s got status %d", listed.Name, code)
		}
	}
	revision = env.store.Revision
	for range 3 {
		env.runPasses()
	}
	if n := claimed(); n != claimsBefore {
		t.Errorf("%d tasks are claimed after the takeover, %d were before", n, claimsBefore)
	}
	if n := env.store.Revision - revision; n > 4 {
		t.Errorf("%d transactions although no task has ended", n)
	}
}

// A write of machine groups gets no response, conflicts, or is done only in part because the leader
// stops. The next cloud list must complete the records, without a repeated write.
func TestMachineGroupWritesSurviveLostResponsesConflictsAndPartialWrites(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	ctx := context.Background()
	var list []wire.Machine
	for i := range 100 {
		list = append(list, wire.Machine{Name: fmt.Sprintf("host-%06d", i), Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning})
	}
	known := func() int {
		env.refreshAll()
		controller.Lock()
		defer controller.Unlock()
		return len(controller.Inventory.Machines)
	}
	env.store.LoseResponses = 1
	controller.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 {
		t.Fatalf("%d machines after a lost response, want 10", known())
	}
	revision := env.store.Revision
	controller.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 || env.store.Revision != revision {
		t.Fatal("a group whose write got no response was written again")
	}
	// Another write of the group is applied first.
	key := controller.Inventory.RecordKey("host-000000")
	if _, err := env.store.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: key, Value: env.store.Keys[key].Value}}); err != nil {
		t.Fatal(err)
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 10 {
		t.Fatalf("%d machines, want 10: a write planned from an outdated group was stored", known())
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 12 {
		t.Fatalf("%d machines after a conflict, want 12", known())
	}
	// The leader stops after it has stored the first of several groups.
	controller.Lock()
	writes := controller.Inventory.PlanWrites(joinChanges(list[12:]), nil, controller.MaxRecordGroupBytes(), controller.Limits.TxnOps)
	controller.Unlock()
	if len(writes) < 3 {
		t.Fatalf("%d writes are planned, want at least 3", len(writes))
	}
	if _, err := env.store.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: writes[0].Key, Value: wire.MustMarshal(writes[0].Group)}}); err != nil {
		t.Fatal(err)
	}
	if count := known(); count <= 12 || count >= 100 {
		t.Fatalf("%d machines after a partial write, want more than 12 and less than 100", count)
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list)
	if known() != 100 {
		t.Fatalf("%d machines after the next list, want 100", known())
	}
}

// joinChanges returns the changes that add the listed machines with the batch role.
func joinChanges(list []wire.Machine) []inventory.RecordChange {
	var changes []inventory.RecordChange
	for _, listed := range list {
		changes = append(changes, inventory.RecordChange{Machine: listed.Name, After: &inventory.Record{MachineType: listed.MachineType, Zone: listed.Zone, Role: placement.Batch, Phase: inventory.Active}})
	}
	return changes
}

// Five controllers with 4,000 machines place the jobs of 40 teams, each of which requests more than
// its limit. All controllers plan a round's writes before any of them is stored. No team exceeds
// its limit after any round, each limit is used completely in the end, and the number of writes is
// at most three times the number of jobs.
func TestQuotaHoldsWhileManyTeamsRaceOn4000Machines(t *testing.T) {
	const machines, teams, limit, jobsEach, tasks = 4000, 40, 48, 3, 24
	for _, transfers := range []bool{false, true} {
		t.Run(fmt.Sprintf("transfers %v", transfers), func(t *testing.T) {
			env := newTestEnv(t, "a", "b", "c", "d", "e")
			for _, controller := range env.controllers {
				controller.Settings.Params.Teams = nil
				for i := range teams {
					controller.Settings.Params.Teams = append(controller.Settings.Params.Teams, config.Team{Name: fmt.Sprintf("team-%d", i), GPUsMax: limit})
				}
				controller.Settings.Operator.QuotaTransfers = transfers
				controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
			}
			env.raiseFencingToken()
			env.addFleet(machines)
			leader := env.leader()
			for i := range teams * jobsEach {
				job := arrayJob(fmt.Sprintf("wk-%d", 1000+i), tasks)
				job.Team = fmt.Sprintf("team-%d", i%teams)
				env.submit(leader, job)
			}
			used := func() (least, most, sum float64) {
				least = limit
				for i := range teams {
					gpus := leader.Table.ResourcesByTeam[fmt.Sprintf("team-%d", i)].GPUs
					least, most, sum = min(least, gpus), max(most, gpus), sum+gpus
				}
				return least, most, sum
			}
			before := env.store.Revision
			rounds := 0
			for least := 0.0; least < limit && rounds < 60; rounds++ {
				env.runConcurrentPasses()
				var most float64
				if least, most, _ = used(); most > limit {
					t.Fatalf("a team uses %v GPUs, its limit is %v", most, limit)
				}
				env.clock.add(tuning.ConflictPause)
				env.exchangePeerStatus()
			}
			least, _, sum := used()
			changes := env.store.Revision - before
			t.Logf("transfers %v: %v GPUs in use after %d rounds, %d changes", transfers, sum, rounds, changes)
			if least < limit || changes > 3*teams*jobsEach {
				t.Errorf("transfers %v: one team uses only %v GPUs of its limit of %v, %d changes for %d jobs", transfers, least, limit, changes, teams*jobsEach)
			}
		})
	}
}

// runConcurrentPasses runs one pass of every controller, and stores the planned writes only after
// all controllers have planned theirs.
func (env *testEnv) runConcurrentPasses() {
	type plannedWrite struct {
		controller *Controller
		write      *scheduler.PendingWrite
	}
	var planned []plannedWrite
	for _, controller := range env.controllers {
		controller.Lock()
		for _, write := range controller.scheduler.PlanPass() {
			planned = append(planned, plannedWrite{controller, write})
		}
		controller.Unlock()
	}
	for _, p := range planned {
		p.controller.scheduler.Commit(context.Background(), p.write)
	}
	env.refreshAll()
}

// The largest job array is placed in passes of at most 2 s, and no stored value exceeds the size
// limit of the store.
func TestAJobArrayOfTheLargestSizeStaysWithinLimits(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.setTeamLimit(0)
	env.addMachine("h1", "batch")
	controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
	job := arrayJob("wk-1", wire.MaxTasks)
	job.GPUs = 0.01
	job.CPUs = 0.01
	job.RAMGB = 0.01
	env.submit(controller, job)
	for range 4 {
		env.clock.add(10 * time.Second)
		env.refreshAll()
		controller.receiveHeartbeat(env.heartbeat("h1", 1, controller.fencingToken()))
		start := time.Now()
		controller.Lock()
		pending := controller.scheduler.PlanPass()
		controller.Unlock()
		if duration := time.Since(start); duration > 2*time.Second {
			t.Errorf("a pass took %v", duration)
		}
		for _, write := range pending {
			controller.scheduler.Commit(context.Background(), write)
		}
		env.refreshAll()
	}
	if controller.claimsOn("h1") < 2*tuning.TasksPerJob {
		t.Fatalf("%d tasks were claimed in four passes, want at least %d", controller.claimsOn("h1"), 2*tuning.TasksPerJob)
	}
	for key, entry := range env.store.Keys {
		var value any
		if err := wire.Unmarshal(entry.Value, &value); err != nil || len(fmt.Sprint(value)) > 4096 {
			t.Errorf("the value of %s: %d bytes, error %v", key, len(fmt.Sprint(value)), err)
		}
	}
	if _, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); status.State != wire.StateRunning || status.Done != 0 {
		t.Fatalf("state of the job: %+v, want it running with no task done", status)
	}
}
