package controller

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/jobs"
	"wheatspur/internal/quota"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// newQuotaEnv returns an environment of two controllers, a number of batch machines that have
// sent heartbeats, and a GPU limit of team x.
func newQuotaEnv(t *testing.T, limit float64, machines int) *testEnv {
	t.Helper()
	env := newTestEnv(t, "a", "b")
	for _, controller := range env.controllers {
		controller.setTeamLimit(limit)
	}
	for i := range machines {
		env.addMachine(fmt.Sprintf("h%d", i), "batch")
	}
	env.raiseFencingToken()
	for i := range machines {
		machineName := fmt.Sprintf("h%d", i)
		owner, _ := env.ownerOf(machineName)
		owner.receiveHeartbeat(env.heartbeat(machineName, 1, owner.fencingToken()))
	}
	env.exchangePeerStatus()
	return env
}

// enableTransfers enables quota transfers at all controllers.
func (env *testEnv) enableTransfers() {
	for _, controller := range env.controllers {
		controller.Lock()
		controller.Settings.Operator.QuotaTransfers = true
		controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
		controller.Unlock()
	}
}

// A job fits the team's limit but not the share of any single controller. All its tasks are
// claimed, with quota that peers transfer or after the shares were rebalanced. With transfers
// enabled, the shares are never frozen for it.
func TestQuotaTransfersCoverAShortfall(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		t.Run(fmt.Sprintf("transfers %v", enabled), func(t *testing.T) {
			env := newQuotaEnv(t, 12, 8)
			if enabled {
				env.enableTransfers()
			}
			env.submit(env.leader(), arrayJob("wk-1", 12))
			startRevision := env.store.Revision
			rounds := 0
			for ; rounds < 12 && env.checkTeamLimit(12) < 12; rounds++ {
				env.clock.add(tuning.TransferPause)
				env.heartbeatAll()
				env.runPasses()
			}
			frozen, writes := 0, 0
			for _, event := range env.store.Events {
				var record quota.Record
				if event.Version <= startRevision || event.Put != jobs.TeamKey("x") || wire.Unmarshal(event.Value, &record) != nil {
					continue
				}
				writes++
				if record.Frozen {
					frozen++
				}
			}
			if claimed := env.checkTeamLimit(12); claimed != 12 || enabled && frozen != 0 {
				t.Errorf("transfers %v: %v GPUs claimed after %d rounds with %d writes of the shares, %d of them frozen; want 12 claimed and, with transfers, none frozen", enabled, claimed, rounds, writes, frozen)
			}
			t.Logf("transfers %v: %d rounds with %d writes of the shares, %d of them frozen", enabled, rounds, writes, frozen)
		})
	}
}

// checkTeamLimit checks that the stored claims of team x are within the controllers' shares, and
// that both the shares and the claims are within the limit. It returns the number of claimed GPUs.
func (env *testEnv) checkTeamLimit(limit float64) (claimed float64) {
	env.t.Helper()
	controller := env.leader()
	env.refreshAll()
	controller.Lock()
	defer controller.Unlock()
	claimedByNode, shareSum := controller.MachineIndex.ClaimTotals(), 0.0
	record := controller.Quota.Ledger("x").Record()
	for label, claims := range claimedByNode {
		claimed += claims["x"].GPUs
		if share := record.Shares[label].GPUs; record.FencingToken == controller.Membership.FencingToken && !record.Frozen && claims["x"].GPUs > share+1e-6 {
			env.t.Fatalf("controller %s has claimed %v GPUs, its share is %v", label, claims["x"].GPUs, share)
		}
	}
	for _, share := range record.Shares {
		shareSum += share.GPUs
	}
	if shareSum > limit+1e-6 || claimed > limit+1e-6 {
		env.t.Fatalf("the shares add up to %v GPUs and the claims to %v, the limit is %v", shareSum, claimed, limit)
	}
	return claimed
}

