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

// fleetSize is that of the largest deployment known, rounded up.
const fleetSize = 3300

// newFleetEnv returns an environment with a whole fleet that sends heartbeats: every
// second machine of the service role, the rest batch.
func newFleetEnv(t testing.TB, labels ...string) *testEnv {
	t.Helper()
	env := newTestEnv(t, labels...)
	env.addFleet(fleetSize)
	return env
}

// addFleet adds machines to the cloud list, and sends a heartbeat of each.
func (env *testEnv) addFleet(machines int) {
	l := env.leader()
	for i := range machines {
		machineName := fmt.Sprintf("host-%06d", i)
		env.cloud.Machines = append(env.cloud.Machines, wire.Machine{Name: machineName, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
		role := placement.Batch
		if i%2 == 0 {
			role = placement.Service
		}
		l.Lock()
		l.leaderLoop.CurrentTerm().ScalingOut[machineName] = leader.PendingMachine{Role: role}
		l.Unlock()
	}
	l.leaderLoop.ReconcileCloudList(context.Background(), env.cloud.Machines)
	env.refreshAll()
	for _, listed := range env.cloud.Machines {
		owner, _ := env.ownerOf(listed.Name)
		owner.receiveHeartbeat(env.heartbeat(listed.Name, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
}

// submitJobs submits services of 8 tasks and arrays of 60.
func (env *testEnv) submitJobs(services, arrays int) {
	leader := env.leader()
	for i := range services {
		env.submit(leader, serviceJob(fmt.Sprintf("wk-1%05d", i), 8))
	}
	for i := range arrays {
		env.submit(leader, arrayJob(fmt.Sprintf("wk-2%05d", i), 60))
	}
}

// liftTeamLimit lifts the low limit that tests of few machines have.
func (env *testEnv) liftTeamLimit() {
	for _, controller := range env.controllers {
		controller.setTeamLimit(1e6)
	}
}

// A whole fleet joins, gets hundreds of jobs and ends them. What is bounded is the
// number of writes, not the time.
func TestAFleetOf3300MachinesCostsFewWrites(t *testing.T) {
	env := newTestEnv(t, "a", "b", "c")
	env.liftTeamLimit()
	env.raiseFencingToken()
	checkWrites := func(what string, most uint64, f func()) {
		t.Helper()
		before := env.store.Revision
		f()
		if n := env.store.Revision - before; n > most {
			t.Errorf("%s: %d transactions, at most %d are due", what, n, most)
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
		claimed += job.Counts[jobs.Claimed]
	}
	if claimed != services*8+arrays*60 {
		t.Fatalf("%d tasks are claimed", claimed)
	}
	// All tasks of the arrays end, most on machines of other owners: each
	// owner stores its part of a chunk at once, or gathers it.
	tasks := map[string][]wire.TaskStatus{}
	for _, job := range leader.Table.Open {
		for i, task := range job.Claims {
			s := wire.TaskStatus{Task: jobs.TaskName(job.ID, i), Attempt: task.Attempt, State: wire.TaskRunning}
			if !job.Service() {
				s.State, s.ExitCause = wire.TaskExited, wire.ExitCauseDone
			}
			tasks[task.Machine] = append(tasks[task.Machine], s)
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
			t.Fatalf("%s is %s", jobID, leader.Table.Jobs[jobID].Record.Phase)
		}
	}
	// Nothing has changed: peer statuses hold nothing of the machines.
	env.exchangePeerStatus()
	for _, controller := range env.controllers {
		for _, peerController := range env.controllers {
			if peerController == controller {
				continue
			}
			controller.Lock()
			st := controller.Peers.OwnStatus(peerController.Peers.Siblings[controller.Self.Label].MachinesVersion)
			controller.Unlock()
			if b := len(st.Encode()); b > 300 {
				t.Errorf("%s tells %s %d bytes though nothing has changed", controller.Self.Label, peerController.Self.Label, b)
			}
		}
	}
	for k, e := range env.store.Keys {
		if len(e.Value) > 4096 {
			t.Errorf("%s holds %d bytes", k, len(e.Value))
		}
	}
}

// All controllers but one crash: the survivor writes few memberships, keeps the
// acknowledged tokens of its own machines, takes the others over as they send
// heartbeats, and loses and repeats nothing.
func TestOneControllerTakesOverAFleetOf3300Machines(t *testing.T) {
	env := newFleetEnv(t, "a", "b", "c")
	env.liftTeamLimit()
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
			n += job.Counts[jobs.Claimed]
		}
		return n
	}
	had, own := claimed(), 0
	for _, listed := range env.cloud.Machines {
		if o, _ := env.ownerOf(listed.Name); o == leader {
			own++
		}
	}
	if had != 60*8+20*60 {
		t.Fatalf("%d tasks are claimed", had)
	}
	revision := env.store.Revision
	for label, controller := range env.controllers {
		if controller != leader {
			env.store.Expire(controller.Self.Incarnation)
			delete(env.controllers, label)
		}
	}
	for range 3 {
		env.stepMembership()
	}
	written := 0
	for _, e := range env.store.Events {
		if e.Version > revision && e.Put == membership.RecordKey {
			written++
		}
	}
	if written > 2 {
		t.Errorf("%d memberships are written for two controllers that are gone", written)
	}
	acknowledged := 0
	for _, m := range leader.Workers.ByMachine {
		if m.State == worker.TokenAcknowledged {
			acknowledged++
		}
	}
	if acknowledged != own {
		t.Errorf("%d of its own %d machines have an acknowledged token", acknowledged, own)
	}
	for _, listed := range env.cloud.Machines {
		if code, _ := leader.receiveHeartbeat(env.heartbeat(listed.Name, 1, leader.fencingToken())); code != http.StatusOK {
			t.Fatalf("%s is answered %d", listed.Name, code)
		}
	}
	revision = env.store.Revision
	for range 3 {
		env.runPasses()
	}
	if n := claimed(); n != had {
		t.Errorf("%d tasks are claimed, %d were", n, had)
	}
	if n := env.store.Revision - revision; n > 4 {
		t.Errorf("%d transactions though nothing has ended", n)
	}
}

// Machine groups whose write gets no answer, conflicts, or was done in part before the
// leader stopped, are put right by the next cloud list.
func TestMachineGroupWritesSurviveLostAnswersConflictsAndPartialWrites(t *testing.T) {
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
	env.store.LoseAnswers = 1
	controller.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 {
		t.Fatalf("%d machines after a lost answer", known())
	}
	revision := env.store.Revision
	controller.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 || env.store.Revision != revision {
		t.Fatal("a group whose answer was lost is written again")
	}
	// Somebody else's write of the group comes first.
	key := controller.Inventory.KeyOf("host-000000")
	if _, err := env.store.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: key, Value: env.store.Keys[key].Value}}); err != nil {
		t.Fatal(err)
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 10 {
		t.Fatalf("%d machines: a write computed from an older group was stored", known())
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 12 {
		t.Fatalf("%d machines after a conflict", known())
	}
	// The leader stops after its first group: some joined, the rest did not.
	controller.Lock()
	writes := controller.Inventory.PlanWrites(joinRecords(list[12:]), nil, controller.MaxGroupBytes(), controller.Limits.TxnOps)
	controller.Unlock()
	if len(writes) < 3 {
		t.Fatalf("%d writes", len(writes))
	}
	if _, err := env.store.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: writes[0].Key, Value: wire.MustMarshal(writes[0].Group)}}); err != nil {
		t.Fatal(err)
	}
	if k := known(); k <= 12 || k >= 100 {
		t.Fatalf("%d machines half way", k)
	}
	controller.leaderLoop.ReconcileCloudList(ctx, list)
	if known() != 100 {
		t.Fatalf("%d machines after the next list", known())
	}
}

