package recovery

import (
	"testing"

	"pgregory.net/rapid"
)

// The rows of the table in docs/design/recovery.md, in its order. The session is
// number 5 and proven, starts may be sent and nothing is under way, unless the
// row says otherwise.
func TestTable(t *testing.T) {
	claim := Claim{Stored: true, Open: true, Attempt: 3, Session: 5}
	cancelled := Claim{Stored: true, Cancelled: true, Attempt: 3, Session: 5}
	older := Claim{Stored: true, Open: true, Attempt: 3, Session: 4}
	alive := func(attempt uint64) Listed { return Listed{State: Alive, Attempt: attempt} }
	exited := func(attempt uint64, cause ExitCause) Listed {
		return Listed{State: Exited, Attempt: attempt, Cause: cause}
	}
	with := func(change func(*Session)) func(*Session) { return change }
	for _, row := range []struct {
		name   string
		claim  Claim
		listed Listed
		change func(*Session)
		want   Decision
	}{
		{"1 claimed, alive: kept", claim, alive(3), nil, Decision{}},
		{"2 claimed, saving: kept until it ends", claim, Listed{State: Saving, Attempt: 3}, nil, Decision{}},
		{"3 claimed, alive, wanted off: stopped, may save", claim, alive(3), with(func(s *Session) { s.Stopping = true }), Decision{Stop: KillSaving}},
		{"4 claimed, not listed: started", claim, Listed{}, nil, Decision{Start: true}},
		{"5 claimed, not listed, no state service: waits", claim, Listed{}, with(func(s *Session) { s.MayStart = false }), Decision{}},
		{"6 claimed, not listed, session not proven: started, nothing stored", claim, Listed{}, with(func(s *Session) { s.State = Unproven }), Decision{Start: true}},
		{"7 claimed, older attempt alive: that is killed, the claim started", claim, alive(2), nil, Decision{Stop: Kill, Start: true}},
		{"8 claimed, older attempt exited: that is reaped, the claim started", claim, exited(2, ExitOther), nil, Decision{Stop: Reap, Start: true}},
		{"9 claimed, older attempt exited, a start of it held up: not reaped", claim, exited(2, ExitOther), with(func(s *Session) { s.StartHeld = true }), Decision{Start: true}},
		{"10 claimed, newer attempt alive: killed", claim, alive(4), nil, Decision{Stop: Kill}},
		{"11 claimed, done: stored, not reaped before", claim, exited(3, ExitDone), nil, Decision{Record: RecordDone, Reason: ReasonExited}},
		{"12 claimed, failed: stored", claim, exited(3, ExitFailed), nil, Decision{Record: RecordFailed, Reason: ReasonExited}},
		{"13 claimed, stopped or refused: the claim is free", claim, exited(3, ExitOther), nil, Decision{Record: RecordFree, Reason: ReasonExited}},
		{"14 claimed, done, session not proven: waits", claim, exited(3, ExitDone), with(func(s *Session) { s.State = Unproven }), Decision{}},
		{"15 claimed for an earlier session: free", older, Listed{}, nil, Decision{Record: RecordFree, Reason: ReasonNewSession}},
		{"16 claimed for an earlier session, not proven: waits", older, Listed{}, with(func(s *Session) { s.State = Unproven }), Decision{}},
		{"17 claimed, the lease has ended: free, nothing sent", claim, alive(3), with(func(s *Session) { s.State = Ended }), Decision{Record: RecordFree, Reason: ReasonLeaseEnded}},
		{"18 claimed for a later session than the ended one: waits", Claim{Stored: true, Open: true, Attempt: 3, Session: 6}, Listed{}, with(func(s *Session) { s.State = Ended }), Decision{}},
		{"19 claimed for a later session, not listed: waits", Claim{Stored: true, Open: true, Attempt: 3, Session: 6}, Listed{}, nil, Decision{}},
		{"20 cancelled, alive: killed", cancelled, alive(3), nil, Decision{Stop: Kill}},
		{"21 cancelled, saving: killed", cancelled, Listed{State: Saving, Attempt: 3}, nil, Decision{Stop: Kill}},
		{"22 cancelled, not listed, a start may arrive: waits", cancelled, Listed{}, nil, Decision{}},
		{"23 cancelled, not listed, never ran: free", cancelled, Listed{}, with(func(s *Session) { s.NeverRan = true }), Decision{Record: RecordFree, Reason: ReasonNeverStarted}},
		{"24 cancelled, exited: free", cancelled, exited(3, ExitOther), nil, Decision{Record: RecordFree, Reason: ReasonExited}},
		{"25 no claim, alive: killed", Claim{}, alive(3), nil, Decision{Stop: Kill}},
		{"26 no claim, alive, not proven: killed", Claim{}, alive(3), with(func(s *Session) { s.State = Unproven }), Decision{Stop: Kill}},
		{"27 no claim, exited: reaped", Claim{}, exited(3, ExitDone), nil, Decision{Stop: Reap}},
		{"28 no claim, exited, a start of it held up: waits", Claim{}, exited(3, ExitDone), with(func(s *Session) { s.StartHeld = true }), Decision{}},
		{"29 no claim, exited, not proven: waits", Claim{}, exited(3, ExitDone), with(func(s *Session) { s.State = Unproven }), Decision{}},
		{"30 no claim, not listed: nothing", Claim{}, Listed{}, nil, Decision{}},
	} {
		session := Session{Number: 5, State: Proven, MayStart: true}
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
		c := Claim{Stored: bool("stored"), Open: bool("open"), Attempt: number("attempt"), Session: number("claimed session")}
		c.Cancelled = !c.Open && bool("cancelled")
		l := Listed{State: TaskState(rapid.IntRange(0, 3).Draw(t, "state")), Attempt: number("listed attempt"), Cause: ExitCause(rapid.IntRange(0, 2).Draw(t, "cause"))}
		s := Session{Number: number("session"), State: SessionState(rapid.IntRange(0, 2).Draw(t, "session state")), MayStart: bool("may start"),
			StartHeld: bool("held"), NeverRan: bool("never ran"), Stopping: bool("stopping")}
		d := Reconcile(c, l, s)
		live := l.State == Alive || l.State == Saving
		covered := c.Stored && c.Open && c.Session == s.Number && c.Attempt == l.Attempt
		switch {
		case d.Start && (!c.Stored || !c.Open || c.Session != s.Number || !s.MayStart):
			t.Fatalf("started without an open claim for the session: %+v", d)
		case d.Start && live && d.Stop != Kill:
			t.Fatalf("started beside another attempt: %+v", d)
		case d.Start && l.State != NotListed && l.Attempt >= c.Attempt:
			t.Fatalf("started again: %+v", d)
		case live && covered && !s.Stopping && d.Stop != NoStop:
			t.Fatalf("a task that runs correctly is stopped: %+v", d)
		case live && !covered && s.State != Ended && d.Stop != Kill:
			t.Fatalf("a task without an open claim goes on: %+v", d)
		case d.Stop == Reap && (l.State != Exited || s.StartHeld || s.State != Proven || c.Stored && c.Attempt == l.Attempt):
			t.Fatalf("forgotten too early: %+v", d)
		case d.Record != NoRecord && (!c.Stored || s.State == Unproven):
			t.Fatalf("stored without proof: %+v", d)
		case d.Record == RecordDone && (l.State != Exited || l.Cause != ExitDone || l.Attempt != c.Attempt):
			t.Fatalf("done without an end: %+v", d)
		case d.Record != NoRecord && live && l.Attempt == c.Attempt && c.Session == s.Number && s.State == Proven:
			t.Fatalf("the claim of a task that runs ends: %+v", d)
		case s.State == Ended && (d.Start || d.Stop != NoStop):
			t.Fatalf("an order to a session that has ended: %+v", d)
		}
	})
}