// Two controllers claim from the same team's quota concurrently. After every write, the shares and
// the claims are within the limit; in the end, as much of the limit is used as the jobs need.
func TestQuotaSharesNeverExceedTheLimitAndAllOfItIsUsed(t *testing.T) {
	for _, tc := range []struct {
		limit       float64
		jobs, tasks int
	}{{8, 4, 3}, {40, 20, 3}, {13, 1, 13}, {30, 6, 8}} {
		t.Run(fmt.Sprintf("limit %v, %d jobs of %d tasks", tc.limit, tc.jobs, tc.tasks), func(t *testing.T) {
			env := newQuotaEnv(t, tc.limit, 12)
			for i := range tc.jobs {
				env.submit(env.leader(), arrayJob(fmt.Sprintf("wk-%d", i), tc.tasks))
			}
			for range 12 {
				// All controllers plan their writes before any of them is stored.
				var writes []*scheduler.PendingWrite
				var writers []*Controller
				for _, controller := range env.controllers {
					controller.Lock()
					for _, write := range controller.scheduler.PlanPass() {
						writes, writers = append(writes, write), append(writers, controller)
					}
					controller.Unlock()
				}
				for i, write := range writes {
					writers[i].scheduler.Commit(context.Background(), write)
					env.checkTeamLimit(tc.limit)
				}
				env.clock.add(tuning.RebalancePause)
				env.heartbeatAll()
			}
			want := min(tc.limit, float64(tc.jobs*tc.tasks))
			if got := env.checkTeamLimit(tc.limit); got != want {
				controller := env.leader()
				t.Errorf("limit %v, %d jobs of %d tasks: %v GPUs claimed, want %v; unplaced %v, reasons %v, shares %v", tc.limit, tc.jobs, tc.tasks, got, want, controller.scheduler.Unplaced, controller.scheduler.UnplacedReasons, controller.Quota.Ledger("x").Record())
			}
		})
	}
}

// The write of a claim gets no response and can still be applied later. Its quota must not be
// claimed by another job meanwhile, or both claims together exceed the limit.
func TestAClaimOfUnknownOutcomeCountsAgainstTheQuota(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	for i := range 4 {
		env.addMachine(fmt.Sprintf("h%d", i), "batch")
		controller.receiveHeartbeat(env.heartbeat(fmt.Sprintf("h%d", i), 1, controller.fencingToken()))
	}
	env.submit(controller, arrayJob("wk-9", 8)) // uses the team's whole limit
	controller.Lock()
	pending := controller.scheduler.PlanPass()
	controller.Unlock()
	if len(pending) != 1 {
		t.Fatalf("%d writes are planned, want 1", len(pending))
	}
	delayed := pending[0]
	env.store.Unavailable = true // the write is neither applied nor answered
	controller.Lock()
	controller.scheduler.ResolveQuota(delayed, context.DeadlineExceeded)
	delete(controller.scheduler.WritesInFlight, "wk-9")
	controller.scheduler.BackoffUntil["wk-9"] = env.clock.now().Add(time.Second)
	controller.Unlock()
	env.store.Unavailable = false
	env.submit(controller, arrayJob("wk-2", 8))
	env.runPasses()
	if controller.Table.Jobs["wk-2"].TaskCounts[jobs.Claimed] != 0 {
		t.Fatal("the quota of a claim with unknown outcome was given to another job")
	}
	// The write is applied late. The limit must still hold.
	var compares []wire.Compare
	for key, version := range delayed.Compares {
		compares = append(compares, wire.Compare{Key: key, Version: version})
	}
	_, _ = env.store.CompareAndSwap(context.Background(), delayed.Class, compares, delayed.Operations)
	for range 6 {
		env.clock.add(tuning.RebalancePause)
		env.heartbeatAll()
		env.runPasses()
	}
	if got := env.checkTeamLimit(8); got != 8 {
		t.Fatalf("%v GPUs claimed, want 8", got)
	}
	controller.Lock()
	defer controller.Unlock()
	controller.scheduler.Allowances()
	if _, uncertain := controller.Quota.Ledger("x").UnconfirmedAmounts(); !uncertain.IsZero() {
		t.Fatal("the admission still counts as uncertain after its claim was applied")
	}
}

