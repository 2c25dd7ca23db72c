package controller

import (
	"context"
	"fmt"
	"testing"

	"wheatspur/internal/autoscale"
	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/inventory"
	"wheatspur/internal/jobs"
	"wheatspur/internal/leader"
	"wheatspur/internal/membership"
	"wheatspur/internal/placement"
	"wheatspur/internal/scheduler"
	"wheatspur/internal/tuning"
	"wheatspur/internal/worker"
	"wheatspur/wire"
)

// fleetSize is that of the largest deployment known, rounded up.
const fleetSize = 3300

// bigWorld is one world with a whole fleet that reports: every second machine
// of the service role, the rest batch.
func bigWorld(t testing.TB, labels ...string) *world {
	t.Helper()
	w := newWorld(t, labels...)
	w.joinFleet(fleetSize)
	return w
}

// joinFleet lets the leader list the fleet, and every machine report.
func (w *world) joinFleet(machines int) {
	l := w.leader()
	for i := range machines {
		host := fmt.Sprintf("host-%06d", i)
		w.cl.Listed = append(w.cl.Listed, wire.Machine{Name: host, Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning, AgeS: 100})
		role := placement.Batch
		if i%2 == 0 {
			role = placement.Service
		}
		l.Lock()
		l.leaderLoop.CurrentLeaderState().ScalingOut[host] = leader.ScaleOutRecord{Role: role}
		l.Unlock()
	}
	l.leaderLoop.ReconcileCloudList(context.Background(), w.cl.Listed)
	w.sync()
	for _, h := range w.cl.Listed {
		owner, _ := w.owner(h.Name)
		owner.take(w.report(h.Name, 1, owner.membershipToken()))
	}
	w.tell()
}

// fill submits services and arrays and places them.
func (w *world) fill(services, arrays int) {
	l := w.leader()
	for i := range services {
		w.submit(l, service(fmt.Sprintf("wk-1%05d", i), 8))
	}
	for i := range arrays {
		w.submit(l, work(fmt.Sprintf("wk-2%05d", i), 60))
	}
}

// teamRoom lifts the team's limit of the small worlds.
func (w *world) teamRoom() {
	for _, n := range w.nodes {
		n.limitTeam(1e6)
	}
}

func BenchmarkPass(b *testing.B) {
	w := bigWorld(b, "a", "b", "c")
	w.teamRoom()
	w.fill(120, 40)
	for range 12 {
		w.passAll()
	}
	n := w.leader()
	b.ReportAllocs()
	for b.Loop() {
		n.Lock()
		n.scheduler.Schedule()
		n.Unlock()
	}
}

func BenchmarkPassWithWorkWaiting(b *testing.B) {
	w := bigWorld(b, "a", "b", "c")
	w.teamRoom()
	w.fill(300, 0)
	n := w.leader()
	for _, m := range n.Workers.ByMachine {
		m.TerminationAt = w.clk.now() // no machine takes tasks
	}
	b.ReportAllocs()
	for b.Loop() {
		n.Lock()
		n.scheduler.Schedule()
		n.Unlock()
	}
}

func BenchmarkReport(b *testing.B) {
	w := bigWorld(b, "a")
	n := w.leader()
	var tasks []wire.TaskStatus
	for i := range 8 {
		tasks = append(tasks, wire.TaskStatus{Task: jobs.TaskName("wk-1", i), Attempt: 1, State: wire.TaskRunning})
	}
	token := n.membershipToken()
	b.ReportAllocs()
	for b.Loop() {
		n.take(w.report("host-000007", 1, token, tasks...))
	}
}

