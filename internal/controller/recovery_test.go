package controller

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// recoveryStartRate is the number of task starts per second that each controller may send during
// its recovery.
const recoveryStartRate = 20

// controllerLabels are the labels of a simulation's controllers.
var controllerLabels = []string{"a", "b", "c"}

// newColdStart returns a simulation of three controllers and the given number of machines,
// with running jobs that use three quarters of the machines.
func newColdStart(t testing.TB, machines int, operator func(*config.Settings)) *simulation {
	sim := newSimulation(t, 0, 0)
	sim.configure = operator
	for i := range machines {
		sim.addBatchMachine(fmt.Sprintf("host-%03d", i)).ImagePullTime = 2 * time.Second
	}
	for _, label := range controllerLabels {
		sim.restartController(label)
		sim.run(6 * time.Second)
	}
	for i := range machines * 3 / 4 {
		jobID := fmt.Sprintf("wk-%d", 1000+i)
		sim.taskDuration[jobID] = time.Duration(60+i%200) * time.Second
		sim.submit(sim.leader(), arrayJob(jobID, 4))
	}
	sim.run(20 * time.Second)
	return sim
}

// recordCommands starts to record the commands that workers receive.
func (sim *simulation) recordCommands() *fake.CommandLog {
	log := fake.NewCommandLog()
	sim.forEachMachine(func(machine *simMachine) { machine.CommandLog = log })
	return log
}

// stopAllControllers stops all controllers at the same time.
func (sim *simulation) stopAllControllers() {
	for _, controller := range sim.controllers {
		controller.awaitDirectCalls() // otherwise one may reach its machine after the links are restored
		sim.expireSession(controller)
	}
	sim.controllers = map[string]*Controller{}
}

// runWithoutControllers advances the machines for a duration without any controller.
func (sim *simulation) runWithoutControllers(duration time.Duration) {
	for range int(duration / time.Second) {
		sim.clock.add(time.Second)
		sim.mu.Lock()
		for _, machine := range sim.machines {
			sim.advance(machine)
		}
		sim.mu.Unlock()
	}
}

// startAllControllers starts every controller with a new incarnation.
func (sim *simulation) startAllControllers() {
	for _, label := range controllerLabels {
		sim.restartController(label)
	}
}

// countRunningTasks returns the number of running tasks on all machines.
func (sim *simulation) countRunningTasks() (count int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		for _, task := range machine.Tasks {
			if task.State == wire.TaskRunning {
				count++
			}
		}
	}
	return count
}

// allRecovered reports whether every controller has completed its recovery.
func (sim *simulation) allRecovered() bool {
	for _, controller := range sim.controllers {
		controller.Lock()
		recovered := controller.Recovery.Progress.IsRecovered()
		controller.Unlock()
		if !recovered {
			return false
		}
	}
	return true
}

// recoveryBound returns the longest time from the start of all controllers to the end of recovery.
// It is the sum of the election, the time in which machines have to send heartbeats, and the time
// without pending starts that ends recovery. If starts are pending, a lease replaces the last part.
func (sim *simulation) recoveryBound(startsPending bool) time.Duration {
	bound := time.Duration(tuning.RecoveryMachineHeartbeats*float64(3*time.Second)) + 8*time.Second
	if startsPending {
		return bound + leaseDuration
	}
	return bound + time.Duration(tuning.RecoveryQuietHeartbeats*float64(3*time.Second))
}