// The leader rewrites a team's shares after a controller planned a claim and before the claim is
// stored. The claim must fail, even if the shares have the same values as before.
func TestAClaimUnderAnOutdatedQuotaShareFails(t *testing.T) {
	for name, next := range map[string]quota.Record{
		"frozen":    {Frozen: true},
		"shrunk":    {Shares: map[string]quota.Share{"a": {GPUs: 1}, "b": {GPUs: 7}}},
		"unchanged": {},
	} {
		t.Run(name, func(t *testing.T) {
			env := newQuotaEnv(t, 8, 4)
			controller := env.controllers["a"]
			env.submit(controller, arrayJob("wk-1", 2))
			env.exchangePeerStatus()
			var pending []*scheduler.PendingWrite
			for _, candidate := range []*Controller{env.controllers["a"], env.controllers["b"]} {
				candidate.Lock()
				planned := candidate.scheduler.PlanPass()
				candidate.Unlock()
				if len(planned) > 0 && pending == nil {
					controller, pending = candidate, planned
				}
			}
			if len(pending) != 1 || pending[0].Admission == nil || pending[0].Admission.Team != "x" {
				t.Fatalf("%s: want one planned write with an admission of team x, got %d writes", name, len(pending))
			}
			controller.Lock()
			record := controller.Quota.Ledger("x").Record()
			next.FencingToken = record.FencingToken
			if next.Shares == nil {
				next.Shares = record.Shares
			}
			controller.Unlock()
			env.store.Put(jobs.TeamKey("x"), wire.MustMarshal(next))
			controller.scheduler.Commit(context.Background(), pending[0])
			env.refreshAll()
			if got := controller.Table.Jobs["wk-1"].TaskCounts[jobs.Claimed]; got != 0 {
				t.Errorf("%s: %d tasks were claimed under an outdated share", name, got)
			}
		})
	}
}

// newGuaranteeSimulation returns a simulation whose machines are full of jobs that never end and
// run on capacity that team x borrows. Team y has a guarantee of 8 GPUs.
func newGuaranteeSimulation(t *testing.T, reservations bool) *simulation {
	t.Helper()
	sim := newSimulation(t, 2, 0)
	sim.configure = func(s *config.Settings) {
		s.Params.Teams = []config.Team{{Name: "x"}, {Name: "y", GPUs: 8}}
		s.Operator.QuotaReservations = reservations
	}
	for _, controller := range sim.controllers {
		sim.configure(controller.Settings)
		controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
	}
	for i := range 6 {
		sim.submit(sim.leader(), arrayJob(fmt.Sprintf("wk-%d", 10+i), 4))
	}
	sim.run(30 * time.Second)
	return sim
}

// timeUntilServed submits a job of team y that needs its whole guarantee and returns how long it
// takes until all tasks of the job run. All controllers are restarted, one after the other, at each
// of the given times. The result is 10 minutes if the tasks do not all run before that.
func timeUntilServed(sim *simulation, restarts ...time.Duration) time.Duration {
	job := arrayJob("wk-2", 8)
	job.Team = "y"
	sim.submit(sim.leader(), job)
	for waited := time.Duration(0); waited < 10*time.Minute; waited += time.Second {
		if sim.runningTasksOf("wk-2") == 8 {
			return waited
		}
		if slices.Contains(restarts, waited) {
			for _, label := range []string{"a", "b", "c"} {
				sim.restartController(label)
				sim.run(6 * time.Second)
				waited += 6 * time.Second
			}
		}
		sim.step()
	}
	return 10 * time.Minute
}

