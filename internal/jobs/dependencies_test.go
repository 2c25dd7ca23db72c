package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wheatspur/wire"
)

// pipe is a table that is fed with jobs that depend on others.
type pipe struct {
	t   *testing.T
	tab *Table
}

func newPipe(t *testing.T) *pipe {
	return &pipe{t, NewTable(func() time.Time { return time.Unix(0, 0) })}
}

func (p *pipe) put(jobID string, r Record) {
	p.t.Helper()
	if err := p.tab.ApplyJob(jobID, wire.MustMarshal(r)); err != nil {
		p.t.Fatal(err)
	}
}

func record(jobID string, edit func(*wire.JobSpec), dependsOn ...string) Record {
	w := &wire.JobSpec{ID: jobID, Team: "x", Kind: wire.KindArray, Priority: wire.PriorityLow, Tasks: 1, EstimateS: 10, DependsOn: dependsOn}
	if edit != nil {
		edit(w)
	}
	r := Record{Phase: Open, AcceptedAtMs: 1000, Tasks: 1, ChunkSize: 4, Spec: w}
	if len(dependsOn) > 0 {
		r.Phase = Waiting
	}
	return r
}

func (p *pipe) done(jobID string, end int64) {
	p.put(jobID, Record{Phase: Done, AcceptedAtMs: 1000, Tasks: 1, ChunkSize: 4, EndedAtMs: end})
}

func (p *pipe) want(what string, phases map[string]Phase) {
	p.t.Helper()
	for jobID, want := range phases {
		j := p.tab.Jobs[jobID]
		if j.Phase != want || (p.tab.Open[jobID] != nil) != (want == Open) || (p.tab.Waiting[jobID] != nil) != (want == Waiting) {
			p.t.Errorf("%s: %s is %s, want %s", what, jobID, j.Phase, want)
		}
	}
}

// The records come in any order: a full read has job records before intake
// records, and the watch has whatever was written.
func TestPhasesFollowFromTheRecordsInAnyOrder(t *testing.T) {
	// a diamond a -> b, c -> d, a chain after it, and one that depends on a cancelled job
	steps := []func(p *pipe){
		func(p *pipe) { p.done("wk-1", 5000) },
		func(p *pipe) { p.put("wk-2", record("wk-2", nil, "wk-1")) },
		func(p *pipe) { p.done("wk-3", 9000) },
		func(p *pipe) { p.put("wk-4", record("wk-4", nil, "wk-2", "wk-3")) },
		func(p *pipe) { p.put("wk-5", record("wk-5", nil, "wk-4")) },
		func(p *pipe) { p.put("wk-6", Record{Phase: Cancelled, Tasks: 1, ChunkSize: 4}) },
		func(p *pipe) { p.put("wk-7", record("wk-7", nil, "wk-3", "wk-6")) },
		func(p *pipe) { p.put("wk-8", record("wk-8", nil, "wk-7", "wk-5")) },
		func(p *pipe) { p.put("wk-9", record("wk-9", nil, "wk-3", "wk-1")) },
	}
	for seed := range uint64(40) {
		p := newPipe(t)
		for _, i := range rand.New(rand.NewPCG(seed, 1)).Perm(len(steps)) {
			steps[i](p)
		}
		p.want(fmt.Sprint("order ", seed), map[string]Phase{"wk-2": Open, "wk-4": Waiting, "wk-5": Waiting, "wk-7": Cancelled, "wk-8": Cancelled, "wk-9": Open})
		if j := p.tab.Jobs["wk-9"]; j.ReadyAtMs != 9000 {
			t.Fatalf("order %d: wk-9 may start from %d", seed, j.ReadyAtMs)
		}
		if p.tab.Jobs["wk-8"].Status().State != wire.StateCancelled || p.tab.Jobs["wk-4"].Status().State != wire.StateQueued {
			t.Fatal("users are told otherwise")
		}
		if len(p.tab.Unrecorded) != 2 || p.tab.Jobs["wk-7"].CancelledWith != "wk-6" || p.tab.Jobs["wk-8"].CancelledWith != "wk-7" {
			t.Fatalf("order %d: unsaid %v", seed, p.tab.Unrecorded)
		}
	}
}

