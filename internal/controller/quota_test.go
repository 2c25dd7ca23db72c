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

// twoNodes is a world of two nodes with machines of each, all reporting, and
// a team limit.
func twoNodes(t *testing.T, limit float64, machines int) *world {
	t.Helper()
	w := newWorld(t, "a", "b")
	for _, n := range w.nodes {
		n.limitTeam(limit)
	}
	for i := range machines {
		w.addHost(fmt.Sprintf("h%d", i), "batch")
	}
	w.raise()
	for i := range machines {
		h := fmt.Sprintf("h%d", i)
		owner, _ := w.owner(h)
		owner.take(w.report(h, 1, owner.membershipToken()))
	}
	w.tell()
	return w
}

// limitTeam sets the limit of the team x.
func (n *Controller) limitTeam(gpus float64) {
	n.Settings.Params.Teams[0].GPUsMax = gpus
	n.Quota.Configure(cluster.QuotaTeams(n.Settings.Params.Teams), cluster.QuotaOptions(n.Settings))
}

// transfers switches transfers of shares on at all nodes.
func (w *world) transfers() {
	for _, n := range w.nodes {
		n.Lock()
		n.Settings.Operator.QuotaTransfers = true
		n.Quota.Configure(cluster.QuotaTeams(n.Settings.Params.Teams), cluster.QuotaOptions(n.Settings))
		n.Unlock()
	}
}

// A job that fits the limit, and no node's share of it, is claimed by the leader
// with what the others give: in transfers alone, without a freeze.
func TestTransfersEndAShortage(t *testing.T) {
	for _, on := range []bool{false, true} {
		w := twoNodes(t, 12, 8)
		if on {
			w.transfers()
		}
		w.submit(w.leader(), work("wk-1", 12))
		begun := w.st.Revision
		rounds := 0
		for ; rounds < 12 && w.checkLimit(12) < 12; rounds++ {
			w.clk.add(tuning.TransferPause)
			w.keepAlive()
			w.passAll()
		}
		frozen, written := 0, 0
		for _, e := range w.st.Events {
			var rec quota.Record
			if e.Version <= begun || e.Put != jobs.TeamKey("x") || wire.Unmarshal(e.Value, &rec) != nil {
				continue
			}
			written++
			if rec.Frozen {
				frozen++
			}
		}
		if got := w.checkLimit(12); got != 12 || on && frozen != 0 {
			t.Errorf("transfers %v: %v claimed after %d rounds, the shares were written %d times, %d of them frozen", on, got, rounds, written, frozen)
		}
		t.Logf("transfers %v: %d rounds, the shares were written %d times, %d of them frozen", on, rounds, written, frozen)
	}
}

// tell lets all nodes exchange their statuses.
func (w *world) tell() {
	for _, n := range w.nodes {
		for _, m := range w.nodes {
			if m != n && !w.silent[n.Self.Label] && !w.silent[m.Self.Label] {
				w.exchange(n, m)
			}
		}
	}
}

// raise restarts the session of a node that does not lead, which raises the
// token, so that limits are shared out anew.
func (w *world) raise() {
	w.t.Helper()
	for _, n := range w.nodes {
		if n != w.leader() {
			w.st.Expire(n.Self.Incarnation)
			w.sync()
			n.election.EndSession(n.Self.Incarnation)
			n.Self.Incarnation, _ = w.st.GrantLease(context.Background(), time.Second)
			n.Session = n.Session.Next("got lease")
			break
		}
	}
	for range 4 {
		w.settle()
	}
	w.passAll()
}

// checkLimit checks the shares and claims of the team as they stand in the store.
func (w *world) checkLimit(limit float64) (claimed float64) {
	w.t.Helper()
	n := w.leader()
	w.sync()
	n.Lock()
	defer n.Unlock()
	held, sum := n.MachineIndex.ClaimedByNode(), 0.0
	rec := n.Quota.Ledger("x").Record()
	for label, by := range held {
		claimed += by["x"].GPUs
		if g := rec.Shares[label].GPUs; rec.FencingToken == n.Membership.FencingToken && !rec.Frozen && by["x"].GPUs > g+1e-6 {
			w.t.Fatalf("%s holds %v, its share is %v", label, by["x"].GPUs, g)
		}
	}
	for _, g := range rec.Shares {
		sum += g.GPUs
	}
	if sum > limit+1e-6 || claimed > limit+1e-6 {
		w.t.Fatalf("shares of %v and claims of %v under a limit of %v", sum, claimed, limit)
	}
	return claimed
}

