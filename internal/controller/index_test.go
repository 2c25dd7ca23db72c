package controller

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/placement"
	"wheatspur/wire"
)

// picture is what a pass sees of the machines, in a form that can be compared.
func picture(f *placement.Fleet) []string {
	var out []string
	for _, m := range f.Machines {
		tasks := slices.Clone(m.Tasks)
		slices.SortFunc(tasks, func(a, b placement.ClaimedTask) int {
			return cmp.Or(cmp.Compare(a.ID.Job, b.ID.Job), cmp.Compare(a.ID.Task, b.ID.Task))
		})
		line := fmt.Sprintf("%s %s %s %s %v %s open %v session %d images %v free %.3f freeing %.3f tasks", m.Name, m.Type, m.Zone, m.Owner,
			m.Spot, m.Role, m.Schedulable, m.Incarnation, m.Images, m.Free, m.Freeing)
		for _, r := range tasks {
			line += fmt.Sprintf(" %s/%v", r.ID, r.Stopping)
		}
		out = append(out, line)
	}
	return out
}

// checkView compares the kept picture of the fleet, and the kept sums of claims,
// with ones that are made anew.
func checkView(t testing.TB, n *Controller) {
	t.Helper()
	n.Lock()
	defer n.Unlock()
	if n.Membership == nil || !n.IsMember() {
		return
	}
	now := n.Now()
	kept, held, view := picture(n.MachineIndex.RefreshMachines(now)), n.MachineIndex.ClaimedByNode(), n.MachineIndex
	n.MachineIndex.Reset()
	anew, sums := picture(n.MachineIndex.RefreshMachines(now)), n.MachineIndex.ClaimedByNode()
	n.MachineIndex = view // goes on, so that what it misses adds up
	if !slices.Equal(kept, anew) {
		for i := range anew {
			if i >= len(kept) || kept[i] != anew[i] {
				t.Fatalf("%s: %d machines are kept, %d are there; the first that differs:\n%s\n%s", n.Self.Label, len(kept), len(anew), kept[min(i, len(kept)-1)], anew[i])
			}
		}
		t.Fatalf("%s: %d machines are kept, %d are there", n.Self.Label, len(kept), len(anew))
	}
	for _, m := range n.Membership.Nodes {
		for _, team := range n.Settings.Params.Teams {
			if a, b := held[m.Label][team.Name], sums[m.Label][team.Name]; math.Abs(a.GPUs-b.GPUs) > 1e-6 || math.Abs(a.CPUs-b.CPUs) > 1e-6 {
				t.Fatalf("%s: claims of %s on the machines of %s: %v kept, %v are there", n.Self.Label, team.Name, m.Label, a, b)
			}
		}
	}
}

// One end of a task on a fleet with thousands of claims enters one machine anew,
// not all that the chunk's tasks are on. Guards against a pass that walks all
// tasks of the fleet: it took half of a small machine's processor.
func TestAChangeOfOneTaskEntersOneMachine(t *testing.T) {
	w := bigWorld(t, "a")
	w.teamRoom()
	w.fill(0, 20)
	n := w.leader()
	for range 6 {
		w.passAll()
	}
	n.Lock()
	n.MachineIndex.RefreshMachines(n.Now())
	j := n.Table.Jobs["wk-200000"]
	task := j.Task(0)
	if len(j.Claims) != 60 || len(n.MachineIndex.Changed) != 0 {
		t.Fatalf("%d tasks are claimed, %d machines are to be entered", len(j.Claims), len(n.MachineIndex.Changed))
	}
	// Two copies of a chunk that differ in one task, as a watch brings them.
	tasks := j.ChunkCopy(0)
	tasks[0], _ = tasks[0].Next(jobs.TaskEvent{Kind: jobs.Complete})
	raw := wire.MustMarshal(jobs.ChunkRecord{Tasks: tasks})
	if err := n.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), raw); err != nil {
		t.Fatal(err)
	}
	if len(n.MachineIndex.Changed) != 1 || !n.MachineIndex.Changed[task.Machine] {
		t.Errorf("%d machines are to be entered, only %s has changed", len(n.MachineIndex.Changed), task.Machine)
	}
	if err := n.Table.ApplyChunk(jobs.ChunkKey("wk-200000", 0), raw); err != nil {
		t.Fatal(err)
	}
	if len(n.MachineIndex.Changed) != 1 {
		t.Errorf("%d machines are to be entered after the same chunk came once more", len(n.MachineIndex.Changed))
	}
	n.Unlock()
	checkView(t, n)
}

// What a pass planned for others' machines does not outlive it: tasks that it
// would stop there are tasks like others in the next one.
func TestAPassLeavesThePictureAsItWas(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.teamRoom()
	w.raise()
	for i := range 6 {
		w.addHost(fmt.Sprintf("h%d", i), "service")
	}
	for _, h := range w.cl.Listed {
		owner, _ := w.owner(h.Name)
		owner.take(w.report(h.Name, 1, owner.membershipToken()))
	}
	w.tell()
	low := service("wk-1", 24)
	low.Priority = wire.PriorityLow
	w.submit(w.leader(), low)
	for range 4 {
		w.passAll()
	}
	w.submit(w.leader(), service("wk-2", 12))
	evicted := 0
	for _, n := range w.nodes {
		n.Lock()
		now := n.Now()
		before := picture(n.MachineIndex.RefreshMachines(now))
		out := placement.Schedule(n.scheduler.PlaceInput(n.MachineIndex.RefreshMachines(now), now))
		during := picture(n.MachineIndex.Fleet)
		after := picture(n.MachineIndex.RefreshMachines(now))
		placement.Schedule(n.scheduler.PlaceInput(n.MachineIndex.Fleet, now))
		n.MachineIndex.Rebuild = true // a machine has come: all are indexed anew
		rebuilt := picture(n.MachineIndex.RefreshMachines(now))
		n.Unlock()
		if !slices.Equal(before, rebuilt) {
			t.Errorf("%s: before a pass and in a new index:\n%v\n%v", n.Self.Label, before, rebuilt)
		}
		evicted += len(out.Preemptions)
		if slices.Equal(before, during) {
			t.Errorf("%s plans nothing: the test needs a pass that does", n.Self.Label)
		}
		if !slices.Equal(before, after) {
			t.Errorf("%s: before and after a pass:\n%v\n%v", n.Self.Label, before, after)
		}
	}
	if evicted != 12 {
		t.Errorf("%d tasks are stopped for 12", evicted)
	}
}

// What changes on a machine is told to siblings with the next status, not only
// when all machines are compared with what siblings know.
func TestAChangeIsPublishedBeforeTheNextSweep(t *testing.T) {
	w := newWorld(t, "a", "b")
	w.addHost("h1", "batch")
	n, other := w.owner("h1")
	n.take(w.report("h1", 1, n.membershipToken()))
	w.tell()
	n.Lock()
	n.Peers.OwnStatus(other.Peers.Siblings[n.Self.Label].MachinesVersion) // the clock stands: all were compared now
	n.Unlock()
	notice := 10.0
	r := w.report("h1", 1, n.membershipToken())
	r.TerminationNoticeS = &notice
	n.take(r)
	w.exchange(n, other)
	if h := other.Peers.Siblings[n.Self.Label].Machines["h1"]; h.TerminationNotice < 0 {
		t.Errorf("the sibling knows %+v, without the notice", h)
	}
}