func BenchmarkWatchDecode(b *testing.B) {
	w := newWorld(b, "a")
	n := w.leader()
	w.submit(n, work("wk-1", 60))
	tasks := make([]jobs.Task, 60)
	for i := range tasks {
		tasks[i] = jobs.Task{State: jobs.Claimed, Attempt: 1, Machine: fmt.Sprintf("host-%06d", i/8), Incarnation: 1}
	}
	v := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	b.ReportAllocs()
	for b.Loop() {
		if err := n.Table.ApplyChunk(jobs.ChunkKey("wk-1", 0), v); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlan(b *testing.B) {
	w := bigWorld(b, "a")
	w.teamRoom()
	w.fill(300, 60)
	n := w.leader()
	w.pass(n)
	b.ReportAllocs()
	for b.Loop() {
		n.Lock()
		now := n.Now()
		autoscale.Plan(n.leaderLoop.PlanInput(n.leaderLoop.CurrentLeaderState(), n.MachineIndex.RefreshMachines(now), now))
		n.Unlock()
	}
}

// A whole fleet joins, takes hundreds of jobs and ends them: what counts is
// the number of changes, not the time.
func TestAFleetOf3300MachinesCostsFewChanges(t *testing.T) {
	w := newWorld(t, "a", "b", "c")
	w.teamRoom()
	w.raise()
	revisions := func(what string, most uint64, f func()) {
		t.Helper()
		before := w.st.Revision
		f()
		if n := w.st.Revision - before; n > most {
			t.Errorf("%s: %d transactions, at most %d are due", what, n, most)
		}
	}
	l := w.leader()
	revisions("3300 machines join", fleetSize/16, func() { w.joinFleet(fleetSize) })
	const services, arrays = 150, 60
	w.fill(services, arrays)
	revisions("210 jobs are claimed", 2*(services+arrays), func() {
		for range 30 {
			w.passAll()
		}
	})
	claimed := 0
	for _, j := range l.Table.Open {
		claimed += j.Counts[jobs.Claimed]
	}
	if claimed != services*8+arrays*60 {
		t.Fatalf("%d tasks are claimed", claimed)
	}
	// All tasks of the arrays end, most on machines of other owners: each
	// owner stores its part of a chunk at once, or gathers it.
	tasks := map[string][]wire.TaskStatus{}
	for _, j := range l.Table.Open {
		for i, task := range j.Claims {
			s := wire.TaskStatus{Task: jobs.TaskName(j.ID, i), Attempt: task.Attempt, State: wire.TaskRunning}
			if !j.Service() {
				s.State, s.ExitCause = wire.TaskExited, wire.ExitCauseDone
			}
			tasks[task.Machine] = append(tasks[task.Machine], s)
		}
	}
	revisions("3600 tasks end", 4*arrays, func() {
		for _, h := range w.cl.Listed {
			owner, _ := w.owner(h.Name)
			owner.take(w.report(h.Name, 1, owner.membershipToken(), tasks[h.Name]...))
		}
		for range 12 {
			w.clk.add(tuning.ReleaseGather)
			w.sync()
			w.passAll()
		}
	})
	for i := range arrays {
		if jobID := fmt.Sprintf("wk-2%05d", i); l.Table.Jobs[jobID].Record.Phase != jobs.Done {
			t.Fatalf("%s is %s", jobID, l.Table.Jobs[jobID].Record.Phase)
		}
	}
	// Nothing has changed: siblings are told nothing of the machines.
	w.tell()
	for _, n := range w.nodes {
		for _, m := range w.nodes {
			if m == n {
				continue
			}
			n.Lock()
			st := n.Peers.OwnStatus(m.Peers.Siblings[n.Self.Label].MachinesVersion)
			n.Unlock()
			if b := len(st.Encode()); b > 300 {
				t.Errorf("%s tells %s %d bytes though nothing has changed", n.Self.Label, m.Self.Label, b)
			}
		}
	}
	for k, e := range w.st.Keys {
		if len(e.Value) > 4096 {
			t.Errorf("%s holds %d bytes", k, len(e.Value))
		}
	}
}

// All controllers but one are gone: the one that is left writes few memberships,
// keeps the proofs of its own machines, takes the others as they report, and
// loses and repeats nothing.
func TestOneControllerTakesAFleetOf3300Machines(t *testing.T) {
	w := bigWorld(t, "a", "b", "c")
	w.teamRoom()
	w.raise()
	for _, h := range w.cl.Listed {
		owner, _ := w.owner(h.Name)
		owner.take(w.report(h.Name, 1, owner.membershipToken()))
	}
	w.tell()
	w.fill(60, 20)
	for range 12 {
		w.passAll()
	}
	l := w.leader()
	claimed := func() (n int) {
		for _, j := range l.Table.Open {
			n += j.Counts[jobs.Claimed]
		}
		return n
	}
	had, own := claimed(), 0
	for _, h := range w.cl.Listed {
		if o, _ := w.owner(h.Name); o == l {
			own++
		}
	}
	if had != 60*8+20*60 {
		t.Fatalf("%d tasks are claimed", had)
	}
	revision := w.st.Revision
	for label, n := range w.nodes {
		if n != l {
			w.st.Expire(n.Self.Incarnation)
			delete(w.nodes, label)
		}
	}
	for range 3 {
		w.settle()
	}
	written := 0
	for _, e := range w.st.Events {
		if e.Version > revision && e.Put == membership.Key {
			written++
		}
	}
	if written > 2 {
		t.Errorf("%d memberships are written for two nodes that are gone", written)
	}
	proven := 0
	for _, m := range l.Workers.ByMachine {
		if m.State == worker.TokenAcknowledged {
			proven++
		}
	}
	if proven != own {
		t.Errorf("%d of its own %d machines are still proven", proven, own)
	}
	for _, h := range w.cl.Listed {
		if code, _ := l.take(w.report(h.Name, 1, l.membershipToken())); code != 200 {
			t.Fatalf("%s is answered %d", h.Name, code)
		}
	}
	revision = w.st.Revision
	for range 3 {
		w.passAll()
	}
	if n := claimed(); n != had {
		t.Errorf("%d tasks are claimed, %d were", n, had)
	}
	if n := w.st.Revision - revision; n > 4 {
		t.Errorf("%d transactions though nothing has ended", n)
	}
}

// Grouped records whose answer is lost, that conflict, or of which a leader
// stored only a part before it stopped, are put right by the next list.
func TestGroupedRecordsSurviveLostAnswersConflictsAndAHalf(t *testing.T) {
	w := newWorld(t, "a")
	n := w.nodes["a"]
	ctx := context.Background()
	var list []wire.Machine
	for i := range 100 {
		list = append(list, wire.Machine{Name: fmt.Sprintf("host-%06d", i), Address: "10.9.9.9:1", MachineType: "g", Zone: "z", State: wire.MachineRunning})
	}
	known := func() int {
		w.sync()
		n.Lock()
		defer n.Unlock()
		return len(n.Inventory.Machines)
	}
	w.st.Lose = 1
	n.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 {
		t.Fatalf("%d machines after a lost answer", known())
	}
	revision := w.st.Revision
	n.leaderLoop.ReconcileCloudList(ctx, list[:10])
	if known() != 10 || w.st.Revision != revision {
		t.Fatal("a group whose answer was lost is written again")
	}
	// Somebody else's write of the group comes first.
	key := n.Inventory.KeyOf("host-000000")
	if _, err := w.st.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: key, Value: w.st.Keys[key].Value}}); err != nil {
		t.Fatal(err)
	}
	n.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 10 {
		t.Fatalf("%d machines: a write computed from an older group was stored", known())
	}
	n.leaderLoop.ReconcileCloudList(ctx, list[:12])
	if known() != 12 {
		t.Fatalf("%d machines after a conflict", known())
	}
	// The leader stops after its first group: some joined, the rest did not.
	n.Lock()
	writes := n.Inventory.PlanWrites(joins(list[12:]), nil, n.MaxGroupBytes(), n.Limits.TxnOps)
	n.Unlock()
	if len(writes) < 3 {
		t.Fatalf("%d writes", len(writes))
	}
	if _, err := w.st.CompareAndSwap(ctx, 0, nil, []wire.Operation{{Put: writes[0].Key, Value: wire.MustMarshal(writes[0].Group)}}); err != nil {
		t.Fatal(err)
	}
	if k := known(); k <= 12 || k >= 100 {
		t.Fatalf("%d machines half way", k)
	}
	n.leaderLoop.ReconcileCloudList(ctx, list)
	if known() != 100 {
		t.Fatalf("%d machines after the next list", known())
	}
}