// All controllers stop and start again, after less and after more than a lease, and in some cases
// again during the recovery. No worker receives a start twice, no running task is killed, and
// recovery ends within its bound. After an outage shorter than a lease, no task is restarted.
func TestAColdStartKeepsRunningTasksAndRepeatsNoStart(t *testing.T) {
	for _, tc := range []struct {
		outage       time.Duration
		furtherStops []time.Duration // times from a start to the next stop
		keepsTasks   bool
	}{
		{5 * time.Second, nil, true},
		{20 * time.Second, nil, true},
		{60 * time.Second, nil, false},
		{5 * time.Second, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, true},
		{5 * time.Second, []time.Duration{5 * time.Second, 8 * time.Second}, true},
		{60 * time.Second, []time.Duration{4 * time.Second, 7 * time.Second, 13 * time.Second}, false},
	} {
		t.Run(fmt.Sprint(tc.outage, " ", tc.furtherStops), func(t *testing.T) {
			t.Parallel()
			sim := newColdStart(t, 200, func(s *config.Settings) { s.Operator.RecoveryHold, s.Operator.RecoveryStarts = true, recoveryStartRate })
			before := sim.countRunningTasks()
			if before < 500 {
				t.Fatalf("only %d tasks run before the outage, want at least 500", before)
			}
			commands := sim.recordCommands()
			sim.stopAllControllers()
			sim.runWithoutControllers(tc.outage)
			sim.startAllControllers()
			for _, after := range tc.furtherStops {
				sim.run(after)
				sim.stopAllControllers()
				sim.runWithoutControllers(2 * time.Second)
				sim.startAllControllers()
			}
			took := time.Duration(0)
			for ; !sim.allRecovered() && took < time.Minute; took += time.Second {
				sim.step()
			}
			if bound := sim.recoveryBound(!tc.keepsTasks); took > bound {
				t.Errorf("recovery took %v, the bound is %v", took, bound)
			}
			received := commands.Snapshot()
			if tc.keepsTasks && (received.Starts != 0 || sim.countEndedIncarnations() != 0) {
				t.Errorf("%d starts and %d incarnations ended after an outage shorter than the lease", received.Starts, sim.countEndedIncarnations())
			}
			sim.run(90 * time.Second)
			received = commands.Snapshot()
			if len(received.DuplicateStarts) != 0 || len(received.Kills) != 0 {
				t.Errorf("%d starts were repeated and %d running tasks were killed: %v %v", len(received.DuplicateStarts), len(received.Kills), received.DuplicateStarts, received.Kills)
			}
			if !tc.keepsTasks && received.Starts < 500 {
				t.Errorf("%d starts after an outage longer than the lease, want at least 500", received.Starts)
			}
			if starts, bound := commands.MaxStartsWithin(5*time.Second), 6*recoveryStartRate*len(controllerLabels); starts > bound {
				t.Errorf("%d starts in 5 s, the bound is %d", starts, bound)
			}
			sim.run(400 * time.Second)
			sim.checkAllDone()
		})
	}
}

// countEndedIncarnations returns the number of machine incarnations that have ended.
func (sim *simulation) countEndedIncarnations() (count int) {
	for _, machine := range sim.machines {
		count += len(machine.endedIncarnations)
	}
	return count
}

// checkAllDone checks that every job is done.
func (sim *simulation) checkAllDone() {
	sim.t.Helper()
	controller := sim.leader()
	controller.Lock()
	defer controller.Unlock()
	for jobID, job := range controller.Table.Jobs {
		if job.Phase != jobs.Done {
			sim.t.Errorf("%s is %s at the end", jobID, job.Phase)
		}
	}
}

// All controllers stop while hundreds of claims are stored whose starts no worker has received.
// After the restart, each task is started once, at a bounded rate, and services before arrays.
func TestStartsAfterAnOutageAreRateLimited(t *testing.T) {
	const rate = 20
	sim := newSimulation(t, 0, 0)
	sim.configure = func(s *config.Settings) { s.Operator.RecoveryStarts = rate }
	for i := range 200 {
		role := "batch"
		if i%4 == 0 {
			role = "service"
		}
		sim.addMachineWithRole(fmt.Sprintf("host-%03d", i), role)
	}
	for _, label := range controllerLabels {
		sim.restartController(label)
		sim.run(6 * time.Second)
	}
	sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = true })
	for i := range 100 {
		spec := arrayJob(fmt.Sprintf("wk-%d", 1000+i), 4)
		if i%4 == 0 {
			spec = serviceJob(spec.ID, 4)
		}
		sim.submit(sim.leader(), spec)
	}
	for range 6 {
		sim.runPasses()
	}
	claimed := 0
	for _, job := range sim.leader().Table.Open {
		claimed += job.TaskCounts[jobs.Claimed]
	}
	if claimed != 400 || sim.countRunningTasks() != 0 {
		t.Fatalf("%d tasks are claimed and %d run, want 400 and 0", claimed, sim.countRunningTasks())
	}
	sim.stopAllControllers()
	sim.forEachMachine(func(machine *simMachine) { machine.inboundCut, machine.delayedCalls = false, nil })
	sim.runWithoutControllers(2 * time.Second)
	commands := sim.recordCommands()
	sim.startAllControllers()
	for elapsed := 0; !sim.allRecovered() && elapsed < 120; elapsed++ {
		sim.step()
	}
	sim.run(10 * time.Second)
	received := commands.Snapshot()
	if len(received.DuplicateStarts) != 0 || received.Starts != 400 {
		t.Errorf("%d starts, want 400; repeated: %v", received.Starts, received.DuplicateStarts)
	}
	for _, seconds := range []int{1, 2, 5} {
		// Each controller may send the starts of one second at once.
		if starts, bound := commands.MaxStartsWithin(time.Duration(seconds)*time.Second), rate*len(controllerLabels)*(seconds+1); starts > bound {
			t.Errorf("%d starts in %d s, the bound is %d", starts, seconds, bound)
		}
	}
	// 100 of the 400 starts are of services. A task of an array starts before one of a service
	// only if its machine sent a heartbeat earlier.
	isService := func(task string) bool { return sim.leader().Table.Jobs[strings.Split(task, "/")[0]].IsService() }
	earlyServices := 0
	for _, task := range received.StartedTasks[:len(received.StartedTasks)/2] {
		if isService(task) {
			earlyServices++
		}
	}
	if earlyServices < 80 {
		t.Errorf("only %d of the first half of the starts are of services, want at least 80", earlyServices)
	}
}

