package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/wire"
)

// randomFaults is a simulation with random combinations of faults. The same seed injects the same
// faults as long as the program behaves the same.
type randomFaults struct {
	*simulation
	rand            *rand.Rand
	copyRand        *rand.Rand           // for late copies of direct calls, so that they leave the draws from rand as they are
	endFuncs        map[string]func()    // end each active fault, by its name
	endTimes        map[string]time.Time // of each active fault
	allLinks        []*storeLink         // store links of present and former processes
	pastHeartbeats  []wire.Heartbeat     // recorded every second, for replays
	accepted        map[string]time.Time // when a response first confirmed each job
	finalStates     map[string]string    // final states that users were told, by job
	cancelRequested map[string]bool      // jobs that users asked to cancel
	submitted       int                  // number of jobs submitted
}

// oneIn returns true with a probability of 1/n.
func (faults *randomFaults) oneIn(n float64) bool { return faults.rand.Float64() < 1/n }

// randomSeconds returns a random whole number of seconds from the given range, both ends included.
func (faults *randomFaults) randomSeconds(shortest, longest int) time.Duration {
	return time.Duration(shortest+faults.rand.IntN(longest-shortest+1)) * time.Second
}

// inject begins a fault unless it is active already, and records how and when it ends.
func (faults *randomFaults) inject(name string, duration time.Duration, begin, end func()) {
	if _, active := faults.endTimes[name]; active {
		return
	}
	begin()
	faults.endTimes[name], faults.endFuncs[name] = faults.clock.now().Add(duration), end
}

// endFaults ends the faults whose duration is over, or all faults.
func (faults *randomFaults) endFaults(all bool) {
	for _, name := range slices.Sorted(maps.Keys(faults.endTimes)) {
		if all || !faults.clock.now().Before(faults.endTimes[name]) {
			faults.endFuncs[name]()
			delete(faults.endTimes, name)
			delete(faults.endFuncs, name)
		}
	}
}

func (faults *randomFaults) setStoreRejecting(label string, rejecting bool) {
	faults.links[label].setRejecting(rejecting)
}

// injectFaults begins the faults of one simulated second. A change to the order of the random draws
// changes the faults of every seed.
func (faults *randomFaults) injectFaults() {
	labels := slices.Sorted(maps.Keys(faults.controllers))
	label := labels[faults.rand.IntN(len(labels))]
	machine := faults.machines[faults.rand.IntN(len(faults.machines))]
	faults.injectStoreFaults(label, labels)
	faults.injectMachineFaults(machine, label)
	faults.replayHeartbeats(labels)
	faults.repeatDirectCall()
}

// injectStoreFaults begins rejected calls, outages, lost answers and delayed writes of the store,
// expired sessions and restarts. Those of a single controller affect the one with the given label.
func (faults *randomFaults) injectStoreFaults(label string, labels []string) {
	if faults.oneIn(40) {
		duration := faults.randomSeconds(2, 25)
		faults.inject("store", duration, func() {
			faults.setStoreRejecting(label, true)
			if duration > 4*time.Second && faults.oneIn(1.5) {
				faults.expireSession(faults.controllers[label])
			}
		}, func() { faults.setStoreRejecting(label, false) })
	}
	if faults.oneIn(90) {
		faults.endFault("store")
		faults.inject("outage", faults.randomSeconds(3, 80), func() {
			for _, label := range labels {
				faults.setStoreRejecting(label, true)
			}
		}, func() {
			for _, label := range labels {
				faults.setStoreRejecting(label, false)
			}
		})
	}
	if _, active := faults.endTimes["outage"]; !active && faults.oneIn(50) {
		faults.endFault("store")
		faults.restartController(label)
		faults.allLinks = append(faults.allLinks, faults.links[label])
	}
	if faults.oneIn(60) {
		faults.expireSession(faults.controllers[label])
	}
	if faults.oneIn(8) {
		link := faults.links[label]
		link.mu.Lock()
		link.delayNext = 1 + faults.rand.IntN(3)
		link.mu.Unlock()
	}
	if faults.oneIn(12) {
		faults.store.Mu.Lock()
		faults.store.LoseResponses = 1
		faults.store.Mu.Unlock()
	}
	for _, link := range faults.allLinks {
		if faults.oneIn(6) {
			link.applyDelayed()
		}
	}
}