func joinRecords(list []wire.Machine) []inventory.RecordChange {
	var out []inventory.RecordChange
	for _, listed := range list {
		out = append(out, inventory.RecordChange{Machine: listed.Name, After: &inventory.Record{MachineType: listed.MachineType, Zone: listed.Zone, Role: placement.Batch, Phase: inventory.Active}})
	}
	return out
}

// Forty teams, each with more pending than its limit, on 4,000 machines of five
// controllers that all decide before any write is stored: no limit is exceeded after
// any round, each is used to the last unit, and an admission costs little more than
// its own write.
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
				spec := arrayJob(fmt.Sprintf("wk-%d", 1000+i), tasks)
				spec.Team = fmt.Sprintf("team-%d", i%teams)
				env.submit(leader, spec)
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
					t.Fatalf("a team uses %v of %v", most, limit)
				}
				env.clock.add(tuning.ConflictPause)
				env.exchangePeerStatus()
			}
			least, _, sum := used()
			changes := env.store.Revision - before
			t.Logf("transfers %v: %v GPUs after %d rounds, %d changes", transfers, sum, rounds, changes)
			if least < limit || changes > 3*teams*jobsEach {
				t.Errorf("transfers %v: the least that a team uses is %v of %v, %d changes for %d jobs", transfers, least, limit, changes, teams*jobsEach)
			}
		})
	}
}

// runConcurrentPasses lets every controller decide before any of the writes is stored.
func (env *testEnv) runConcurrentPasses() {
	type decided struct {
		n *Controller
		t *scheduler.PendingWrite
	}
	var all []decided
	for _, controller := range env.controllers {
		controller.Lock()
		for _, write := range controller.scheduler.PlanPass() {
			all = append(all, decided{controller, write})
		}
		controller.Unlock()
	}
	for _, d := range all {
		d.n.scheduler.Commit(context.Background(), d.t)
	}
	env.refreshAll()
}

// The largest job array stays within the value limit of the store and within the time
// of a pass.
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