// A job within a guarantee gets its resources back from borrowers within a bound: the time of two
// machine boots, plus the time to preempt and to start tasks. With reservations, the bound also
// holds when all controllers, including the leader, restart during the wait. Without reservations,
// the wait starts again at each restart.
func TestAGuaranteeIsServedWithinItsBound(t *testing.T) {
	const bound = tuning.GuaranteePreemptAfter + 20*time.Second
	restarts := []time.Duration{40 * time.Second, 90 * time.Second}
	for _, tc := range []struct {
		name         string
		reservations bool
		restarts     []time.Duration
		within       bool
	}{
		{"no restart", true, nil, true},
		{"no restart, no reservations", false, nil, true},
		{"all controllers restart twice", true, restarts, true},
		{"all controllers restart twice, no reservations", false, restarts, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			sim := newGuaranteeSimulation(t, tc.reservations)
			took := timeUntilServed(sim, tc.restarts...)
			t.Logf("all tasks run after %v", took)
			if (took <= bound) != tc.within {
				t.Errorf("all tasks run after %v, the bound is %v, want within the bound: %v", took, bound, tc.within)
			}
			if running := sim.runningTasksOf("wk-10"); took < 10*time.Minute && running > 4 {
				t.Errorf("%d tasks of wk-10 run, the job has 4", running)
			}
		})
	}
}

// The status page and the metrics show each team's shares and its borrowed and waiting amounts. A
// quota record that cannot be decoded is shown as damaged until it is rebuilt.
func TestStatusAndMetricsShowTeamQuotas(t *testing.T) {
	sim := newGuaranteeSimulation(t, true)
	sim.teamGPULimit = 30
	for _, controller := range sim.controllers {
		controller.Settings.Params.Teams[0].GPUsMax = sim.teamGPULimit
		controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
	}
	job := arrayJob("wk-2", 8)
	job.Team = "y"
	sim.submit(sim.leader(), job)
	sim.run(20 * time.Second)
	controller := sim.leader()
	page := func(path string) string {
		_, _, response := sendRequest(controller, "GET", path, nil)
		return string(response.Response.Body())
	}
	for path, lines := range map[string][]string{
		"/status": {
			"guarantees 0/8 machines_hold 48/24 fit true\n",
			`team x shares "shared" limit 0/30 guarantee 0/0 used 24/24 borrowed 24/24 waiting 0/0` + "\n",
			`team y shares "unlimited" limit 0/0 guarantee 0/8 used 0/0 borrowed 0/0 waiting 8/8 reserved 0/8 for `,
		},
		"/status?team=x": {"share a of 0/", " held 0/8\n"},
		"/status?team=q": {"team q is not known here\n"},
		"/metrics": {
			`wheatspur_team{kind="borrowed",resource="gpus",team="x"} 24`,
			`wheatspur_team{kind="reserved",resource="gpus",team="y"} 8`,
			`wheatspur_team_share{kind="held",node="b",resource="gpus",team="x"} 8`,
			`wheatspur_team_shares_phase{phase="shared",team="x"} 1`,
		},
	} {
		text := page(path)
		for _, line := range lines {
			if !strings.Contains(text, line) {
				t.Errorf("%s does not contain %q:\n%s", path, line, text)
			}
		}
	}
	sim.store.Put(jobs.TeamKey("x"), wire.Raw{0xff})
	sim.refreshAll()
	if text := page("/status?team=x"); !strings.Contains(text, `shares "damaged"`) || !strings.Contains(text, "damaged record of shares") {
		t.Errorf("a damaged record is shown as\n%s", text)
	}
	sim.run(20 * time.Second)
	if text := page("/status?team=x"); !strings.Contains(text, `shares "shared" limit 0/30 guarantee 0/0 used 24/24`) {
		t.Errorf("a rebuilt record is shown as\n%s", text)
	}
}
