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

// recoveryStartRate is how many starts a second a controller may send in recovery.
const recoveryStartRate = 20

// controllerLabels are the controllers of a simulation.
var controllerLabels = []string{"a", "b", "c"}

// newColdStart returns a simulation of three controllers and many machines in use.
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

// recordCommands records what the workers are told from here on.
func (sim *simulation) recordCommands() *fake.CommandLog {
	log := fake.NewCommandLog()
	sim.forEachMachine(func(machine *simMachine) { machine.Commands = log })
	return log
}

// stopAllControllers ends all processes at the same moment.
func (sim *simulation) stopAllControllers() {
	for _, controller := range sim.controllers {
		controller.awaitDirectCalls() // else one may reach its machine after the links are repaired
		sim.expireSession(controller)
	}
	sim.controllers = map[string]*Controller{}
}

// runWithoutControllers lets the machines go on without any controller.
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

// startAllControllers starts a new process of every controller.
func (sim *simulation) startAllControllers() {
	for _, label := range controllerLabels {
		sim.restartController(label)
	}
}

// countRunningTasks counts the tasks that run.
func (sim *simulation) countRunningTasks() (k int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		for _, task := range machine.Tasks {
			if task.State == wire.TaskRunning {
				k++
			}
		}
	}
	return k
}

// allRecovered reports whether every controller has ended its recovery.
func (sim *simulation) allRecovered() bool {
	for _, controller := range sim.controllers {
		controller.Lock()
		over := controller.Recovery.Progress.IsRecovered()
		controller.Unlock()
		if !over {
			return false
		}
	}
	return true
}

// recoveryBound is how long after the start of all controllers recovery ends at the
// latest: the election, the time that machines have to send heartbeats, and the quiet
// time without pending starts, or a lease if there are some.
func (sim *simulation) recoveryBound(starts bool) time.Duration {
	bound := time.Duration(tuning.RecoveryMachineHeartbeats*float64(3*time.Second)) + 8*time.Second
	if starts {
		return bound + leaseDuration
	}
	return bound + time.Duration(tuning.RecoveryQuietHeartbeats*float64(3*time.Second))
}

// All controllers go down and come back, also again and again during recovery, for
// less than a lease and for more. No start is received twice, no running task is
// killed, none is lost within a lease, and recovery is over by a stated time.
func TestAColdStartKeepsRunningTasksAndRepeatsNoStart(t *testing.T) {
	for _, tc := range []struct {
		outage   time.Duration
		again    []time.Duration // after the start, controllers go down once more
		keepsAll bool
	}{
		{5 * time.Second, nil, true},
		{20 * time.Second, nil, true},
		{60 * time.Second, nil, false},
		{5 * time.Second, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, true},
		{5 * time.Second, []time.Duration{5 * time.Second, 8 * time.Second}, true},
		{60 * time.Second, []time.Duration{4 * time.Second, 7 * time.Second, 13 * time.Second}, false},
	} {
		t.Run(fmt.Sprint(tc.outage, " ", tc.again), func(t *testing.T) {
			t.Parallel()
			sim := newColdStart(t, 200, func(s *config.Settings) { s.Operator.RecoveryHold, s.Operator.RecoveryStarts = true, recoveryStartRate })
			before := sim.countRunningTasks()
			if before < 500 {
				t.Fatalf("only %d tasks run", before)
			}
			log := sim.recordCommands()
			sim.stopAllControllers()
			sim.runWithoutControllers(tc.outage)
			sim.startAllControllers()
			for _, after := range tc.again {
				sim.run(after)
				sim.stopAllControllers()
				sim.runWithoutControllers(2 * time.Second)
				sim.startAllControllers()
			}
			took := time.Duration(0)
			for ; !sim.allRecovered() && took < time.Minute; took += time.Second {
				sim.step()
			}
			if bound := sim.recoveryBound(!tc.keepsAll); took > bound {
				t.Errorf("recovery took %v, the bound is %v", took, bound)
			}
			seen := log.Snapshot()
			if tc.keepsAll && (seen.Starts != 0 || sim.countEndedIncarnations() != 0) {
				t.Errorf("%d starts and %d incarnations ended after an outage shorter than the lease", seen.Starts, sim.countEndedIncarnations())
			}
			sim.run(90 * time.Second)
			seen = log.Snapshot()
			if len(seen.Repeated) != 0 || len(seen.Kills) != 0 {
				t.Errorf("%d starts repeated, %d tasks that ran were killed: %v %v", len(seen.Repeated), len(seen.Kills), seen.Repeated, seen.Kills)
			}
			if !tc.keepsAll && seen.Starts < 500 {
				t.Errorf("%d starts after an outage longer than the lease", seen.Starts)
			}
			if most, bound := log.MaxStartsWithin(5*time.Second), 6*recoveryStartRate*len(controllerLabels); most > bound {
				t.Errorf("%d starts in 5 s, the bound is %d", most, bound)
			}
			sim.run(400 * time.Second)
			sim.checkAllDone()
		})
	}
}

