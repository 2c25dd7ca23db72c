package controller

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"wheatspur/internal/fake"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// simMachine is a scripted worker and its connections to the controllers.
type simMachine struct {
	fake.Worker
	nextHeartbeat time.Time // when the next heartbeat is due
	targetLabel   string    // of the controller that it sends heartbeats to

	hung              bool
	inboundCut        bool                  // responses and direct calls don't reach it
	outboundCut       bool                  // its heartbeats reach no controller
	unreachable       map[string]bool       // labels of controllers that its heartbeats don't reach
	callsDelayed      bool                  // direct calls to it are delayed in the network
	delayedCalls      []wire.CommandRequest // direct calls that have not arrived yet
	pastCalls         []wire.CommandRequest // direct calls that were carried out, for late copies
	lastHeartbeat     wire.Heartbeat        // the last one sent, also if it was lost
	endedIncarnations []endedIncarnation    // in the order in which they ended
}

// endedIncarnation is an incarnation of a worker whose lease has expired.
type endedIncarnation struct {
	number uint64
	tasks  int // number of tasks when it ended
	at     time.Time
}

// simulation is an environment with scripted workers that checks invariants every
// simulated second.
type simulation struct {
	*testEnv
	mu           sync.Mutex
	machines     []*simMachine
	cancelledAt  map[string]time.Time     // when each job's cancellation was confirmed to a user
	startGrace   time.Duration            // how long after the confirmation of its cancellation a task may still start
	taskDuration map[string]time.Duration // of each job's tasks; tasks of a job without an entry never end
	startCount   map[string]int           // number of starts of each task
	teamGPULimit float64                  // GPU limit of the team; 0: not checked
}

// newSimulation returns a simulation of three controllers that each own the given number of
// machines, which have acknowledged the fencing token.
func newSimulation(t testing.TB, machinesPerController int, gpuLimit float64) *simulation {
	t.Helper()
	labels := []string{"a", "b", "c"}
	sim := &simulation{testEnv: newTestEnvWithWorkers(t, &simWorkerClient{}, labels...),
		cancelledAt: map[string]time.Time{}, taskDuration: map[string]time.Duration{}, startCount: map[string]int{}, teamGPULimit: gpuLimit}
	sim.workerClient.(*simWorkerClient).sim = sim
	for _, controller := range sim.controllers {
		controller.setTeamLimit(gpuLimit)
	}
	sim.raiseFencingToken()
	count := map[string]int{}
	for i := 0; len(sim.machines) < machinesPerController*len(labels); i++ {
		machineName := fmt.Sprintf("h%d", i)
		if owner, _ := sim.ownerOf(machineName); count[owner.Self.Label] < machinesPerController {
			count[owner.Self.Label]++
			sim.addBatchMachine(machineName)
		}
	}
	sim.run(8 * time.Second)
	return sim
}

// addBatchMachine adds a running machine with the batch role.
func (sim *simulation) addBatchMachine(machineName string) *simMachine {
	sim.t.Helper()
	return sim.addMachineWithRole(machineName, "batch")
}

// addMachineWithRole adds a running machine with the given role.
func (sim *simulation) addMachineWithRole(machineName, role string) *simMachine {
	sim.t.Helper()
	machine := &simMachine{nextHeartbeat: sim.clock.now(), targetLabel: "a", unreachable: map[string]bool{}, Worker: fake.Worker{Machine: machineName, Address: machineName, MachineType: "g", Zone: "z",
		Incarnation: 1, Tasks: map[string]*fake.Task{}, LeaseRenewedAt: sim.clock.now(), OnTaskStart: sim.onTaskStart}}
	sim.mu.Lock()
	sim.machines = append(sim.machines, machine)
	sim.mu.Unlock()
	sim.addMachine(machineName, role)
	return machine
}

// machineOf returns the first machine that a controller owns.
func (sim *simulation) machineOf(controller *Controller) *simMachine {
	for _, machine := range sim.machines {
		if owner, _ := sim.ownerOf(machine.Machine); owner == controller {
			return machine
		}
	}
	sim.t.Fatalf("%s owns no machine", controller.Self.Label)
	return nil
}