func TestSharesSumToTheLimitAndAllOfItIsUsed(t *testing.T) {
	for _, c := range []struct {
		limit       float64
		jobs, tasks int
	}{{8, 4, 3}, {40, 20, 3}, {13, 1, 13}, {30, 6, 8}} {
		w := twoNodes(t, c.limit, 12)
		for i := range c.jobs {
			w.submit(w.leader(), work(fmt.Sprintf("wk-%d", i), c.tasks))
		}
		for range 12 {
			// Writes of one round are computed before any is stored.
			var all []*scheduler.PendingWrite
			var by []*Controller
			for _, n := range w.nodes {
				n.Lock()
				for _, x := range n.scheduler.Schedule() {
					all, by = append(all, x), append(by, n)
				}
				n.Unlock()
			}
			for i, x := range all {
				by[i].scheduler.Commit(context.Background(), x)
				w.checkLimit(c.limit)
			}
			w.clk.add(tuning.RebalancePause)
			w.keepAlive()
		}
		want := min(c.limit, float64(c.jobs*c.tasks))
		if got := w.checkLimit(c.limit); got != want {
			n := w.leader()
			t.Errorf("limit %v, %d jobs of %d: %v claimed, want %v; %v %v %v", c.limit, c.jobs, c.tasks, got, want, n.scheduler.Unplaced, n.scheduler.PendingReasons, n.Quota.Ledger("x").Record())
		}
	}
}

// keepAlive lets all machines report, so that none falls silent.
func (w *world) keepAlive() {
	w.sync()
	for _, h := range w.cl.Listed {
		owner, _ := w.owner(h.Name)
		owner.take(w.report(h.Name, 1, owner.membershipToken()))
	}
	w.tell()
}

// A claim whose answer was lost may yet be applied: its room in the limit
// must not be claimed by another job meanwhile.
func TestAClaimInDoubtCountsAgainstTheLimit(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	for i := range 4 {
		w.addHost(fmt.Sprintf("h%d", i), "batch")
		n.take(w.report(fmt.Sprintf("h%d", i), 1, n.membershipToken()))
	}
	w.submit(n, work("wk-9", 8)) // the team's whole limit
	n.Lock()
	txns := n.scheduler.Schedule()
	n.Unlock()
	if len(txns) != 1 {
		t.Fatalf("%d writes", len(txns))
	}
	late := txns[0]
	w.st.Down = true // never applied so far, and no answer
	n.Lock()
	n.scheduler.ResolveQuota(late, context.DeadlineExceeded)
	delete(n.scheduler.WritesInFlight, "wk-9")
	n.scheduler.BackoffUntil["wk-9"] = w.clk.now().Add(time.Second)
	n.Unlock()
	w.st.Down = false
	w.submit(n, work("wk-2", 8))
	w.passAll()
	if n.Table.Jobs["wk-2"].Counts[jobs.Claimed] != 0 {
		t.Fatal("the room of a claim in doubt was given to another job")
	}
	// It arrives late; the limit stands.
	var guards []wire.Compare
	for k, s := range late.Compares {
		guards = append(guards, wire.Compare{Key: k, Version: s})
	}
	_, _ = w.st.CompareAndSwap(context.Background(), late.Class, guards, late.Operations)
	for range 6 {
		w.clk.add(tuning.RebalancePause)
		w.keepAlive()
		w.passAll()
	}
	if got := w.checkLimit(8); got != 8 {
		t.Fatalf("%v claimed", got)
	}
	n.Lock()
	defer n.Unlock()
	n.scheduler.Allowances()
	if _, inDoubt := n.Quota.Ledger("x").Pending(); !inDoubt.IsZero() {
		t.Fatal("it stays in doubt after its claim was applied")
	}
}

// A node computes a claim, and before it is stored the leader shares the team's
// limit out otherwise: the claim fails, and the limit holds, whatever
// has changed.
func TestAClaimOfAnOlderShareFails(t *testing.T) {
	for name, next := range map[string]quota.Record{
		"frozen":    {Frozen: true},
		"shrunk":    {Shares: map[string]quota.Share{"a": {GPUs: 1}, "b": {GPUs: 7}}},
		"as before": {},
	} {
		w := twoNodes(t, 8, 4)
		n := w.nodes["a"]
		w.submit(n, work("wk-1", 2))
		w.tell()
		var txns []*scheduler.PendingWrite
		for _, o := range []*Controller{w.nodes["a"], w.nodes["b"]} {
			o.Lock()
			mine := o.scheduler.Schedule()
			o.Unlock()
			if len(mine) > 0 && txns == nil {
				n, txns = o, mine
			}
		}
		if len(txns) != 1 || txns[0].Admission == nil || txns[0].Admission.Team != "x" {
			t.Fatalf("%s: %d writes", name, len(txns))
		}
		n.Lock()
		rec := n.Quota.Ledger("x").Record()
		next.FencingToken = rec.FencingToken
		if next.Shares == nil {
			next.Shares = rec.Shares
		}
		n.Unlock()
		w.st.Put(jobs.TeamKey("x"), wire.MustMarshal(next))
		n.scheduler.Commit(context.Background(), txns[0])
		w.sync()
		if got := n.Table.Jobs["wk-1"].Counts[jobs.Claimed]; got != 0 {
			t.Errorf("%s: %d tasks claimed by an older share", name, got)
		}
	}
}

