package controller

import (
	"fmt"
	"testing"

	"wheatspur/internal/store"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// With one change due at a time, ends that lead to new starts and claims take
// turns. Guards against passes that come often and give every change to the ends
// of hundreds of tasks, while work waits beside room.
func TestEndsAndClaimsTakeTurns(t *testing.T) {
	const jobsEach = 6
	w := newWorld(t, "a")
	n := w.nodes["a"]
	w.teamRoom()
	for i := range 2 * jobsEach {
		w.addHost(fmt.Sprintf("h%02d", i), "batch")
		n.take(w.report(fmt.Sprintf("h%02d", i), 1, n.membershipToken()))
	}
	for i := range jobsEach {
		w.submit(n, work(fmt.Sprintf("wk-1%d", i), 4))
	}
	for range 4 {
		w.passAll()
	}
	// Every task of these jobs was stopped: each job has ends to be stored, and
	// waits for new starts.
	tasks := map[string][]wire.TaskStatus{}
	for i := range jobsEach {
		id := fmt.Sprintf("wk-1%d", i)
		for k, task := range n.Table.Jobs[id].Claims {
			tasks[task.Machine] = append(tasks[task.Machine], wire.TaskStatus{Task: fmt.Sprintf("%s/%d", id, k), Attempt: task.Attempt,
				State: wire.TaskExited, ExitCause: wire.ExitCauseStopped})
		}
	}
	for host, list := range tasks {
		n.take(w.report(host, 1, n.membershipToken(), list...))
	}
	for i := range jobsEach {
		w.submit(n, work(fmt.Sprintf("wk-2%d", i), 1))
	}
	// Room for one change in each pass, not for two.
	n.Limits.WriteRPS = 2.5 / tuning.BudgetShare
	n.Limiter = store.NewLimiter(1000, 2.5, 64, w.clk.now)
	n.Lock()
	n.Peers.UpdateBudgetShare()
	n.Unlock()
	wrote := map[string]int{}
	for range jobsEach {
		n.Lock()
		txns := n.scheduler.Schedule()
		n.Unlock()
		if len(txns) != 1 {
			t.Fatalf("%d writes in a pass with room for one", len(txns))
		}
		wrote[txns[0].Kind]++
		// It stays under way: the ends and claims of others are due still.
	}
	if wrote["release"] != jobsEach/2 || wrote["claim"] != jobsEach/2 {
		t.Errorf("writes: %v, want half of each", wrote)
	}
}