// onTaskStart checks that a starting task runs on no other machine and was not cancelled before,
// and returns how long it runs. The caller holds the lock.
func (sim *simulation) onTaskStart(w *fake.Worker, task *fake.Task) time.Duration {
	now := sim.clock.now()
	for _, other := range sim.machines {
		for _, running := range other.Tasks {
			// A machine that hangs for longer than its lease ends its tasks before it resumes.
			if running.TaskStatus.Task == task.TaskStatus.Task && running.State == wire.TaskRunning && now.Sub(other.LeaseRenewedAt) <= leaseDuration {
				sim.t.Errorf("%s starts on %s while it runs on %s", task.TaskStatus.Task, w.Machine, other.Machine)
			}
		}
	}
	if at, ok := sim.cancelledAt[task.JobID]; ok && now.Sub(at) > sim.startGrace {
		sim.t.Errorf("%s starts %v after its cancellation was confirmed", task.TaskStatus.Task, now.Sub(at))
	}
	sim.startCount[task.TaskStatus.Task]++
	return sim.taskDuration[task.JobID]
}

// advance advances a machine's tasks to the current time, delivers delayed direct calls and sends
// a heartbeat if one is due. An expired lease ends the incarnation first. The caller holds the
// lock.
func (sim *simulation) advance(machine *simMachine) {
	now := sim.clock.now()
	if machine.hung {
		return
	}
	if now.Sub(machine.LeaseRenewedAt) > leaseDuration {
		machine.endedIncarnations = append(machine.endedIncarnations, endedIncarnation{machine.Incarnation, len(machine.Tasks), now})
		machine.EndIncarnation(now)
		machine.nextHeartbeat = now
	}
	machine.Advance(now)
	if !machine.callsDelayed {
		calls := machine.delayedCalls
		machine.delayedCalls = nil
		for _, call := range calls {
			machine.HandleDirectCall(now, call)
		}
	}
	if !now.Before(machine.nextHeartbeat) {
		sim.sendHeartbeat(machine)
	}
}

// sendHeartbeat sends a machine's heartbeat. It follows redirects and tries the other controllers
// until one accepts it. The caller holds the lock.
func (sim *simulation) sendHeartbeat(machine *simMachine) {
	now := sim.clock.now()
	machine.nextHeartbeat = now.Add(3 * time.Second)
	heartbeat := machine.NextHeartbeat()
	machine.lastHeartbeat = heartbeat
	if machine.outboundCut {
		return
	}
	labels := slices.Sorted(maps.Keys(sim.controllers))
	next := machine.targetLabel
	for range 2 * len(labels) {
		controller := sim.controllers[next]
		if controller == nil || machine.unreachable[next] {
			next = labels[(slices.Index(labels, next)+1)%len(labels)]
			continue
		}
		code, body := controller.receiveHeartbeat(&heartbeat)
		machine.targetLabel = next
		if code == http.StatusOK {
			response := body.(wire.HeartbeatResponse)
			if !machine.inboundCut && machine.RenewLease(now, response) {
				machine.Execute(now, response.Commands)
			}
			return
		}
		if redirect, ok := body.(wire.Redirect); ok && redirect.Controller != "" && redirect.Controller != next {
			next = redirect.Controller
		} else {
			next = labels[(slices.Index(labels, next)+1)%len(labels)]
		}
	}
}

// simWorkerClient carries direct calls to the scripted workers.
type simWorkerClient struct{ sim *simulation }

func (client *simWorkerClient) SendCommands(address string, request wire.CommandRequest) (int, *wire.Heartbeat, error) {
	sim := client.sim
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		if machine.Machine != address {
			continue
		}
		switch {
		case machine.hung, machine.callsDelayed:
			machine.delayedCalls = append(machine.delayedCalls, request)
		case !machine.inboundCut:
			code, heartbeat := machine.HandleDirectCall(sim.clock.now(), request)
			if code == http.StatusOK {
				machine.pastCalls = append(machine.pastCalls, request)
			}
			return code, &heartbeat, nil
		}
	}
	return 0, nil, store.ErrOutcomeUnknown
}

func (client *simWorkerClient) Probe(string) error { return store.ErrOutcomeUnknown }