// guaranteeWorld is a world of three nodes whose machines are full of a team's
// endless borrowed work.
func guaranteeWorld(t *testing.T, reservations bool) *trial {
	t.Helper()
	x := newTrial(t, 2, 0)
	x.operator = func(s *config.Settings) {
		s.Params.Teams = []config.Team{{Name: "x"}, {Name: "y", GPUs: 8}}
		s.Operator.QuotaReservations = reservations
	}
	for _, n := range x.nodes {
		x.operator(n.Settings)
		n.Quota.Configure(cluster.QuotaTeams(n.Settings.Params.Teams), cluster.QuotaOptions(n.Settings))
	}
	for i := range 6 {
		x.submit(x.leader(), work(fmt.Sprintf("wk-%d", 10+i), 4))
	}
	x.run(30 * time.Second)
	return x
}

// servedAfter is how long the team with a guarantee waits for all of it, while
// every process is replaced by a new one at the given times.
func servedAfter(x *trial, restarts ...time.Duration) time.Duration {
	wk := work("wk-2", 8)
	wk.Team = "y"
	x.submit(x.leader(), wk)
	for waited := time.Duration(0); waited < 10*time.Minute; waited += time.Second {
		if x.everywhere("wk-2") == 8 {
			return waited
		}
		if slices.Contains(restarts, waited) {
			for _, label := range []string{"a", "b", "c"} {
				x.restart(label)
				x.run(6 * time.Second)
				waited += 6 * time.Second
			}
		}
		x.step()
	}
	return 10 * time.Minute
}

// Work within a guarantee gets its room from what others borrow, within a bound:
// two boots' time, and what stops and starts take. With reservations the bound
// also holds when all nodes are replaced meanwhile, the leader too; without
// them the wait begins anew.
func TestAGuaranteeIsServedWithinItsBound(t *testing.T) {
	const bound = tuning.GuaranteePreemptAfter + 20*time.Second
	restarts := []time.Duration{40 * time.Second, 90 * time.Second}
	for _, c := range []struct {
		name         string
		reservations bool
		restarts     []time.Duration
		within       bool
	}{
		{"no restart", true, nil, true},
		{"no restart, no reservations", false, nil, true},
		{"all nodes restart twice", true, restarts, true},
		{"all nodes restart twice, no reservations", false, restarts, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := guaranteeWorld(t, c.reservations)
			took := servedAfter(x, c.restarts...)
			t.Logf("served after %v", took)
			if (took <= bound) != c.within {
				t.Errorf("served after %v, the bound is %v", took, bound)
			}
			if left := x.everywhere("wk-10"); took < 10*time.Minute && left > 4 {
				t.Errorf("%d tasks of a job of 4", left)
			}
		})
	}
}

// Operators see a team's shares, what is borrowed and what waits, on the page and
// in the metrics; a damaged record is named.
func TestOperatorsSeeTheTeams(t *testing.T) {
	x := guaranteeWorld(t, true)
	x.limit = 30
	for _, n := range x.nodes {
		n.Settings.Params.Teams[0].GPUsMax = x.limit
		n.Quota.Configure(cluster.QuotaTeams(n.Settings.Params.Teams), cluster.QuotaOptions(n.Settings))
	}
	wk := work("wk-2", 8)
	wk.Team = "y"
	x.submit(x.leader(), wk)
	x.run(20 * time.Second)
	n := x.leader()
	page := func(path string) string {
		_, _, c := ask(n, "GET", path, nil)
		return string(c.Response.Body())
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
	x.st.Put(jobs.TeamKey("x"), wire.Raw{0xff})
	x.sync()
	if text := page("/status?team=x"); !strings.Contains(text, `shares "damaged"`) || !strings.Contains(text, "damaged record of shares") {
		t.Errorf("a damaged record is shown as\n%s", text)
	}
	x.run(20 * time.Second)
	if text := page("/status?team=x"); !strings.Contains(text, `shares "shared" limit 0/30 guarantee 0/0 used 24/24`) {
		t.Errorf("a rebuilt record is shown as\n%s", text)
	}
}
