package recovery

import (
	"testing"

	"pgregory.net/rapid"
)

// The rows of the table in docs/design/recovery.md, in its order. The session is
// number 5 and proven, starts may be sent and nothing is under way, unless the
// row says otherwise.
func TestTable(t *testing.T) {
	claim := DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 5}
	cancelled := DesiredTask{Claimed: true, Cancelled: true, Attempt: 3, Incarnation: 5}
	older := DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 4}
	alive := func(attempt uint64) ObservedTask { return ObservedTask{State: Alive, Attempt: attempt} }
	exited := func(attempt uint64, cause ExitCause) ObservedTask {
		return ObservedTask{State: Exited, Attempt: attempt, Cause: cause}
	}
	with := func(change func(*Worker)) func(*Worker) { return change }
	for _, row := range []struct {
		name   string
		claim  DesiredTask
		listed ObservedTask
		change func(*Worker)
		want   Decision
	}{
		{"1 claimed, alive: kept", claim, alive(3), nil, Decision{}},
		{"2 claimed, saving: kept until it ends", claim, ObservedTask{State: Checkpointing, Attempt: 3}, nil, Decision{}},
		{"3 claimed, alive, wanted off: stopped, may save", claim, alive(3), with(func(s *Worker) { s.Stopping = true }), Decision{Stop: KillWithCheckpoint}},
		{"4 claimed, not listed: started", claim, ObservedTask{}, nil, Decision{Start: true}},
		{"5 claimed, not listed, no state service: waits", claim, ObservedTask{}, with(func(s *Worker) { s.AllowStarts = false }), Decision{}},
		{"6 claimed, not listed, session not proven: started, nothing stored", claim, ObservedTask{}, with(func(s *Worker) { s.State = TokenUnacknowledged }), Decision{Start: true}},
		{"7 claimed, older attempt alive: that is killed, the claim started", claim, alive(2), nil, Decision{Stop: Kill, Start: true}},
		{"8 claimed, older attempt exited: that is reaped, the claim started", claim, exited(2, ExitOther), nil, Decision{Stop: Reap, Start: true}},
		{"9 claimed, older attempt exited, a start of it held up: not reaped", claim, exited(2, ExitOther), with(func(s *Worker) { s.StartPending = true }), Decision{Start: true}},
		{"10 claimed, newer attempt alive: killed", claim, alive(4), nil, Decision{Stop: Kill}},
		{"11 claimed, done: stored, not reaped before", claim, exited(3, ExitDone), nil, Decision{Update: UpdateDone, Reason: ReasonExited}},
		{"12 claimed, failed: stored", claim, exited(3, ExitFailed), nil, Decision{Update: UpdateFailed, Reason: ReasonExited}},
		{"13 claimed, stopped or refused: the claim is free", claim, exited(3, ExitOther), nil, Decision{Update: UpdateReleased, Reason: ReasonExited}},
		{"14 claimed, done, session not proven: waits", claim, exited(3, ExitDone), with(func(s *Worker) { s.State = TokenUnacknowledged }), Decision{}},
		{"15 claimed for an earlier session: free", older, ObservedTask{}, nil, Decision{Update: UpdateReleased, Reason: ReasonNewIncarnation}},
		{"16 claimed for an earlier session, not proven: waits", older, ObservedTask{}, with(func(s *Worker) { s.State = TokenUnacknowledged }), Decision{}},
		{"17 claimed, the lease has ended: free, nothing sent", claim, alive(3), with(func(s *Worker) { s.State = LeaseExpired }), Decision{Update: UpdateReleased, Reason: ReasonLeaseExpired}},
		{"18 claimed for a later session than the ended one: waits", DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 6}, ObservedTask{}, with(func(s *Worker) { s.State = LeaseExpired }), Decision{}},
		{"19 claimed for a later session, not listed: waits", DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 6}, ObservedTask{}, nil, Decision{}},
		{"20 cancelled, alive: killed", cancelled, alive(3), nil, Decision{Stop: Kill}},
		{"21 cancelled, saving: killed", cancelled, ObservedTask{State: Checkpointing, Attempt: 3}, nil, Decision{Stop: Kill}},
		{"22 cancelled, not listed, a start may arrive: waits", cancelled, ObservedTask{}, nil, Decision{}},
		{"23 cancelled, not listed, never ran: free", cancelled, ObservedTask{}, with(func(s *Worker) { s.NeverRan = true }), Decision{Update: UpdateReleased, Reason: ReasonNeverStarted}},
		{"24 cancelled, exited: free", cancelled, exited(3, ExitOther), nil, Decision{Update: UpdateReleased, Reason: ReasonExited}},
		{"25 no claim, alive: killed", DesiredTask{}, alive(3), nil, Decision{Stop: Kill}},
		{"26 no claim, alive, not proven: killed", DesiredTask{}, alive(3), with(func(s *Worker) { s.State = TokenUnacknowledged }), Decision{Stop: Kill}},
		{"27 no claim, exited: reaped", DesiredTask{}, exited(3, ExitDone), nil, Decision{Stop: Reap}},
		{"28 no claim, exited, a start of it held up: waits", DesiredTask{}, exited(3, ExitDone), with(func(s *Worker) { s.StartPending = true }), Decision{}},
		{"29 no claim, exited, not proven: waits", DesiredTask{}, exited(3, ExitDone), with(func(s *Worker) { s.State = TokenUnacknowledged }), Decision{}},
		{"30 no claim, not listed: nothing", DesiredTask{}, ObservedTask{}, nil, Decision{}},
	} {
		session := Worker{Incarnation: 5, State: TokenAcknowledged, AllowStarts: true}
		if row.change != nil {
			row.change(&session)
		}
		if got := Reconcile(row.claim, row.listed, session); got != row.want {
			t.Errorf("%s: %+v, want %+v", row.name, got, row.want)
		}
	}
}