// step advances the simulation by one second.
func (sim *simulation) step() {
	sim.t.Helper()
	sim.clock.add(time.Second)
	ctx := context.Background()
	sim.mu.Lock()
	for _, machine := range sim.machines {
		sim.advance(machine)
	}
	sim.mu.Unlock()
	for _, label := range slices.Sorted(maps.Keys(sim.controllers)) {
		controller := sim.controllers[label]
		if controller.Syncer.Refresh(ctx) == nil {
			if errors.Is(controller.election.MembershipStep(ctx), store.ErrLeaseExpired) {
				sim.openNewSession(controller)
			}
			_ = controller.Syncer.Refresh(ctx)
		}
		sim.runPass(controller)
		controller.awaitDirectCalls()
	}
	sim.exchangePeerStatus()
	sim.checkInvariants()
}

// awaitDirectCalls waits until no direct call is in flight; scripted workers answer at once.
func (c *Controller) awaitDirectCalls() {
	for len(c.Workers.CallSlots) > 0 {
		time.Sleep(100 * time.Microsecond)
	}
}

// run advances the simulation by the given duration.
func (sim *simulation) run(duration time.Duration) {
	sim.t.Helper()
	for range int(duration / time.Second) {
		sim.step()
	}
}

// checkInvariants checks that no task runs for longer than the cancellation bound after its
// cancellation was confirmed, and that the team stays within its limit.
func (sim *simulation) checkInvariants() {
	sim.t.Helper()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	used := 0.0
	for _, machine := range sim.machines {
		for _, task := range machine.Tasks {
			if task.State == wire.TaskExited || sim.clock.now().Sub(machine.LeaseRenewedAt) > leaseDuration {
				continue
			}
			used++
			if at, ok := sim.cancelledAt[task.JobID]; ok && !machine.hung && sim.clock.now().Sub(at) > cancelBound {
				sim.t.Errorf("%s is still on %s %v after its cancellation was confirmed", task.TaskStatus.Task, machine.Machine, sim.clock.now().Sub(at))
			}
		}
	}
	if sim.teamGPULimit > 0 && used > sim.teamGPULimit {
		sim.t.Errorf("the team uses %v GPUs, its limit is %v", used, sim.teamGPULimit)
	}
	if sim.t.Failed() {
		sim.t.FailNow()
	}
}