// injectMachineFaults makes a machine hang, lose messages in either direction, get its direct calls
// late, or lose its connection to the controller with the given label.
func (faults *randomFaults) injectMachineFaults(machine *simMachine, label string) {
	injectFlag := func(name string, flag *bool, shortest, longest int) {
		faults.inject(name+machine.Machine, faults.randomSeconds(shortest, longest), func() { *flag = true }, func() { *flag = false })
	}
	if faults.oneIn(25) {
		injectFlag("hung", &machine.hung, 3, 40)
	}
	if faults.oneIn(25) {
		injectFlag("inbound", &machine.inboundCut, 3, 50)
	}
	if faults.oneIn(25) {
		injectFlag("outbound", &machine.outboundCut, 3, 50)
	}
	if faults.oneIn(20) {
		injectFlag("delayed", &machine.callsDelayed, 2, 30)
	}
	if faults.oneIn(25) {
		faults.inject("cut"+machine.Machine, faults.randomSeconds(3, 50), func() { machine.unreachable[label] = true }, func() { delete(machine.unreachable, label) })
	}
}

// replayHeartbeats records the last heartbeat of every machine and at random times delivers one of
// the recorded heartbeats to every controller again.
func (faults *randomFaults) replayHeartbeats(labels []string) {
	for _, machine := range faults.machines {
		faults.pastHeartbeats = append(faults.pastHeartbeats, machine.lastHeartbeat)
	}
	if faults.oneIn(6) {
		heartbeat := faults.pastHeartbeats[faults.rand.IntN(len(faults.pastHeartbeats))]
		for _, label := range labels {
			replayed := heartbeat
			faults.controllers[label].receiveHeartbeat(&replayed)
		}
	}
}

// repeatDirectCall at random times delivers a late copy of a direct call to the machine that carried it
// out.
func (faults *randomFaults) repeatDirectCall() {
	if faults.copyRand.IntN(3) != 0 {
		return
	}
	faults.mu.Lock()
	defer faults.mu.Unlock()
	machine := faults.machines[faults.copyRand.IntN(len(faults.machines))]
	if len(machine.pastCalls) == 0 || machine.hung || machine.inboundCut {
		return
	}
	machine.HandleDirectCall(faults.clock.now(), machine.pastCalls[faults.copyRand.IntN(len(machine.pastCalls))])
}

// endFault ends a fault if it is active.
func (faults *randomFaults) endFault(name string) {
	if end := faults.endFuncs[name]; end != nil {
		end()
		delete(faults.endFuncs, name)
		delete(faults.endTimes, name)
	}
}

// checkResponse checks a response about a job against the earlier ones: an accepted job is never
// unknown, a final state never changes, and no job is cancelled unless its user asked for it.
func (faults *randomFaults) checkResponse(request, jobID, label string, code int, status wire.JobStatus) {
	faults.t.Helper()
	if code == http.StatusNotFound || code == http.StatusBadRequest || code == http.StatusUnprocessableEntity {
		if _, ok := faults.accepted[jobID]; ok {
			faults.t.Errorf("%s of accepted job %s at %s: status %d", request, jobID, label, code)
		}
		return
	}
	if code != http.StatusOK && code != http.StatusCreated {
		return
	}
	if _, ok := faults.accepted[jobID]; !ok {
		faults.accepted[jobID] = faults.clock.now()
	}
	if earlier, ok := faults.finalStates[jobID]; ok && status.State != earlier {
		faults.t.Errorf("%s of %s at %s: state %s, earlier response %s", request, jobID, label, status.State, earlier)
	}
	if status.State == wire.StateCancelled && !faults.cancelRequested[jobID] {
		faults.t.Errorf("%s is cancelled although its user did not ask for it", jobID)
	}
	if status.State == wire.StateDone || status.State == wire.StateCancelled {
		faults.finalStates[jobID] = status.State
	}
}

