package controller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"wheatspur/wire"
)

// TestResponsesAreLinearizableAcrossControllers asks every controller as soon as another one has
// answered that a job is accepted, done or cancelled, and repeats the submission and the
// cancellation. Some controllers have not read the change yet, and some answers of the store are
// lost: no response may show an older state.
func TestResponsesAreLinearizableAcrossControllers(t *testing.T) {
	type response struct {
		code  int
		state string
	}
	done := func(sim *simulation) {
		sim.taskDuration["wk-1"] = time.Second
		sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
		sim.run(12 * time.Second)
	}
	for _, answerLost := range []bool{false, true} {
		for _, tc := range []struct {
			name           string
			request        func(sim *simulation) (method, path string, body any)
			firstResponses []response // that the first user may get
			laterState     string     // in all later responses
		}{
			{"accepted", func(*simulation) (string, string, any) { return "POST", "/work", arrayJob("wk-1", 1) },
				[]response{{http.StatusCreated, wire.StateQueued}, {http.StatusOK, wire.StateQueued}}, wire.StateQueued},
			{"cancelled", func(sim *simulation) (string, string, any) {
				sim.submit(sim.controllers["a"], arrayJob("wk-1", 1))
				return "POST", "/work/wk-1/cancel", nil
			}, []response{{http.StatusOK, wire.StateCancelled}}, wire.StateCancelled},
			{"cancelled after it was done", func(sim *simulation) (string, string, any) { done(sim); return "POST", "/work/wk-1/cancel", nil },
				[]response{{http.StatusOK, wire.StateDone}}, wire.StateDone},
			{"done", func(sim *simulation) (string, string, any) { done(sim); return "GET", "/work/wk-1", nil },
				[]response{{http.StatusOK, wire.StateDone}}, wire.StateDone},
		} {
			t.Run(fmt.Sprintf("%s, store answer lost: %v", tc.name, answerLost), func(t *testing.T) {
				sim := newSimulation(t, 1, 1000)
				method, path, body := tc.request(sim)
				if answerLost && method == "POST" && tc.laterState != wire.StateDone {
					sim.store.LoseResponses = 1
				}
				code, status, _ := sendRequest(sim.controllers["b"], method, path, body)
				ok := false
				for _, expected := range tc.firstResponses {
					ok = ok || expected == response{code, status.State}
				}
				if !ok {
					t.Fatalf("the first response is %d %+v", code, status)
				}
				for _, label := range []string{"c", "a", "b"} {
					controller := sim.controllers[label]
					if code, status, _ := sendRequest(controller, "GET", "/work/wk-1", nil); code != http.StatusOK || status.State != tc.laterState {
						t.Errorf("%s answers a poll with %d %+v", label, code, status)
					}
					if code, status, _ := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK && code != http.StatusCreated || status.State != tc.laterState {
						t.Errorf("%s answers a repeated submission with %d %+v", label, code, status)
					}
					if tc.laterState != wire.StateQueued {
						if code, status, _ := sendRequest(controller, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != tc.laterState {
							t.Errorf("%s answers a cancellation with %d %+v", label, code, status)
						}
					}
					if code, _, _ := sendRequest(controller, "POST", "/work", map[string]any{"ref": "wk-1"}); code != http.StatusOK {
						t.Errorf("%s answers a repeated submission that lacks fields with %d", label, code)
					}
				}
			})
		}
	}
}

// TestDelayedWritesOfUnknownOutcome lets a compare-and-swap of unknown outcome apply after newer
// writes of the same controller and of others, for every kind of write. A late write must not undo
// newer state, start a task twice or leave claims without a running task.
func TestDelayedWritesOfUnknownOutcome(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(sim *simulation)
	}{
		{"submission: the user repeats it at another controller and cancels before", lateSubmissionAfterRepeatAndCancellation},
		{"submission: no other request comes before", lateSubmission},
		{"cancellation: the job ends before", lateCancellationOfFinishedJob},
		{"cancellation: nothing else happens", lateCancellation},
		{"claims and quota shares of every controller", lateClaims},
		{"releases of every controller", lateReleases},
		{"sessions and memberships", lateSessionsAndMemberships},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1, 12)
			sim.fillMachines("wk-1")
			tc.run(sim)
			sim.run(15 * time.Second)
			leader := sim.leader()
			leader.Lock()
			used := leader.Table.ResourcesByTeam["x"].GPUs
			leader.Unlock()
			running := sim.runningTasksOf("wk-1") + sim.runningTasksOf("wk-2")
			if float64(running) != used {
				t.Errorf("%d tasks run, %v GPUs are claimed", running, used)
			}
		})
	}
}

// delayNextWrite makes the next write of a controller get no answer and apply at the next call of
// applyDelayedWrites.
func delayNextWrite(sim *simulation, controller *Controller) {
	sim.links[controller.Self.Label].delayNext = 1
}

// applyDelayedWrites applies the delayed writes of all controllers to the store.
func applyDelayedWrites(sim *simulation) {
	for _, link := range sim.links {
		link.applyDelayed()
	}
}