// cancelAt sends a job's cancellation to a controller and reports whether it is confirmed.
func (sim *simulation) cancelAt(controller *Controller, jobID string) bool {
	code, status, _ := sendRequest(controller, "POST", "/work/"+jobID+"/cancel", nil)
	if code != http.StatusOK || status.State != wire.StateCancelled {
		return false
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if _, known := sim.cancelledAt[jobID]; !known {
		sim.cancelledAt[jobID] = sim.clock.now()
	}
	return true
}

// runningOn counts the tasks of a job that run on a machine.
func (sim *simulation) runningOn(machine *simMachine, jobID string) (count int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, task := range machine.Tasks {
		if task.JobID == jobID && task.State == wire.TaskRunning {
			count++
		}
	}
	return count
}

// runningTasksOf counts the tasks of a job that run on any machine.
func (sim *simulation) runningTasksOf(jobID string) (count int) {
	for _, machine := range sim.machines {
		count += sim.runningOn(machine, jobID)
	}
	return count
}

// expireSession expires a controller's session in the store, as a partition does; the process
// notices it in its next membership step.
func (sim *simulation) expireSession(controller *Controller) {
	sim.store.ExpireLease(controller.Self.Incarnation)
}

// openNewSession grants a new session to a controller whose session has expired.
func (sim *simulation) openNewSession(controller *Controller) {
	controller.election.ExpireSession(controller.Self.Incarnation)
	controller.Lock()
	defer controller.Unlock()
	controller.Self.Incarnation, _ = sim.store.GrantLease(context.Background(), time.Second)
	controller.Session = controller.Session.Next(membership.LeaseGranted)
}

// restartController replaces a controller's process and expires the session of the former one.
func (sim *simulation) restartController(label string) {
	sim.t.Helper()
	if controller := sim.controllers[label]; controller != nil {
		sim.expireSession(controller)
	}
	controller := sim.startController(label, []string{"a", "b", "c"})
	controller.setTeamLimit(sim.teamGPULimit)
}

// otherControllers returns all controllers except the given one, sorted by label.
func (sim *simulation) otherControllers(controller *Controller) (out []*Controller) {
	for _, label := range slices.Sorted(maps.Keys(sim.controllers)) {
		if sim.controllers[label] != controller {
			out = append(out, sim.controllers[label])
		}
	}
	return out
}

func (sim *simulation) String() string {
	var b strings.Builder
	for _, machine := range sim.machines {
		fmt.Fprintf(&b, "%s at %s incarnation %d token %d:", machine.Machine, machine.targetLabel, machine.Incarnation, machine.FencingToken)
		for _, taskName := range slices.Sorted(maps.Keys(machine.Tasks)) {
			fmt.Fprintf(&b, " %s %s", taskName, machine.Tasks[taskName].State)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// runUntilBeforeHeartbeats advances the simulation until the first machine's next heartbeat is at
// least the given duration away.
func (sim *simulation) runUntilBeforeHeartbeats(duration time.Duration) {
	for sim.machines[0].nextHeartbeat.Sub(sim.clock.now()) < duration {
		sim.step()
	}
}

// runPassesNow runs two scheduling passes of every controller without advancing the clock.
func (sim *simulation) runPassesNow() {
	for range 2 {
		sim.exchangePeerStatus()
		for _, controller := range sim.controllers {
			sim.runPass(controller)
			for len(controller.Workers.CallSlots) > 0 {
				time.Sleep(100 * time.Microsecond)
			}
		}
		sim.refreshAll()
	}
}

// fillMachines submits a job that fills all machines and waits until all of its tasks run.
func (sim *simulation) fillMachines(jobID string) {
	sim.t.Helper()
	sim.submit(sim.leader(), arrayJob(jobID, 4*len(sim.machines)))
	for range 20 {
		if sim.step(); sim.runningTasksOf(jobID) == 4*len(sim.machines) {
			return
		}
	}
	sim.t.Fatalf("%d of %d tasks of the job that fills all machines run\n%s", sim.runningTasksOf(jobID), 4*len(sim.machines), sim)
}

// resendHeartbeats delivers the last heartbeat of every machine to every controller again.
func (sim *simulation) resendHeartbeats() {
	for _, machine := range sim.machines {
		for _, controller := range sim.controllers {
			heartbeat := machine.lastHeartbeat
			controller.receiveHeartbeat(&heartbeat)
		}
	}
}

// checkTasks checks how many tasks of a job run and how often each of them has started; starts of 0
// allows any number of starts.
func (sim *simulation) checkTasks(when, jobID string, tasks, starts int) {
	sim.t.Helper()
	if count := sim.runningTasksOf(jobID); count != tasks {
		sim.t.Errorf("%s: %d tasks of %s run, want %d\n%s", when, count, jobID, tasks, sim)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for task, count := range sim.startCount {
		if job, _, _ := jobs.ParseTaskName(task); job == jobID && starts > 0 && count != starts {
			sim.t.Errorf("%s: %s has started %d times, want %d", when, task, count, starts)
		}
	}
}

// checkStateEverywhere checks that every controller answers with the given state of a job.
func (sim *simulation) checkStateEverywhere(when, jobID, state string) {
	sim.t.Helper()
	for _, controller := range sim.otherControllers(nil) {
		if code, status, _ := sendRequest(controller, "GET", "/work/"+jobID, nil); code != http.StatusOK || status.State != state {
			sim.t.Errorf("%s: controller %s answers %d %q, want %q", when, controller.Self.Label, code, status.State, state)
		}
	}
}

// crash ends a controller's process and expires its session.
func (sim *simulation) crash(controller *Controller) {
	sim.expireSession(controller)
	delete(sim.controllers, controller.Self.Label)
}

// forEachMachine calls a function on every machine with the lock held.
func (sim *simulation) forEachMachine(f func(machine *simMachine)) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, machine := range sim.machines {
		f(machine)
	}
}