// runUsers sends the user requests of one simulated second.
func (faults *randomFaults) runUsers() {
	labels := slices.Sorted(maps.Keys(faults.controllers))
	faults.rand.Shuffle(len(labels), func(a, b int) { labels[a], labels[b] = labels[b], labels[a] })
	if faults.oneIn(7) {
		faults.submitted++
		spec := arrayJob(fmt.Sprintf("wk-%d", faults.submitted), 1+faults.rand.IntN(6))
		faults.taskDuration[spec.ID] = faults.randomSeconds(4, 45)
		for _, label := range labels[:1+faults.rand.IntN(len(labels))] {
			code, status, _ := sendRequest(faults.controllers[label], "POST", "/work", spec)
			faults.checkResponse("submission", spec.ID, label, code, status)
		}
	}
	jobIDs := slices.Sorted(maps.Keys(faults.accepted))
	if len(jobIDs) == 0 {
		return
	}
	if jobID := jobIDs[len(jobIDs)-1-faults.rand.IntN(min(len(jobIDs), 6))]; faults.oneIn(9) {
		faults.cancelRequested[jobID] = true
		label := labels[0]
		code, status, _ := sendRequest(faults.controllers[label], "POST", "/work/"+jobID+"/cancel", nil)
		faults.checkResponse("cancellation", jobID, label, code, status)
		faults.mu.Lock()
		if _, ok := faults.cancelledAt[jobID]; !ok && code == http.StatusOK && status.State == wire.StateCancelled {
			faults.cancelledAt[jobID] = faults.clock.now()
		}
		faults.mu.Unlock()
		for _, label := range labels {
			code, status, _ := sendRequest(faults.controllers[label], "GET", "/work/"+jobID, nil)
			faults.checkResponse("poll", jobID, label, code, status)
		}
	}
	if faults.oneIn(10) {
		jobID := jobIDs[faults.rand.IntN(len(jobIDs))]
		for _, label := range labels {
			code, status, _ := sendRequest(faults.controllers[label], "GET", "/work/"+jobID, nil)
			faults.checkResponse("poll", jobID, label, code, status)
		}
	}
}

// TestInvariantsUnderRandomFaults combines faults at random for minutes. The invariants must hold
// every second. Once all faults have ended, every accepted job that was not cancelled must be done,
// no claim may be left, and the team's whole limit must be free.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	const minutes, seeds = 5, 16
	var finishedJobs atomic.Int64 // jobs with a final state that users were told
	t.Cleanup(func() {
		// The minimum is over all seeds: how many jobs a single seed gets accepted depends on how many
		// the controllers refuse.
		if finishedJobs.Load() < 12*seeds {
			t.Errorf("only %d jobs finished in all seeds: too few to test anything", finishedJobs.Load())
		}
	})
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 2, 16)
			faults := &randomFaults{simulation: sim, rand: rand.New(rand.NewPCG(seed, 1)), copyRand: rand.New(rand.NewPCG(seed, 2)), endFuncs: map[string]func(){}, endTimes: map[string]time.Time{},
				accepted: map[string]time.Time{}, finalStates: map[string]string{}, cancelRequested: map[string]bool{}}
			if seed%2 == 1 {
				sim.enableTransfers()
				sim.configure = func(s *config.Settings) { s.Operator.QuotaTransfers = true }
			}
			for _, machine := range sim.machines {
				machine.ImagePullTime = time.Duration(faults.rand.IntN(4)) * time.Second
			}
			for _, label := range slices.Sorted(maps.Keys(sim.controllers)) {
				faults.allLinks = append(faults.allLinks, sim.links[label])
			}
			// A delayed start command, or an image pull on a machine that gets no responses, may
			// start a task until the machine's lease expires.
			faults.startGrace = leaseDuration + 3*time.Second
			for range minutes * 60 {
				faults.endFaults(false)
				faults.injectFaults()
				faults.runUsers()
				faults.step()
				for _, controller := range faults.controllers {
					checkMachineIndex(t, controller)
				}
			}
			faults.endFaults(true)
			for _, link := range faults.allLinks {
				link.applyDelayed()
				link.delayNext = 0
			}
			faults.run(240 * time.Second)
			for jobID := range faults.accepted {
				for _, label := range slices.Sorted(maps.Keys(faults.controllers)) {
					code, status, _ := sendRequest(faults.controllers[label], "GET", "/work/"+jobID, nil)
					faults.checkResponse("poll", jobID, label, code, status)
					if code != http.StatusOK || status.State != wire.StateDone && status.State != wire.StateCancelled {
						t.Errorf("%s after all faults at %s: %d %+v", jobID, label, code, status)
					}
				}
			}
			controller := faults.leader()
			controller.Lock()
			used, claims := controller.Table.ResourcesByTeam["x"], len(controller.Table.ClaimsByMachine)
			controller.Unlock()
			if used.GPUs > 1e-6 || claims != 0 {
				t.Errorf("claims of %v are left on %d machines\n%s", used, claims, sim)
			}
			finishedJobs.Add(int64(len(faults.finalStates)))
		})
	}
}