// countEndedIncarnations counts the incarnations that machines have ended.
func (sim *simulation) countEndedIncarnations() (k int) {
	for _, machine := range sim.machines {
		k += len(machine.endedIncarnations)
	}
	return k
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

// All controllers go down when hundreds of claims are stored that no worker has heard
// of. The starts go out at a bounded rate, services before arrays, each once.
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
		claimed += job.Counts[jobs.Claimed]
	}
	if claimed != 400 || sim.countRunningTasks() != 0 {
		t.Fatalf("%d tasks are claimed, %d run", claimed, sim.countRunningTasks())
	}
	sim.stopAllControllers()
	sim.forEachMachine(func(machine *simMachine) { machine.inboundCut, machine.delayedCalls = false, nil })
	sim.runWithoutControllers(2 * time.Second)
	log := sim.recordCommands()
	sim.startAllControllers()
	for took := 0; !sim.allRecovered() && took < 120; took++ {
		sim.step()
	}
	sim.run(10 * time.Second)
	seen := log.Snapshot()
	if len(seen.Repeated) != 0 || seen.Starts != 400 {
		t.Errorf("%d starts, repeated: %v", seen.Starts, seen.Repeated)
	}
	for _, seconds := range []int{1, 2, 5} {
		// A second's worth may go at once at each controller.
		if most, bound := log.MaxStartsWithin(time.Duration(seconds)*time.Second), rate*len(controllerLabels)*(seconds+1); most > bound {
			t.Errorf("%d starts in %d s, the bound is %d", most, seconds, bound)
		}
	}
	// 100 starts of services among 400. An array starts before a service only if
	// its machine has sent a heartbeat before the service's has.
	isService := func(task string) bool { return sim.leader().Table.Jobs[strings.Split(task, "/")[0]].Service() }
	early := 0
	for _, task := range seen.Tasks[:len(seen.Tasks)/2] {
		if isService(task) {
			early++
		}
	}
	if early < 80 {
		t.Errorf("only %d services start in the first half", early)
	}
}

// Free machines send their first heartbeat later than full ones. Until then no running
// task is preempted for a pending one; without recovery.hold it is.
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
			log := sim.recordCommands()
			free := func(machine *simMachine) bool { return len(machine.Tasks) == 0 }
			var quiet []*simMachine
			sim.forEachMachine(func(machine *simMachine) {
				if free(machine) {
					quiet = append(quiet, machine)
				}
			})
			if len(quiet) < 4 {
				t.Fatalf("%d machines are free", len(quiet))
			}
			urgent := arrayJob("wk-1", 4)
			urgent.Priority = wire.PriorityUrgent
			sim.stopAllControllers()
			sim.runWithoutControllers(3 * time.Second)
			for _, machine := range quiet {
				machine.outboundCut = true
			}
			sim.startAllControllers()
			sim.step()
			sim.submit(sim.controllers["a"], urgent)
			sim.run(6 * time.Second)
			for _, machine := range quiet {
				machine.outboundCut = false
			}
			sim.run(20 * time.Second)
			kills := len(log.Snapshot().Kills)
			if (kills == 0) != hold || sim.runningTasksOf("wk-1") != 4 {
				t.Errorf("hold %v: %d tasks that ran were stopped, %d urgent ones run", hold, kills, sim.runningTasksOf("wk-1"))
			}
		})
	}
}

