package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/worker"
	"wheatspur/wire"
)

const (
	shortOutage = leaseDuration - 8*time.Second  // ends before a lease does
	longOutage  = leaseDuration + 15*time.Second // ends after every lease
)

// TestCombinedFaults runs combinations of faults that have broken scheduler invariants before. Each
// case starts with a job that fills all machines; the simulation checks its invariants every second.
func TestCombinedFaults(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(sim *simulation)
	}{
		{"a zone with a controller is partitioned for longer than a lease", partitionZone},
		{"the leader crashes while machines are unreachable for less than a lease", crashLeaderWhile(disconnectMachine, reconnectMachine, shortOutage, 1)},
		{"the leader crashes while responses to machines are lost for less than a lease", crashLeaderWhile(loseResponses, deliverResponses, shortOutage, 1)},
		{"the leader crashes while machines are unreachable for longer than a lease", crashLeaderWhile(disconnectMachine, reconnectMachine, longOutage, 2)},
		{"the leader crashes while responses to machines are lost for longer than a lease", crashLeaderWhile(loseResponses, deliverResponses, longOutage, 2)},
		{"all controllers are down for longer than a lease", crashAllControllers},
		{"ten failovers in two minutes, also during a store outage", failOverTenTimes},
		{"two failovers, then all controllers crash and one returns within a second", failOverAndRestartAll},
		{"a partitioned leader keeps serving its workers while another controller cancels a job", cancelDuringLeaderPartition},
		{"jobs are cancelled during failovers", cancelDuringFailovers},
		{"heartbeats are replayed after a failover", replayHeartbeatsAfterFailover},
		{"a machine's heartbeats are lost while direct calls reach it", loseHeartbeatsNotDirectCalls},
		{"the leader crashes while claims on new machines are delayed", crashLeaderWithDelayedClaims},
		{"urgent and normal jobs exceed the capacity over slow links", overcommitOverSlowLinks},
		{"the tasks of a job end far apart across a failover", endTasksAcrossFailover},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.fillMachines("wk-1")
			tc.run(sim)
		})
	}
}

// partitionZone cuts a controller and its machine off from the rest for longer than a lease: the
// machine reaches only that controller, whose store calls are rejected. Afterwards all tasks must
// run.
func partitionZone(sim *simulation) {
	controller := sim.otherControllers(sim.leader())[0]
	isolatedMachine := sim.machineOf(controller)
	sim.links[controller.Self.Label].setRejecting(true)
	sim.forEachMachine(func(machine *simMachine) {
		for _, label := range []string{"a", "b", "c"} {
			machine.unreachable[label] = (machine == isolatedMachine) != (label == controller.Self.Label)
		}
		machine.callsDelayed = machine == isolatedMachine
	})
	sim.run(4 * time.Second)
	sim.expireSession(controller)
	sim.run(cancelBound)
	sim.links[controller.Self.Label].setRejecting(false)
	sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
	sim.run(20 * time.Second)
	sim.checkTasks("after the partition", "wk-1", 12, 0)
}

// crashLeaderWhile crashes the leader while a fault affects all machines for the given duration. In
// the end every task must have started the given number of times: once if the fault is shorter than
// a lease, twice if it is longer.
func crashLeaderWhile(begin, end func(*simMachine), duration time.Duration, starts int) func(*simulation) {
	return func(sim *simulation) {
		sim.forEachMachine(begin)
		sim.crash(sim.leader())
		sim.run(duration)
		sim.forEachMachine(end)
		sim.run(20 * time.Second)
		sim.checkTasks("after the fault", "wk-1", 12, starts)
	}
}

func disconnectMachine(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true }
func reconnectMachine(machine *simMachine)  { machine.outboundCut, machine.callsDelayed = false, false }
func loseResponses(machine *simMachine)     { machine.inboundCut = true }
func deliverResponses(machine *simMachine)  { machine.inboundCut = false }

// crashAllControllers leaves the machines without controllers for longer than a lease: every task
// must start once more, and a confirmed cancellation must persist.
func crashAllControllers(sim *simulation) {
	sim.submit(sim.leader(), arrayJob("wk-2", 1))
	if !sim.cancelAt(sim.leader(), "wk-2") {
		sim.t.Fatal("the cancellation is not confirmed")
	}
	for _, controller := range sim.otherControllers(nil) {
		sim.crash(controller)
	}
	sim.run(longOutage)
	for _, label := range []string{"a", "b", "c"} {
		sim.restartController(label)
	}
	sim.run(20 * time.Second)
	sim.checkTasks("after the restart", "wk-1", 12, 2)
	sim.checkStateEverywhere("after the restart", "wk-1", wire.StateRunning)
	sim.checkStateEverywhere("after the restart", "wk-2", wire.StateCancelled)
}

