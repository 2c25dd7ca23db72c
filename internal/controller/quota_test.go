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

// newQuotaPair returns an environment of two controllers with machines that send
// heartbeats, and a team limit.
func newQuotaPair(t *testing.T, limit float64, machines int) *testEnv {
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

// enableTransfers switches quota transfers on at all controllers.
func (env *testEnv) enableTransfers() {
	for _, controller := range env.controllers {
		controller.Lock()
		controller.Settings.Operator.QuotaTransfers = true
		controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
		controller.Unlock()
	}
}

// A job that fits the limit, but no controller's share of it, is claimed by the leader
// with what its peers transfer; with transfers the shares are never frozen for it.
func TestQuotaTransfersCoverAShortfall(t *testing.T) {
	for _, on := range []bool{false, true} {
		t.Run(fmt.Sprintf("transfers %v", on), func(t *testing.T) {
			env := newQuotaPair(t, 12, 8)
			if on {
				env.enableTransfers()
			}
			env.submit(env.leader(), arrayJob("wk-1", 12))
			begun := env.store.Revision
			rounds := 0
			for ; rounds < 12 && env.checkTeamLimit(12) < 12; rounds++ {
				env.clock.add(tuning.TransferPause)
				env.heartbeatAll()
				env.runPasses()
			}
			frozen, written := 0, 0
			for _, e := range env.store.Events {
				var rec quota.Record
				if e.Version <= begun || e.Put != jobs.TeamKey("x") || wire.Unmarshal(e.Value, &rec) != nil {
					continue
				}
				written++
				if rec.Frozen {
					frozen++
				}
			}
			if got := env.checkTeamLimit(12); got != 12 || on && frozen != 0 {
				t.Errorf("transfers %v: %v claimed after %d rounds, the shares were written %d times, %d of them frozen", on, got, rounds, written, frozen)
			}
			t.Logf("transfers %v: %d rounds, the shares were written %d times, %d of them frozen", on, rounds, written, frozen)
		})
	}
}

// checkTeamLimit checks the shares and claims of the team as they are stored.
func (env *testEnv) checkTeamLimit(limit float64) (claimed float64) {
	env.t.Helper()
	controller := env.leader()
	env.refreshAll()
	controller.Lock()
	defer controller.Unlock()
	held, sum := controller.MachineIndex.ClaimedByNode(), 0.0
	rec := controller.Quota.Ledger("x").Record()
	for label, by := range held {
		claimed += by["x"].GPUs
		if g := rec.Shares[label].GPUs; rec.FencingToken == controller.Membership.FencingToken && !rec.Frozen && by["x"].GPUs > g+1e-6 {
			env.t.Fatalf("%s holds %v, its share is %v", label, by["x"].GPUs, g)
		}
	}
	for _, g := range rec.Shares {
		sum += g.GPUs
	}
	if sum > limit+1e-6 || claimed > limit+1e-6 {
		env.t.Fatalf("shares of %v and claims of %v under a limit of %v", sum, claimed, limit)
	}
	return claimed
}

// Controllers race for a team's quota: after every write the shares and the claims are
// within the limit, and in the end all of it is used.
func TestQuotaSharesNeverExceedTheLimitAndAllOfItIsUsed(t *testing.T) {
	for _, tc := range []struct {
		limit       float64
		jobs, tasks int
	}{{8, 4, 3}, {40, 20, 3}, {13, 1, 13}, {30, 6, 8}} {
		t.Run(fmt.Sprintf("limit %v, %d jobs of %d tasks", tc.limit, tc.jobs, tc.tasks), func(t *testing.T) {
			env := newQuotaPair(t, tc.limit, 12)
			for i := range tc.jobs {
				env.submit(env.leader(), arrayJob(fmt.Sprintf("wk-%d", i), tc.tasks))
			}
			for range 12 {
				// Writes of one round are computed before any is stored.
				var all []*scheduler.PendingWrite
				var by []*Controller
				for _, controller := range env.controllers {
					controller.Lock()
					for _, write := range controller.scheduler.PlanPass() {
						all, by = append(all, write), append(by, controller)
					}
					controller.Unlock()
				}
				for i, write := range all {
					by[i].scheduler.Commit(context.Background(), write)
					env.checkTeamLimit(tc.limit)
				}
				env.clock.add(tuning.RebalancePause)
				env.heartbeatAll()
			}
			want := min(tc.limit, float64(tc.jobs*tc.tasks))
			if got := env.checkTeamLimit(tc.limit); got != want {
				controller := env.leader()
				t.Errorf("limit %v, %d jobs of %d: %v claimed, want %v; %v %v %v", tc.limit, tc.jobs, tc.tasks, got, want, controller.scheduler.Unplaced, controller.scheduler.UnplacedReasons, controller.Quota.Ledger("x").Record())
			}
		})
	}
}

// A claim whose answer was lost may yet be applied: its quota must not be claimed by
// another job meanwhile.
func TestAClaimOfUnknownOutcomeCountsAgainstTheQuota(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	for i := range 4 {
		env.addMachine(fmt.Sprintf("h%d", i), "batch")
		controller.receiveHeartbeat(env.heartbeat(fmt.Sprintf("h%d", i), 1, controller.fencingToken()))
	}
	env.submit(controller, arrayJob("wk-9", 8)) // the team's whole limit
	controller.Lock()
	pending := controller.scheduler.PlanPass()
	controller.Unlock()
	if len(pending) != 1 {
		t.Fatalf("%d writes", len(pending))
	}
	late := pending[0]
	env.store.Unavailable = true // never applied so far, and no answer
	controller.Lock()
	controller.scheduler.ResolveQuota(late, context.DeadlineExceeded)
	delete(controller.scheduler.WritesInFlight, "wk-9")
	controller.scheduler.BackoffUntil["wk-9"] = env.clock.now().Add(time.Second)
	controller.Unlock()
	env.store.Unavailable = false
	env.submit(controller, arrayJob("wk-2", 8))
	env.runPasses()
	if controller.Table.Jobs["wk-2"].Counts[jobs.Claimed] != 0 {
		t.Fatal("the room of a claim in doubt was given to another job")
	}
	// It arrives late; the limit stands.
	var compares []wire.Compare
	for k, s := range late.Compares {
		compares = append(compares, wire.Compare{Key: k, Version: s})
	}
	_, _ = env.store.CompareAndSwap(context.Background(), late.Class, compares, late.Operations)
	for range 6 {
		env.clock.add(tuning.RebalancePause)
		env.heartbeatAll()
		env.runPasses()
	}
	if got := env.checkTeamLimit(8); got != 8 {
		t.Fatalf("%v claimed", got)
	}
	controller.Lock()
	defer controller.Unlock()
	controller.scheduler.Allowances()
	if _, inDoubt := controller.Quota.Ledger("x").Pending(); !inDoubt.IsZero() {
		t.Fatal("it stays in doubt after its claim was applied")
	}
}

// A controller computes a claim, and before it is stored the leader rewrites the
// team's shares: the claim must fail, whatever has changed.
func TestAClaimUnderAnOutdatedQuotaShareFails(t *testing.T) {
	for name, next := range map[string]quota.Record{
		"frozen":    {Frozen: true},
		"shrunk":    {Shares: map[string]quota.Share{"a": {GPUs: 1}, "b": {GPUs: 7}}},
		"as before": {},
	} {
		t.Run(name, func(t *testing.T) {
			env := newQuotaPair(t, 8, 4)
			controller := env.controllers["a"]
			env.submit(controller, arrayJob("wk-1", 2))
			env.exchangePeerStatus()
			var pending []*scheduler.PendingWrite
			for _, o := range []*Controller{env.controllers["a"], env.controllers["b"]} {
				o.Lock()
				mine := o.scheduler.PlanPass()
				o.Unlock()
				if len(mine) > 0 && pending == nil {
					controller, pending = o, mine
				}
			}
			if len(pending) != 1 || pending[0].Admission == nil || pending[0].Admission.Team != "x" {
				t.Fatalf("%s: %d writes", name, len(pending))
			}
			controller.Lock()
			rec := controller.Quota.Ledger("x").Record()
			next.FencingToken = rec.FencingToken
			if next.Shares == nil {
				next.Shares = rec.Shares
			}
			controller.Unlock()
			env.store.Put(jobs.TeamKey("x"), wire.MustMarshal(next))
			controller.scheduler.Commit(context.Background(), pending[0])
			env.refreshAll()
			if got := controller.Table.Jobs["wk-1"].Counts[jobs.Claimed]; got != 0 {
				t.Errorf("%s: %d tasks claimed by an older share", name, got)
			}
		})
	}
}

// newGuaranteeSimulation returns a simulation whose machines are full of a team's
// endless borrowing jobs.
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

// timeUntilServed returns how long the team with a guarantee waits for all of it,
// while every process is replaced at the given times.
func timeUntilServed(sim *simulation, restarts ...time.Duration) time.Duration {
	spec := arrayJob("wk-2", 8)
	spec.Team = "y"
	sim.submit(sim.leader(), spec)
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

// Jobs within a guarantee get their resources back from borrowers within a bound: the
// time of two machine starts, and what preemption and starts take. With reservations
// the bound also holds when all controllers are replaced meanwhile, the leader too;
// without them the wait begins anew.
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
			t.Logf("served after %v", took)
			if (took <= bound) != tc.within {
				t.Errorf("served after %v, the bound is %v", took, bound)
			}
			if left := sim.runningTasksOf("wk-10"); took < 10*time.Minute && left > 4 {
				t.Errorf("%d tasks of a job of 4", left)
			}
		})
	}
}

// Operators see a team's shares, what is borrowed and what waits, on the status page
// and in the metrics; a record that can't be decoded is named.
func TestStatusAndMetricsShowTeamQuotas(t *testing.T) {
	sim := newGuaranteeSimulation(t, true)
	sim.quotaLimit = 30
	for _, controller := range sim.controllers {
		controller.Settings.Params.Teams[0].GPUsMax = sim.quotaLimit
		controller.Quota.Configure(cluster.QuotaTeams(controller.Settings.Params.Teams), cluster.QuotaOptions(controller.Settings))
	}
	spec := arrayJob("wk-2", 8)
	spec.Team = "y"
	sim.submit(sim.leader(), spec)
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
				t.Errorf("%s does not hold %q:\n%s", path, line, text)
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
