package controller

import (
	"fmt"
	"testing"
	"time"

	"wheatspur/wire"
)

// Users ask at every node in the same instant in which another has told one
// that a job is accepted, done or cancelled, and repeat what they sent. Some
// nodes have not heard of it yet, and some answers of the state service are
// lost. Nobody answers anything older.
func TestEveryControllerAnswersLinearizably(t *testing.T) {
	type told struct {
		code  int
		phase string
	}
	done := func(sim *simulation) {
		sim.taskDuration["wk-1"] = time.Second
		sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
		sim.run(12 * time.Second)
	}
	for _, lost := range []bool{false, true} {
		for _, c := range []struct {
			name  string
			do    func(sim *simulation) (method, path string, body any)
			first []told // what the first user may be told
			then  string // what all others are told
		}{
			{"accepted", func(sim *simulation) (string, string, any) { return "POST", "/work", arrayJob("wk-1", 1) },
				[]told{{201, wire.StateQueued}, {200, wire.StateQueued}}, wire.StateQueued},
			{"cancelled", func(sim *simulation) (string, string, any) {
				sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
				return "POST", "/work/wk-1/cancel", nil
			}, []told{{200, wire.StateCancelled}}, wire.StateCancelled},
			{"cancelled when it was done", func(sim *simulation) (string, string, any) { done(sim); return "POST", "/work/wk-1/cancel", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
			{"done", func(sim *simulation) (string, string, any) { done(sim); return "GET", "/work/wk-1", nil },
				[]told{{200, wire.StateDone}}, wire.StateDone},
		} {
			t.Run(fmt.Sprintf("%s, an answer lost: %v", c.name, lost), func(t *testing.T) {
				sim := newSimulation(t, 1, 1000)
				method, path, body := c.do(sim)
				if lost && method == "POST" && c.then != wire.StateDone {
					sim.store.Lose = 1
				}
				code, status, _ := sendRequest(sim.controllers["b"], method, path, body)
				ok := false
				for _, f := range c.first {
					ok = ok || f == told{code, status.State}
				}
				if !ok {
					t.Fatalf("the first user is told %d %+v", code, status)
				}
				for _, label := range []string{"c", "a", "b"} {
					controller := sim.controllers[label]
					if code, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != 200 || status.State != c.then {
						t.Errorf("%s says %d %+v", label, code, status)
					}
					if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != 200 && code != 201 || status.State != c.then {
						t.Errorf("%s answers a repeat by %d %+v", label, code, status)
					}
					if c.then != wire.StateQueued {
						if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != c.then {
							t.Errorf("%s answers a cancellation by %d %+v", label, code, status)
						}
					}
					if code, _, _ := sendRequest(controller, "POST", "/work", map[string]any{"ref": "wk-1"}); code != 200 {
						t.Errorf("%s answers a repeat that lacks fields by %d", label, code)
					}
				}
			})
		}
	}
}

// A transaction without an answer is carried out late, after newer ones of the
// same node and of others, in every kind of write.
func TestWritesOfUnknownOutcomeThatApplyLate(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(sim *simulation, hold func(controller *Controller), carryOut func())
	}{
		{"an acceptance, the user goes elsewhere and cancels", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			if code, _, _ := sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1)); code != 503 {
				sim.t.Fatalf("answered %d", code)
			}
			sim.submit(sim.controllers["b"], arrayJob("wk-2", 1))
			if !sim.cancelAt(sim.controllers["c"], "wk-2") {
				sim.t.Fatal("not confirmed")
			}
			carryOut()
			sim.checkStateEverywhere("at once", "wk-2", wire.StateCancelled)
			sim.step()
			sim.checkStateEverywhere("later", "wk-2", wire.StateCancelled)
		}},
		{"an acceptance, and nobody asks before", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1))
			carryOut()
			if code, _, _ := sendRequest(sim.controllers["b"], "POST", "/work", arrayJob("wk-2", 1)); code != 200 && code != 201 {
				sim.t.Errorf("the repeat gets %d", code)
			}
			sim.cancelAt(sim.controllers["c"], "wk-2")
		}},
		{"a cancellation, the job ends before", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.taskDuration["wk-2"] = 2 * time.Second
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 1))
			hold(sim.controllers["a"])
			sim.links["a"].rejectAfterDelayed = true
			if sim.cancelAt(sim.controllers["a"], "wk-2") {
				sim.t.Fatal("confirmed without an answer")
			}
			sim.links["a"].setRejecting(false)
			sim.run(15 * time.Second)
			sim.checkStateEverywhere("before", "wk-2", wire.StateDone)
			carryOut()
			sim.step() // final states are answered from the cache
			sim.checkStateEverywhere("after", "wk-2", wire.StateDone)
		}},
		{"a cancellation, and nothing else", func(sim *simulation, hold func(*Controller), carryOut func()) {
			hold(sim.controllers["a"])
			sim.links["a"].rejectAfterDelayed = true
			if sim.cancelAt(sim.controllers["a"], "wk-1") {
				sim.t.Fatal("confirmed without an answer")
			}
			sim.links["a"].setRejecting(false)
			sim.run(5 * time.Second)
			carryOut()
			sim.cancelledAt["wk-1"] = sim.clock.now()
			sim.run(5 * time.Second)
			sim.checkStateEverywhere("after", "wk-1", wire.StateCancelled)
			sim.checkTasks("after", "wk-1", 0, 1)
		}},
		{"claims and shares, at every node", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			sim.run(5 * time.Second)
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.run(6 * time.Second)
			carryOut()
			sim.run(10 * time.Second)
			sim.checkTasks("after", "wk-2", 12, 1)
		}},
		{"releases, at every node", func(sim *simulation, hold func(*Controller), carryOut func()) {
			sim.cancelAt(sim.leader(), "wk-1")
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.run(6 * time.Second)
			sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
			sim.run(6 * time.Second)
			carryOut()
			sim.run(10 * time.Second)
			sim.checkTasks("after", "wk-2", 12, 1)
		}},
		{"sessions and memberships", func(sim *simulation, hold func(*Controller), carryOut func()) {
			for _, controller := range sim.otherControllers(nil) {
				hold(controller)
			}
			sim.expireSession(sim.leader())
			sim.run(6 * time.Second)
			carryOut()
			sim.run(6 * time.Second)
			sim.expireSession(sim.leader())
			sim.run(6 * time.Second)
			sim.checkTasks("after", "wk-1", 12, 1)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 12)
			sim.fillMachines("wk-1")
			c.do(sim, func(controller *Controller) { sim.links[controller.Self.Label].delayNext = 1 }, func() {
				for _, link := range sim.links {
					link.applyDelayed()
				}
			})
			sim.run(15 * time.Second)
			controller := sim.leader()
			controller.Lock()
			used := controller.Table.ResourcesByTeam["x"].GPUs
			controller.Unlock()
			running := 0
			for _, jobID := range []string{"wk-1", "wk-2"} {
				running += sim.runningTasksOf(jobID)
			}
			if float64(running) != used {
				t.Errorf("%d tasks run, %v are claimed", running, used)
			}
		})
	}
}

func TestAWriteOfUnknownOutcomeIsResolvedByAReadBarrier(t *testing.T) {
	env := newTestEnv(t, "a")
	env.store.Lose = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work", arrayJob("wk-1", 1)); code != 200 || status.State != wire.StateQueued {
		t.Fatalf("submission whose answer was lost: %d %+v", code, status)
	}
	env.store.Lose = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work/wk-1/cancel", nil); code != 200 || status.State != wire.StateCancelled {
		t.Fatalf("cancellation whose answer was lost: %d %+v", code, status)
	}
}