// The status page and the metrics are served at any time, also before a controller has
// read anything.
func TestTheStatusPageIsServedBeforeTheFirstRead(t *testing.T) {
	env := newTestEnv(t, "a")
	set := settings("b", []string{"a", "b"})
	set.Operator.RecoveryHold, set.Operator.QuotaReservations = true, true
	controller := env.newUnreadController(set)
	code, _, response := sendRequest(controller, "GET", "/status", nil)
	if page := string(response.Response.Body()); code != http.StatusOK || !strings.Contains(page, `recovery "loading"`) || !strings.Contains(page, "hold true") {
		t.Fatalf("%d %s", code, page)
	}
	if code, _, _ := sendRequest(controller, "GET", "/metrics", nil); code != http.StatusOK {
		t.Fatalf("metrics: %d", code)
	}
}

// Cold starts at random: machines hang, reboot or stay away, tasks end meanwhile, jobs
// are cancelled in the last second, controllers come back one by one and go down
// again. The invariants hold (simulation.checkInvariants), and every job is over in
// the end.
func TestInvariantsUnderRandomColdStarts(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 3))
			sim := newColdStart(t, 30, func(s *config.Settings) {
				s.Operator.RecoveryHold, s.Operator.RecoveryStarts = seed%2 == 0, int(seed%3)*10
			})
			sim.startGrace = leaseDuration + 3*time.Second
			for range 3 {
				victim := fmt.Sprintf("wk-%d", 1000+r.IntN(22))
				sim.cancelAt(sim.leader(), victim)
				sim.forEachMachine(func(machine *simMachine) {
					machine.hung, machine.outboundCut, machine.callsDelayed = r.IntN(8) == 0, r.IntN(8) == 0, r.IntN(8) == 0
				})
				sim.stopAllControllers()
				sim.runWithoutControllers(time.Duration(1+r.IntN(45)) * time.Second)
				for _, i := range r.Perm(len(controllerLabels)) {
					sim.restartController(controllerLabels[i])
					sim.run(time.Duration(r.IntN(5)) * time.Second)
					if r.IntN(3) == 0 {
						sim.restartController(controllerLabels[i])
					}
				}
				sim.run(time.Duration(r.IntN(15)) * time.Second)
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

// BenchmarkColdStart measures a start of all controllers after an outage longer than
// the lease, in simulated time: seconds until the last task that a free machine
// could run does, starts that were repeated, the most starts in a second, and
// changes of the store; in real time, what the controllers' passes take.
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
					log := sim.recordCommands()
					sim.stopAllControllers()
					sim.runWithoutControllers(leaseDuration + 5*time.Second)
					changes := sim.store.Revision
					sim.startAllControllers()
					recovered, again := 0, 0
					for second := 1; second <= 120; second++ {
						sim.step()
						if recovered == 0 && sim.allRecovered() {
							recovered = second
						}
						if again == 0 && sim.countRunningTasks() >= before*9/10 {
							again = second
						}
					}
					seen := log.Snapshot()
					b.ReportMetric(float64(before), "tasks")
					b.ReportMetric(float64(recovered), "recovered-s")
					b.ReportMetric(float64(again), "90%-running-s")
					b.ReportMetric(float64(len(seen.Repeated)), "repeated")
					b.ReportMetric(float64(len(seen.Kills)), "kills")
					b.ReportMetric(float64(log.MaxStartsWithin(time.Second)), "most-starts/s")
					b.ReportMetric(float64(sim.store.Revision-changes), "changes")
				}
			})
		}
	}
}