func TestACancellationReachesAllThatNeedTheJob(t *testing.T) {
	p := newPipe(t)
	p.put("wk-0", record("wk-0", nil))
	const n = 3000
	for i := 1; i <= n; i++ {
		jobID := fmt.Sprintf("wk-%d", i)
		p.put(jobID, record(jobID, nil, fmt.Sprintf("wk-%d", i-1))) // a deep chain
		fan := fmt.Sprintf("wk-%d", 10000+i)
		p.put(fan, record(fan, nil, "wk-0")) // a wide fan
	}
	if len(p.tab.Waiting) != 2*n {
		t.Fatalf("%d wait", len(p.tab.Waiting))
	}
	r, err := record("wk-0", nil).Cancel(time.UnixMilli(7000))
	if err != nil {
		t.Fatal(err)
	}
	p.put("wk-0", r)
	if len(p.tab.Waiting) != 0 || len(p.tab.Open) != 0 || len(p.tab.Unrecorded) != 2*n {
		t.Fatalf("%d wait, %d open, %d cancelled", len(p.tab.Waiting), len(p.tab.Open), len(p.tab.Unrecorded))
	}
	// One that comes late, at a node that has not heard.
	p.put("wk-99999", record("wk-99999", nil, "wk-3000"))
	if p.tab.Jobs["wk-99999"].Phase != Cancelled {
		t.Fatal("a late dependant is not cancelled")
	}
	// Cancelling a dependant leaves what it depends on alone.
	q := newPipe(t)
	q.put("wk-1", record("wk-1", nil))
	second := record("wk-2", nil, "wk-1")
	q.put("wk-2", second)
	if second, err = second.Cancel(time.UnixMilli(7000)); err != nil {
		t.Fatal(err)
	}
	q.put("wk-2", second)
	q.want("after a dependant's cancellation", map[string]Phase{"wk-1": Open, "wk-2": Cancelled})
}

func TestRankAndDeadlineOfTheLastJobReachTheFirst(t *testing.T) {
	p := newPipe(t)
	due := 100.0
	p.put("wk-1", record("wk-1", nil))
	p.put("wk-2", record("wk-2", nil, "wk-1"))
	p.put("wk-3", record("wk-3", func(w *wire.JobSpec) { w.Priority = wire.PriorityNormal }, "wk-1"))
	if j := p.tab.Jobs["wk-1"]; j.Priority != PriorityOrder(wire.PriorityNormal) || j.DeadlineMs != 0 {
		t.Fatalf("rank %d due %d before the last job is known", j.Priority, j.DeadlineMs)
	}
	last := record("wk-4", func(w *wire.JobSpec) { w.Priority, w.DeadlineS = wire.PriorityUrgent, &due }, "wk-2", "wk-3")
	p.put("wk-4", last)
	urgent := PriorityOrder(wire.PriorityUrgent)
	// 101 s, less 10 s for the last job and 3 s for the gap, and once more.
	for jobID, want := range map[string]int64{"wk-4": 101000, "wk-2": 88000, "wk-3": 88000, "wk-1": 75000} {
		if j := p.tab.Jobs[jobID]; j.Priority != urgent || j.DeadlineMs != want {
			t.Errorf("%s: rank %d due %d, want %d", jobID, j.Priority, j.DeadlineMs, want)
		}
	}
	// What no longer needs them lends them nothing.
	last, _ = last.Cancel(time.UnixMilli(2000))
	p.put("wk-4", last)
	for _, jobID := range []string{"wk-1", "wk-2", "wk-3"} {
		if j := p.tab.Jobs[jobID]; j.Priority == urgent || j.DeadlineMs != 0 {
			t.Errorf("%s keeps rank %d due %d", jobID, j.Priority, j.DeadlineMs)
		}
	}
}

// A job whose record can't be read is not taken for one that is done.
func TestAnUnreadableRecordKeepsItsDependantsWaiting(t *testing.T) {
	p := newPipe(t)
	if p.tab.ApplyJob("wk-1", []byte{0x61}) == nil {
		t.Fatal("half a text was read")
	}
	p.put("wk-2", record("wk-2", nil, "wk-1"))
	p.want("", map[string]Phase{"wk-2": Waiting})
	if u := p.tab.Unfinished(p.tab.Jobs["wk-2"]); len(u) != 1 || u[0] != "wk-1" {
		t.Fatalf("waits for %v", u)
	}
}

func TestWhatCanNotBeAwaited(t *testing.T) {
	accepted := func(jobID string) (bool, bool) { return jobID != "wk-404", jobID == "wk-9" }
	for jobID, ok := range map[string]bool{"wk-2": true, "wk-404": false, "wk-9": false, "wk-1": false, "job-2": false, "": false} {
		if err := ValidateDependencies(&wire.JobSpec{ID: "wk-1", DependsOn: []string{jobID}}, accepted); (err == nil) != ok {
			t.Errorf("%q: %v", jobID, err)
		}
	}
}