// lateSubmissionAfterRepeatAndCancellation applies a submission after another controller has
// accepted the same job and a third has cancelled it: the job must stay cancelled.
func lateSubmissionAfterRepeatAndCancellation(sim *simulation) {
	delayNextWrite(sim, sim.controllers["a"])
	if code, _, _ := sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1)); code != http.StatusServiceUnavailable {
		sim.t.Fatalf("a submission that got no answer from the store returned status %d", code)
	}
	sim.submit(sim.controllers["b"], arrayJob("wk-2", 1))
	if !sim.cancelAt(sim.controllers["c"], "wk-2") {
		sim.t.Fatal("the cancellation is not confirmed")
	}
	applyDelayedWrites(sim)
	sim.checkStateEverywhere("right after the late write", "wk-2", wire.StateCancelled)
	sim.step()
	sim.checkStateEverywhere("a second after the late write", "wk-2", wire.StateCancelled)
}

// lateSubmission applies a submission before its user repeats it at another controller, which must
// find the job.
func lateSubmission(sim *simulation) {
	delayNextWrite(sim, sim.controllers["a"])
	sendRequest(sim.controllers["a"], "POST", "/work", arrayJob("wk-2", 1))
	applyDelayedWrites(sim)
	if code, _, _ := sendRequest(sim.controllers["b"], "POST", "/work", arrayJob("wk-2", 1)); code != http.StatusOK && code != http.StatusCreated {
		sim.t.Errorf("the repeated submission is answered %d", code)
	}
	sim.cancelAt(sim.controllers["c"], "wk-2")
}

// lateCancellationOfFinishedJob applies a cancellation after the job's end was stored: the job must
// stay done.
func lateCancellationOfFinishedJob(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	sim.run(5 * time.Second)
	sim.taskDuration["wk-2"] = 2 * time.Second
	sim.submit(sim.controllers["a"], arrayJob("wk-2", 1))
	delayNextWrite(sim, sim.controllers["a"])
	sim.links["a"].rejectAfterDelayed = true
	if sim.cancelAt(sim.controllers["a"], "wk-2") {
		sim.t.Fatal("the cancellation is confirmed without an answer from the store")
	}
	sim.links["a"].setRejecting(false)
	sim.run(15 * time.Second)
	sim.checkStateEverywhere("before the late write", "wk-2", wire.StateDone)
	applyDelayedWrites(sim)
	sim.step() // final states are answered from the cache
	sim.checkStateEverywhere("after the late write", "wk-2", wire.StateDone)
}

// lateCancellation applies a cancellation that was never confirmed: from then on the job must be
// cancelled.
func lateCancellation(sim *simulation) {
	delayNextWrite(sim, sim.controllers["a"])
	sim.links["a"].rejectAfterDelayed = true
	if sim.cancelAt(sim.controllers["a"], "wk-1") {
		sim.t.Fatal("the cancellation is confirmed without an answer from the store")
	}
	sim.links["a"].setRejecting(false)
	sim.run(5 * time.Second)
	applyDelayedWrites(sim)
	sim.cancelledAt["wk-1"] = sim.clock.now()
	sim.run(5 * time.Second)
	sim.checkStateEverywhere("after the late write", "wk-1", wire.StateCancelled)
	sim.checkTasks("after the late write", "wk-1", 0, 1)
}

// lateClaims delays a write of each controller while 12 tasks are claimed, and applies it later:
// each task must start once.
func lateClaims(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	sim.run(5 * time.Second)
	sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
	for _, controller := range sim.otherControllers(nil) {
		delayNextWrite(sim, controller)
	}
	sim.run(6 * time.Second)
	applyDelayedWrites(sim)
	sim.run(10 * time.Second)
	sim.checkTasks("after the late write", "wk-2", 12, 1)
}

// lateReleases delays a write of each controller while 12 tasks are released, and applies it when
// the next job uses their machines: each task of that job must start once.
func lateReleases(sim *simulation) {
	sim.cancelAt(sim.leader(), "wk-1")
	for _, controller := range sim.otherControllers(nil) {
		delayNextWrite(sim, controller)
	}
	sim.run(6 * time.Second)
	sim.submit(sim.controllers["a"], arrayJob("wk-2", 12))
	sim.run(6 * time.Second)
	applyDelayedWrites(sim)
	sim.run(10 * time.Second)
	sim.checkTasks("after the late write", "wk-2", 12, 1)
}

// lateSessionsAndMemberships delays a write of each controller during an election and applies it
// afterwards: no task may restart.
func lateSessionsAndMemberships(sim *simulation) {
	for _, controller := range sim.otherControllers(nil) {
		delayNextWrite(sim, controller)
	}
	sim.expireSession(sim.leader())
	sim.run(6 * time.Second)
	applyDelayedWrites(sim)
	sim.run(6 * time.Second)
	sim.expireSession(sim.leader())
	sim.run(6 * time.Second)
	sim.checkTasks("after the late write", "wk-1", 12, 1)
}

// TestReadBarrierResolvesWritesOfUnknownOutcome loses the store's answers to a submission and to a
// cancellation: a read barrier shows whether the write was applied, and the user gets the stored
// state.
func TestReadBarrierResolvesWritesOfUnknownOutcome(t *testing.T) {
	env := newTestEnv(t, "a")
	env.store.LoseResponses = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusOK || status.State != wire.StateQueued {
		t.Fatalf("submission whose answer was lost: %d %+v", code, status)
	}
	env.store.LoseResponses = 1
	if code, status, _ := sendRequest(env.controllers["a"], "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancellation whose answer was lost: %d %+v", code, status)
	}
}