// After a restart of all controllers, free machines send their first heartbeats later than full
// ones. With recovery.hold, no running task is preempted for a pending one before that; without it,
// tasks are preempted although free machines exist.
func TestNothingIsPreemptedBeforeMachinesHaveSentHeartbeats(t *testing.T) {
	for _, hold := range []bool{true, false} {
		t.Run(fmt.Sprintf("hold %v", hold), func(t *testing.T) {
			sim := newSimulation(t, 0, 0)
			sim.configure = func(s *config.Settings) { s.Operator.RecoveryHold = hold }
			for i := range 12 {
				sim.addBatchMachine(fmt.Sprintf("host-%03d", i))
			}
			for _, label := range controllerLabels {
				sim.restartController(label)
				sim.run(6 * time.Second)
			}
			for i := range 6 {
				sim.submit(sim.leader(), arrayJob(fmt.Sprintf("wk-%d", 1000+i), 4))
			}
			sim.run(15 * time.Second)
			commands := sim.recordCommands()
			isFree := func(machine *simMachine) bool { return len(machine.Tasks) == 0 }
			var freeMachines []*simMachine
			sim.forEachMachine(func(machine *simMachine) {
				if isFree(machine) {
					freeMachines = append(freeMachines, machine)
				}
			})
			if len(freeMachines) < 4 {
				t.Fatalf("%d machines are free, want at least 4", len(freeMachines))
			}
			urgent := arrayJob("wk-1", 4)
			urgent.Priority = wire.PriorityUrgent
			sim.stopAllControllers()
			sim.runWithoutControllers(3 * time.Second)
			for _, machine := range freeMachines {
				machine.outboundCut = true
			}
			sim.startAllControllers()
			sim.step()
			sim.submit(sim.controllers["a"], urgent)
			sim.run(6 * time.Second)
			for _, machine := range freeMachines {
				machine.outboundCut = false
			}
			sim.run(20 * time.Second)
			kills := len(commands.Snapshot().Kills)
			if (kills == 0) != hold || sim.runningTasksOf("wk-1") != 4 {
				t.Errorf("hold %v: %d running tasks were killed, %d of 4 tasks of the urgent job run", hold, kills, sim.runningTasksOf("wk-1"))
			}
		})
	}
}

// The status page and the metrics are served even before a controller has read the stored state.
func TestTheStatusPageIsServedBeforeTheFirstRead(t *testing.T) {
	env := newTestEnv(t, "a")
	controllerSettings := settings("b", []string{"a", "b"})
	controllerSettings.Operator.RecoveryHold, controllerSettings.Operator.QuotaReservations = true, true
	controller := env.newUnsyncedController(controllerSettings)
	code, _, response := sendRequest(controller, "GET", "/status", nil)
	if page := string(response.Response.Body()); code != http.StatusOK || !strings.Contains(page, `recovery "loading"`) || !strings.Contains(page, "hold true") {
		t.Fatalf("status page: %d %s", code, page)
	}
	if code, _, _ := sendRequest(controller, "GET", "/metrics", nil); code != http.StatusOK {
		t.Fatalf("metrics: %d", code)
	}
}