// What holds of every decision, whatever is stored, reported and under way.
func TestDecisionsKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bool := func(name string) bool { return rapid.Bool().Draw(t, name) }
		number := func(name string) uint64 { return rapid.Uint64Range(1, 3).Draw(t, name) }
		c := DesiredTask{Claimed: bool("stored"), Open: bool("open"), Attempt: number("attempt"), Incarnation: number("claimed session")}
		c.Cancelled = !c.Open && bool("cancelled")
		l := ObservedTask{State: TaskState(rapid.IntRange(0, 3).Draw(t, "state")), Attempt: number("listed attempt"), Cause: ExitCause(rapid.IntRange(0, 2).Draw(t, "cause"))}
		s := Worker{Incarnation: number("session"), State: WorkerState(rapid.IntRange(0, 2).Draw(t, "session state")), AllowStarts: bool("may start"),
			StartPending: bool("held"), NeverRan: bool("never ran"), Stopping: bool("stopping")}
		d := Reconcile(c, l, s)
		live := l.State == Alive || l.State == Checkpointing
		covered := c.Claimed && c.Open && c.Incarnation == s.Incarnation && c.Attempt == l.Attempt
		switch {
		case d.Start && (!c.Claimed || !c.Open || c.Incarnation != s.Incarnation || !s.AllowStarts):
			t.Fatalf("started without an open claim for the session: %+v", d)
		case d.Start && live && d.Stop != Kill:
			t.Fatalf("started beside another attempt: %+v", d)
		case d.Start && l.State != NotListed && l.Attempt >= c.Attempt:
			t.Fatalf("started again: %+v", d)
		case live && covered && !s.Stopping && d.Stop != NoStop:
			t.Fatalf("a task that runs correctly is stopped: %+v", d)
		case live && !covered && s.State != LeaseExpired && d.Stop != Kill:
			t.Fatalf("a task without an open claim goes on: %+v", d)
		case d.Stop == Reap && (l.State != Exited || s.StartPending || s.State != TokenAcknowledged || c.Claimed && c.Attempt == l.Attempt):
			t.Fatalf("forgotten too early: %+v", d)
		case d.Update != NoUpdate && (!c.Claimed || s.State == TokenUnacknowledged):
			t.Fatalf("stored without proof: %+v", d)
		case d.Update == UpdateDone && (l.State != Exited || l.Cause != ExitDone || l.Attempt != c.Attempt):
			t.Fatalf("done without an end: %+v", d)
		case d.Update != NoUpdate && live && l.Attempt == c.Attempt && c.Incarnation == s.Incarnation && s.State == TokenAcknowledged:
			t.Fatalf("the claim of a task that runs ends: %+v", d)
		case s.State == LeaseExpired && (d.Start || d.Stop != NoStop):
			t.Fatalf("an order to a session that has ended: %+v", d)
		}
	})
}