func joins(list []wire.Machine) []inventory.RecordChange {
	var out []inventory.RecordChange
	for _, h := range list {
		out = append(out, inventory.RecordChange{Machine: h.Name, After: &inventory.Record{MachineType: h.MachineType, Zone: h.Zone, Role: placement.Batch, Phase: inventory.Active}})
	}
	return out
}

// Forty teams, each with more waiting than its limit, on 4,000 machines of five
// nodes whose writes are decided before any is stored: no limit is exceeded
// after any write, each is used to the last unit, and an admission costs little
// more than its own change.
func TestManyTeamsRaceOn4000Machines(t *testing.T) {
	const machines, teams, limit, jobsEach, tasks = 4000, 40, 48, 3, 24
	for _, transfers := range []bool{false, true} {
		w := newWorld(t, "a", "b", "c", "d", "e")
		for _, n := range w.nodes {
			n.Settings.Params.Teams = nil
			for i := range teams {
				n.Settings.Params.Teams = append(n.Settings.Params.Teams, config.Team{Name: fmt.Sprintf("team-%d", i), GPUsMax: limit})
			}
			n.Settings.Operator.QuotaTransfers = transfers
			n.Quota.Configure(cluster.QuotaTeams(n.Settings.Params.Teams), cluster.QuotaOptions(n.Settings))
		}
		w.raise()
		w.joinFleet(machines)
		l := w.leader()
		for i := range teams * jobsEach {
			wk := work(fmt.Sprintf("wk-%d", 1000+i), tasks)
			wk.Team = fmt.Sprintf("team-%d", i%teams)
			w.submit(l, wk)
		}
		used := func() (least, most, sum float64) {
			least = limit
			for i := range teams {
				gpus := l.Table.ResourcesByTeam[fmt.Sprintf("team-%d", i)].GPUs
				least, most, sum = min(least, gpus), max(most, gpus), sum+gpus
			}
			return least, most, sum
		}
		before := w.st.Revision
		rounds := 0
		for least := 0.0; least < limit && rounds < 60; rounds++ {
			w.raceRound()
			var most float64
			if least, most, _ = used(); most > limit {
				t.Fatalf("a team uses %v of %v", most, limit)
			}
			w.clk.add(tuning.ConflictPause)
			w.tell()
		}
		least, _, sum := used()
		changes := w.st.Revision - before
		t.Logf("transfers %v: %v GPUs after %d rounds, %d changes", transfers, sum, rounds, changes)
		if least < limit || changes > 3*teams*jobsEach {
			t.Errorf("transfers %v: the least that a team uses is %v of %v, %d changes for %d jobs", transfers, least, limit, changes, teams*jobsEach)
		}
	}
}

// raceRound lets every node decide before any of the writes is stored.
func (w *world) raceRound() {
	type decided struct {
		n *Controller
		t *scheduler.PendingWrite
	}
	var all []decided
	for _, n := range w.nodes {
		n.Lock()
		for _, x := range n.scheduler.Schedule() {
			all = append(all, decided{n, x})
		}
		n.Unlock()
	}
	for _, d := range all {
		d.n.scheduler.Commit(context.Background(), d.t)
	}
	w.sync()
}