// failOverTenTimes expires the leader's session ten times and rejects all store calls for 10 s after
// the fifth: each failover must raise the fencing token, and no task may restart.
func failOverTenTimes(sim *simulation) {
	token := sim.leader().fencingToken()
	for i := range 10 {
		if i == 5 {
			for _, link := range sim.links {
				link.setRejecting(true)
			}
			sim.run(10 * time.Second)
			for _, link := range sim.links {
				link.setRejecting(false)
			}
		}
		sim.expireSession(sim.leader())
		sim.run(12 * time.Second)
		if now := sim.leader().fencingToken(); now <= token {
			sim.t.Fatalf("fencing token %d after a failover, was %d", now, token)
		} else {
			token = now
		}
	}
	sim.checkTasks("after the failovers", "wk-1", 12, 1)
}

// failOverAndRestartAll crashes all three controllers after two failovers and restarts one of them
// before the others: no task may restart, because no lease has expired.
func failOverAndRestartAll(sim *simulation) {
	for range 2 {
		sim.expireSession(sim.leader())
		sim.run(2 * time.Second)
	}
	for _, controller := range sim.otherControllers(nil) {
		sim.crash(controller)
	}
	sim.restartController("b")
	sim.run(15 * time.Second)
	sim.checkTasks("with one controller restarted", "wk-1", 12, 1)
	sim.restartController("a")
	sim.restartController("c")
	sim.run(15 * time.Second)
	sim.checkTasks("with all controllers restarted", "wk-1", 12, 1)
}

// cancelDuringLeaderPartition cancels a job at another controller while the old leader, whose store
// calls are rejected, still answers its worker. The old leader must not answer users, and must let
// the lease expire within the cancellation bound.
func cancelDuringLeaderPartition(sim *simulation) {
	old := sim.leader()
	isolatedMachine := sim.machineOf(old)
	sim.links[old.Self.Label].setRejecting(true)
	sim.forEachMachine(func(machine *simMachine) {
		if machine == isolatedMachine {
			machine.callsDelayed = true
			for _, controller := range sim.otherControllers(old) {
				machine.unreachable[controller.Self.Label] = true
			}
		}
	})
	sim.run(4 * time.Second)
	sim.expireSession(old)
	sim.run(3 * time.Second)
	if !sim.cancelAt(sim.otherControllers(old)[0], "wk-1") {
		sim.t.Fatal("the cancellation is not confirmed")
	}
	if code, status, _ := sendRequest(old, "GET", "/work/wk-1", nil); code == http.StatusOK {
		sim.t.Errorf("the old leader answers %+v", status)
	}
	sim.run(cancelBound + 5*time.Second)
	sim.checkTasks("after the cancellation bound", "wk-1", 0, 1)
	sim.links[old.Self.Label].setRejecting(false)
	sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
	sim.run(15 * time.Second)
	sim.checkStateEverywhere("after the partition", "wk-1", wire.StateCancelled)
	sim.fillMachines("wk-2")
}

// cancelDuringFailovers cancels jobs within three seconds after a controller lost its session or
// restarted: 10 s later no task of theirs may run.
func cancelDuringFailovers(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	sim.run(5 * time.Second)
	for i := range 6 {
		jobID := fmt.Sprintf("wk-%d", 10+i)
		sim.fillMachines(jobID)
		controller := sim.otherControllers(sim.leader())[0]
		if i%3 == 2 {
			sim.restartController(controller.Self.Label) // it is back within a second
		} else {
			sim.expireSession(controller)
		}
		sim.run(time.Duration(i/2) * time.Second)
		if !sim.cancelAt(sim.leader(), jobID) {
			sim.t.Fatal("the cancellation is not confirmed")
		}
		sim.run(10 * time.Second)
		sim.checkTasks("10 s later", jobID, 0, 1)
	}
}

// replayHeartbeatsAfterFailover delivers heartbeats from before the leader's crash to the remaining
// controllers: a replay must not acknowledge the new fencing token.
func replayHeartbeatsAfterFailover(sim *simulation) {
	var recorded []wire.Heartbeat
	sim.forEachMachine(func(machine *simMachine) { recorded = append(recorded, machine.lastHeartbeat) })
	sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
	sim.crash(sim.leader())
	sim.run(5 * time.Second)
	for _, controller := range sim.controllers {
		for _, heartbeat := range recorded {
			controller.receiveHeartbeat(&heartbeat)
		}
	}
	sim.submit(sim.leader(), arrayJob("wk-2", 1))
	sim.run(leaseDuration)
	for _, controller := range sim.controllers {
		for _, heartbeat := range recorded {
			controller.receiveHeartbeat(&heartbeat)
		}
		controller.Lock()
		for machineName, w := range controller.Workers.ByMachine {
			if w.State == worker.TokenAcknowledged {
				sim.t.Errorf("%s is %s after a replayed heartbeat", machineName, w.State)
			}
		}
		controller.Unlock()
	}
	sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
	sim.run(20 * time.Second)
	sim.checkTasks("after the failover", "wk-1", 12, 2)
}