// All controllers stop and start again three times, in a random order and with random pauses, and
// some of them restart once more. Meanwhile, machines hang or lose their connections, tasks end, and
// one job is cancelled just before each stop. The invariants hold (simulation.checkInvariants), and
// in the end every job has reached a final phase.
func TestInvariantsUnderRandomColdStarts(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			sim := newColdStart(t, 30, func(s *config.Settings) {
				s.Operator.RecoveryHold, s.Operator.RecoveryStarts = seed%2 == 0, int(seed%3)*10
			})
			sim.startGrace = leaseDuration + 3*time.Second
			for range 3 {
				cancelledJob := fmt.Sprintf("wk-%d", 1000+random.IntN(22))
				sim.cancelAt(sim.leader(), cancelledJob)
				sim.forEachMachine(func(machine *simMachine) {
					machine.hung, machine.outboundCut, machine.callsDelayed = random.IntN(8) == 0, random.IntN(8) == 0, random.IntN(8) == 0
				})
				sim.stopAllControllers()
				sim.runWithoutControllers(time.Duration(1+random.IntN(45)) * time.Second)
				for _, i := range random.Perm(len(controllerLabels)) {
					sim.restartController(controllerLabels[i])
					sim.run(time.Duration(random.IntN(5)) * time.Second)
					if random.IntN(3) == 0 {
						sim.restartController(controllerLabels[i])
					}
				}
				sim.run(time.Duration(random.IntN(15)) * time.Second)
				sim.forEachMachine(func(machine *simMachine) {
					machine.hung, machine.outboundCut, machine.callsDelayed = false, false, false
				})
			}
			sim.run(600 * time.Second)
			controller := sim.leader()
			controller.Lock()
			defer controller.Unlock()
			for jobID, job := range controller.Table.Jobs {
				if !job.Phase.Final() {
					t.Errorf("%s is %s at the end", jobID, job.Phase)
				}
			}
			if controller.Recovery.Progress.Phase != recovery.Recovered {
				t.Errorf("the leader is %s at the end", controller.Recovery.Progress.Phase)
			}
		})
	}
}

// BenchmarkColdStart measures a start of all controllers after an outage longer than the lease. In
// simulated time, it reports the seconds until recovery ends and until 90% of the tasks run again,
// the repeated starts, the killed tasks, the most starts in a second, and the changes of the store.
// The real time per operation includes the controllers' passes.
//
//	go test -run xxx -bench ColdStart -benchtime 1x ./internal/controller
func BenchmarkColdStart(b *testing.B) {
	for _, machines := range []int{200, 1000, 4000} {
		for _, rate := range []int{0, 100} {
			b.Run(fmt.Sprintf("machines=%d/starts=%d", machines, rate), func(b *testing.B) {
				for range b.N {
					sim := newColdStart(b, machines, func(s *config.Settings) { s.Operator.RecoveryHold, s.Operator.RecoveryStarts = rate > 0, rate })
					sim.run(60 * time.Second)
					before := sim.countRunningTasks()
					commands := sim.recordCommands()
					sim.stopAllControllers()
					sim.runWithoutControllers(leaseDuration + 5*time.Second)
					startRevision := sim.store.Revision
					sim.startAllControllers()
					recoveredAt, runningAt := 0, 0
					for second := 1; second <= 120; second++ {
						sim.step()
						if recoveredAt == 0 && sim.allRecovered() {
							recoveredAt = second
						}
						if runningAt == 0 && sim.countRunningTasks() >= before*9/10 {
							runningAt = second
						}
					}
					received := commands.Snapshot()
					b.ReportMetric(float64(before), "tasks")
					b.ReportMetric(float64(recoveredAt), "recovered-s")
					b.ReportMetric(float64(runningAt), "90%-running-s")
					b.ReportMetric(float64(len(received.DuplicateStarts)), "repeated")
					b.ReportMetric(float64(len(received.Kills)), "kills")
					b.ReportMetric(float64(commands.MaxStartsWithin(time.Second)), "most-starts/s")
					b.ReportMetric(float64(sim.store.Revision-startRevision), "changes")
				}
			})
		}
	}
}
