package controller

import (
	"fmt"
	"testing"
	"time"

	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// Meetings of two troubles in which rules broke elsewhere. Each starts with a
// job on every machine; the trial watches the rules that hold at any moment.
func TestCombinedFaults(t *testing.T) {
	const long = leaseDuration + 15*time.Second
	for _, c := range []struct {
		name string
		do   func(sim *simulation)
	}{
		{"a zone with a controller is cut off for longer than a lease", func(sim *simulation) {
			controller := sim.otherControllers(sim.leader())[0]
			inside := sim.machineOf(controller)
			sim.links[controller.Self.Label].setRejecting(true)
			sim.forEachMachine(func(machine *simMachine) {
				for _, label := range []string{"a", "b", "c"} {
					machine.unreachable[label] = (machine == inside) != (label == controller.Self.Label)
				}
				machine.callsDelayed = machine == inside
			})
			sim.run(4 * time.Second)
			sim.expireSession(controller)
			sim.run(cancelBound)
			sim.links[controller.Self.Label].setRejecting(false)
			sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after the cut", "wk-1", 12, 0)
		}},
		{"the leader ends, machines can't be reached for less than a lease", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(leaseDuration - 8*time.Second)
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines don't hear the new one's answers for less than a lease", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = true })
			sim.crash(sim.leader())
			sim.run(leaseDuration - 8*time.Second)
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"the leader ends, machines can't be reached for longer", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(long)
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"the leader ends, machines don't hear for longer", func(sim *simulation) {
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = true })
			sim.crash(sim.leader())
			sim.run(long)
			sim.forEachMachine(func(machine *simMachine) { machine.inboundCut = false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"all controllers are away for longer than a lease", func(sim *simulation) {
			sim.submit(sim.leader(), arrayJob("wk-2", 1))
			if !sim.cancelAt(sim.leader(), "wk-2") {
				sim.t.Fatal("not confirmed")
			}
			for _, controller := range sim.otherControllers(nil) {
				sim.crash(controller)
			}
			sim.run(long)
			for _, label := range []string{"a", "b", "c"} {
				sim.restartController(label)
			}
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
			sim.checkStateEverywhere("after it", "wk-1", wire.StateRunning)
			sim.checkStateEverywhere("after it", "wk-2", wire.StateCancelled)
		}},
		{"leaders change ten times in two minutes, also inside an outage", func(sim *simulation) {
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
					sim.t.Fatalf("token %d after %d", now, token)
				} else {
					token = now
				}
			}
			sim.checkTasks("after it", "wk-1", 12, 1)
		}},
		{"controllers hand over and back, all end, one returns within a second", func(sim *simulation) {
			for range 2 {
				sim.expireSession(sim.leader())
				sim.run(2 * time.Second)
			}
			for _, controller := range sim.otherControllers(nil) {
				sim.crash(controller)
			}
			sim.restartController("b")
			sim.run(15 * time.Second)
			sim.checkTasks("with one back", "wk-1", 12, 1)
			sim.restartController("a")
			sim.restartController("c")
			sim.run(15 * time.Second)
			sim.checkTasks("with all back", "wk-1", 12, 1)
		}},
		{"a leader without state service and siblings goes on for its workers, jobs are cancelled through the new one", func(sim *simulation) {
			old := sim.leader()
			inside := sim.machineOf(old)
			sim.links[old.Self.Label].setRejecting(true)
			sim.forEachMachine(func(machine *simMachine) {
				if machine == inside {
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
				sim.t.Fatal("not confirmed")
			}
			if code, status, _ := sendRequest(old, "GET", "/work/wk-1", nil); code == 200 {
				sim.t.Errorf("the old leader says %+v", status)
			}
			sim.run(cancelBound + 5*time.Second)
			sim.checkTasks("in time", "wk-1", 0, 1)
			sim.links[old.Self.Label].setRejecting(false)
			sim.forEachMachine(func(machine *simMachine) { clear(machine.unreachable); machine.callsDelayed = false })
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("after it", "wk-1", wire.StateCancelled)
			sim.fillMachines("wk-2")
		}},
		{"jobs are cancelled in the seconds in which a controller's work changes hands", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			for i := range 6 {
				jobID := fmt.Sprintf("wk-%d", 10+i)
				sim.fillMachines(jobID)
				controller := sim.otherControllers(sim.leader())[0]
				if i%3 == 2 {
					sim.restartController(controller.Self.Label) // back within a second
				} else {
					sim.expireSession(controller)
				}
				sim.run(time.Duration(i/2) * time.Second)
				if !sim.cancelAt(sim.leader(), jobID) {
					sim.t.Fatal("not confirmed")
				}
				sim.run(10 * time.Second)
				sim.checkTasks("10 s later", jobID, 0, 1)
			}
		}},
		{"a report is held back until a new leader has acted", func(sim *simulation) {
			var held []wire.Heartbeat
			sim.forEachMachine(func(machine *simMachine) { held = append(held, machine.lastHeartbeat) })
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = true, true })
			sim.crash(sim.leader())
			sim.run(5 * time.Second)
			for _, controller := range sim.controllers {
				for _, heartbeat := range held {
					controller.receiveHeartbeat(&heartbeat)
				}
			}
			sim.submit(sim.leader(), arrayJob("wk-2", 1))
			sim.run(leaseDuration)
			for _, controller := range sim.controllers {
				for _, heartbeat := range held {
					controller.receiveHeartbeat(&heartbeat)
				}
				controller.Lock()
				for machineName, w := range controller.Workers.ByMachine {
					if w.State == worker.TokenAcknowledged {
						sim.t.Errorf("%s is %s by an old report", machineName, w.State)
					}
				}
				controller.Unlock()
			}
			sim.forEachMachine(func(machine *simMachine) { machine.outboundCut, machine.callsDelayed = false, false })
			sim.run(20 * time.Second)
			sim.checkTasks("after it", "wk-1", 12, 2)
		}},
		{"machines reach no controller while direct calls reach them", func(sim *simulation) {
			machine := sim.machines[0]
			machine.outboundCut = true
			sim.run(leaseDuration - 4*time.Second)
			sim.checkTasks("within the lease", "wk-1", 12, 1)
			if !sim.cancelAt(sim.leader(), "wk-1") {
				sim.t.Fatal("not confirmed")
			}
			sim.run(2 * time.Second)
			sim.checkTasks("the kill comes directly", "wk-1", 0, 1)
			if controller, _ := sim.ownerOf(machine.Host); controller.MachineIndex.RefreshMachines(sim.clock.now()).Machine(machine.Host).Schedulable {
				sim.t.Error("it has just been heard, and takes tasks, which would end with its lease")
			}
			machine.outboundCut = false
			sim.run(10 * time.Second)
			sim.fillMachines("wk-2")
		}},
		{"new machines get work at once while writes lag, and the leader ends", func(sim *simulation) {
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
			sim.checkTasks("after it", "wk-1", 12, 1)
			sim.checkTasks("after it", "wk-2", 8, 1)
		}},
		{"there is more work than room, urgent and not, over slow links", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.forEachMachine(func(machine *simMachine) {
				machine.ImageTime = 15 * time.Second
				machine.callsDelayed = machine == sim.machines[0] // its direct calls come late
			})
			late := 0
			goOn := func(seconds int) {
				for range seconds {
					if late++; late%10 == 0 {
						sim.mu.Lock()
						machine := sim.machines[0]
						held := machine.delayedCalls
						machine.delayedCalls = nil
						for _, call := range held {
							machine.Take(sim.clock.now(), call)
						}
						sim.mu.Unlock()
					}
					sim.step()
				}
			}
			submit := func(jobID, priority string, d time.Duration) {
				spec := arrayJob(jobID, 6)
				spec.Priority = priority
				sim.taskDuration[jobID] = d
				sim.submit(sim.leader(), spec)
			}
			for i := range 6 {
				submit(fmt.Sprintf("wk-%d", 10+i), wire.PriorityNormal, 100*time.Second)
			}
			goOn(25)
			for i := range 2 {
				submit(fmt.Sprintf("wk-%d", 20+i), wire.PriorityUrgent, 20*time.Second)
			}
			goOn(80) // nothing of the others is done by then
			for _, jobID := range []string{"wk-20", "wk-21"} {
				sim.checkStateEverywhere("urgent work goes first", jobID, wire.StateDone)
			}
			goOn(600)
			for i := range 6 {
				sim.checkStateEverywhere("the rest is not forgotten", fmt.Sprintf("wk-%d", 10+i), wire.StateDone)
			}
		}},
		{"jobs of two or three tasks end far apart across a change of leader", func(sim *simulation) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.taskDuration["wk-2"] = 12 * time.Second
			sim.submit(sim.leader(), arrayJob("wk-2", 3))
			sim.run(6 * time.Second)
			sim.mu.Lock()
			last := 0
			for _, machine := range sim.machines {
				for _, task := range machine.Tasks {
					if task.JobID == "wk-2" && last == 0 {
						task.Ends = sim.clock.now().Add(40 * time.Second)
						last++
					}
				}
			}
			sim.mu.Unlock()
			sim.run(10 * time.Second)
			sim.crash(sim.leader())
			sim.run(20 * time.Second)
			sim.checkStateEverywhere("with one task left", "wk-2", wire.StateRunning)
			sim.run(20 * time.Second)
			sim.checkStateEverywhere("after it", "wk-2", wire.StateDone)
			sim.checkTasks("after it", "wk-2", 0, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1000)
			sim.fillMachines("wk-1")
			c.do(sim)
		})
	}
}