// loseHeartbeatsNotDirectCalls drops a machine's heartbeats while direct calls still reach it:
// they stop its tasks, and it must get no new ones, because its lease is about to expire.
func loseHeartbeatsNotDirectCalls(sim *simulation) {
	machine := sim.machines[0]
	machine.outboundCut = true
	sim.run(leaseDuration - 4*time.Second)
	sim.checkTasks("within the lease", "wk-1", 12, 1)
	if !sim.cancelAt(sim.leader(), "wk-1") {
		sim.t.Fatal("the cancellation is not confirmed")
	}
	sim.run(2 * time.Second)
	sim.checkTasks("after the kill by a direct call", "wk-1", 0, 1)
	if controller, _ := sim.ownerOf(machine.Machine); controller.MachineIndex.RefreshMachines(sim.clock.now()).Machine(machine.Machine).Schedulable {
		sim.t.Error("a machine whose lease is about to expire is schedulable after its response to a direct call")
	}
	machine.outboundCut = false
	sim.run(10 * time.Second)
	sim.fillMachines("wk-2")
}

// crashLeaderWithDelayedClaims adds machines and a job and delays two writes of every controller
// until after the leader's crash: each task must start once.
func crashLeaderWithDelayedClaims(sim *simulation) {
	leader := sim.leader()
	sim.addBatchMachine("h90")
	sim.addBatchMachine("h91")
	sim.submit(leader, arrayJob("wk-2", 8))
	for _, link := range sim.links {
		link.delayNext = 2
	}
	sim.run(2 * time.Second)
	sim.crash(leader)
	sim.run(2 * time.Second)
	for _, link := range sim.links {
		link.applyDelayed()
		link.delayNext = 0
	}
	sim.run(20 * time.Second)
	sim.checkTasks("after the failover", "wk-1", 12, 1)
	sim.checkTasks("after the failover", "wk-2", 8, 1)
}

// overcommitOverSlowLinks submits more tasks than fit while direct calls to one machine are delayed:
// urgent jobs must run first, and no normal job may starve.
func overcommitOverSlowLinks(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	sim.run(5 * time.Second)
	sim.forEachMachine(func(machine *simMachine) {
		machine.ImagePullTime = 15 * time.Second
		machine.callsDelayed = machine == sim.machines[0]
	})
	elapsed := 0
	runSeconds := func(seconds int) {
		for range seconds {
			if elapsed++; elapsed%10 == 0 { // the delayed direct calls arrive
				sim.mu.Lock()
				machine := sim.machines[0]
				calls := machine.delayedCalls
				machine.delayedCalls = nil
				for _, call := range calls {
					machine.HandleDirectCall(sim.clock.now(), call)
				}
				sim.mu.Unlock()
			}
			sim.step()
		}
	}
	submit := func(jobID, priority string, duration time.Duration) {
		spec := arrayJob(jobID, 6)
		spec.Priority = priority
		sim.taskDuration[jobID] = duration
		sim.submit(sim.leader(), spec)
	}
	for i := range 6 {
		submit(fmt.Sprintf("wk-%d", 10+i), wire.PriorityNormal, 100*time.Second)
	}
	runSeconds(25)
	for i := range 2 {
		submit(fmt.Sprintf("wk-%d", 20+i), wire.PriorityUrgent, 20*time.Second)
	}
	runSeconds(80) // no normal job is done by then
	for _, jobID := range []string{"wk-20", "wk-21"} {
		sim.checkStateEverywhere("urgent jobs run first", jobID, wire.StateDone)
	}
	runSeconds(600)
	for i := range 6 {
		sim.checkStateEverywhere("normal jobs run too", fmt.Sprintf("wk-%d", 10+i), wire.StateDone)
	}
}

// endTasksAcrossFailover ends two tasks of a job before the leader's crash and the last one long
// after it: only then may the job be done, and no task may restart.
func endTasksAcrossFailover(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	sim.run(5 * time.Second)
	sim.taskDuration["wk-2"] = 12 * time.Second
	sim.submit(sim.leader(), arrayJob("wk-2", 3))
	sim.run(6 * time.Second)
	sim.mu.Lock()
	extended := 0
	for _, machine := range sim.machines {
		for _, task := range machine.Tasks {
			if task.JobID == "wk-2" && extended == 0 {
				task.EndsAt = sim.clock.now().Add(40 * time.Second)
				extended++
			}
		}
	}
	sim.mu.Unlock()
	sim.run(10 * time.Second)
	sim.crash(sim.leader())
	sim.run(20 * time.Second)
	sim.checkStateEverywhere("with one task left", "wk-2", wire.StateRunning)
	sim.run(20 * time.Second)
	sim.checkStateEverywhere("after the last task", "wk-2", wire.StateDone)
	sim.checkTasks("after the last task", "wk-2", 0, 1)
}
