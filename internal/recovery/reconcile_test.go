package recovery

import (
	"testing"

	"pgregory.net/rapid"
)

// The cases are the rows of the table in docs/design/recovery.md, in the same order. Unless
// the row says otherwise, the worker's incarnation is 5 and has acknowledged the fencing
// token, starts may be sent, and no command is in flight.
func TestReconcileTable(t *testing.T) {
	claim := DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 5}
	cancelled := DesiredTask{Claimed: true, Cancelled: true, Attempt: 3, Incarnation: 5}
	earlierIncarnation := DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 4}
	laterIncarnation := DesiredTask{Claimed: true, Open: true, Attempt: 3, Incarnation: 6}
	checkpointing := ObservedTask{State: Checkpointing, Attempt: 3}
	alive := func(attempt uint64) ObservedTask { return ObservedTask{State: Alive, Attempt: attempt} }
	exited := func(attempt uint64, cause ExitCause) ObservedTask {
		return ObservedTask{State: Exited, Attempt: attempt, Cause: cause}
	}
	unacknowledged := func(w *Worker) { w.State = TokenUnacknowledged }
	leaseExpired := func(w *Worker) { w.State = WorkerLeaseExpired }
	startPending := func(w *Worker) { w.StartPending = true }
	for _, row := range []struct {
		name     string
		desired  DesiredTask
		observed ObservedTask
		change   func(*Worker)
		want     Decision
	}{
		{"1 claimed, alive: kept", claim, alive(3), nil, Decision{}},
		{"2 claimed, checkpointing: kept until it ends", claim, checkpointing, nil, Decision{}},
		{"3 claimed, alive, to be stopped: killed, may write a checkpoint", claim, alive(3), func(w *Worker) { w.TaskStopRequested = true }, Decision{Stop: KillWithCheckpoint}},
		{"4 claimed, not listed: started", claim, ObservedTask{}, nil, Decision{Start: true}},
		{"5 claimed, not listed, no key-value store: waits", claim, ObservedTask{}, func(w *Worker) { w.AllowStarts = false }, Decision{}},
		{"6 claimed, not listed, token not acknowledged: started, nothing stored", claim, ObservedTask{}, unacknowledged, Decision{Start: true}},
		{"7 claimed, older attempt alive: older attempt killed, claim started", claim, alive(2), nil, Decision{Stop: Kill, Start: true}},
		{"8 claimed, older attempt exited: older attempt reaped, claim started", claim, exited(2, ExitOther), nil, Decision{Stop: Reap, Start: true}},
		{"9 claimed, older attempt exited, a start of it pending: not reaped", claim, exited(2, ExitOther), startPending, Decision{Start: true}},
		{"10 claimed, newer attempt alive: killed", claim, alive(4), nil, Decision{Stop: Kill}},
		{"11 claimed, done: stored before it is reaped", claim, exited(3, ExitDone), nil, Decision{Update: UpdateDone, Reason: ReasonExited}},
		{"12 claimed, failed: stored", claim, exited(3, ExitFailed), nil, Decision{Update: UpdateFailed, Reason: ReasonExited}},
		{"13 claimed, stopped or refused: released", claim, exited(3, ExitOther), nil, Decision{Update: UpdateReleased, Reason: ReasonExited}},
		{"14 claimed, done, token not acknowledged: waits", claim, exited(3, ExitDone), unacknowledged, Decision{}},
		{"15 claimed for an earlier incarnation: released", earlierIncarnation, ObservedTask{}, nil, Decision{Update: UpdateReleased, Reason: ReasonNewIncarnation}},
		{"16 claimed for an earlier incarnation, token not acknowledged: waits", earlierIncarnation, ObservedTask{}, unacknowledged, Decision{}},
		{"17 claimed, lease expired: released, nothing sent", claim, alive(3), leaseExpired, Decision{Update: UpdateReleased, Reason: ReasonLeaseExpired}},
		{"18 claimed for a later incarnation than the expired one: waits", laterIncarnation, ObservedTask{}, leaseExpired, Decision{}},
		{"19 claimed for a later incarnation, not listed: waits", laterIncarnation, ObservedTask{}, nil, Decision{}},
		{"20 cancelled, alive: killed", cancelled, alive(3), nil, Decision{Stop: Kill}},
		{"21 cancelled, checkpointing: killed", cancelled, checkpointing, nil, Decision{Stop: Kill}},
		{"22 cancelled, not listed, a start may arrive: waits", cancelled, ObservedTask{}, nil, Decision{}},
		{"23 cancelled, not listed, never ran: released", cancelled, ObservedTask{}, func(w *Worker) { w.AttemptNeverStarted = true }, Decision{Update: UpdateReleased, Reason: ReasonNeverStarted}},
		{"24 cancelled, exited: released", cancelled, exited(3, ExitOther), nil, Decision{Update: UpdateReleased, Reason: ReasonExited}},
		{"25 no claim, alive: killed", DesiredTask{}, alive(3), nil, Decision{Stop: Kill}},
		{"26 no claim, alive, token not acknowledged: killed", DesiredTask{}, alive(3), unacknowledged, Decision{Stop: Kill}},
		{"27 no claim, exited: reaped", DesiredTask{}, exited(3, ExitDone), nil, Decision{Stop: Reap}},
		{"28 no claim, exited, a start of it pending: waits", DesiredTask{}, exited(3, ExitDone), startPending, Decision{}},
		{"29 no claim, exited, token not acknowledged: waits", DesiredTask{}, exited(3, ExitDone), unacknowledged, Decision{}},
		{"30 no claim, not listed: nothing", DesiredTask{}, ObservedTask{}, nil, Decision{}},
	} {
		t.Run(row.name, func(t *testing.T) {
			worker := Worker{Incarnation: 5, State: TokenAcknowledged, AllowStarts: true}
			if row.change != nil {
				row.change(&worker)
			}
			if got := Reconcile(row.desired, row.observed, worker); got != row.want {
				t.Errorf("%+v, want %+v", got, row.want)
			}
		})
	}
}

// Invariants that hold for every decision, whatever is desired, observed and in flight.
func TestReconcileInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
		number := func(name string) uint64 { return rapid.Uint64Range(1, 3).Draw(t, name) }
		desired := DesiredTask{Claimed: flag("claimed"), Open: flag("open"), Attempt: number("attempt"), Incarnation: number("claimed incarnation")}
		desired.Cancelled = !desired.Open && flag("cancelled")
		observed := ObservedTask{State: TaskState(rapid.IntRange(0, 3).Draw(t, "state")), Attempt: number("observed attempt"), Cause: ExitCause(rapid.IntRange(0, 2).Draw(t, "cause"))}
		worker := Worker{Incarnation: number("incarnation"), State: WorkerState(rapid.IntRange(0, 2).Draw(t, "worker state")), AllowStarts: flag("allow starts"),
			StartPending: flag("start pending"), AttemptNeverStarted: flag("never ran"), TaskStopRequested: flag("stopping")}
		d := Reconcile(desired, observed, worker)
		running := observed.State == Alive || observed.State == Checkpointing
		covered := desired.Claimed && desired.Open && desired.Incarnation == worker.Incarnation && desired.Attempt == observed.Attempt
		switch {
		case d.Start && (!desired.Claimed || !desired.Open || desired.Incarnation != worker.Incarnation || !worker.AllowStarts):
			t.Fatalf("start without an open claim for the incarnation: %+v", d)
		case d.Start && running && d.Stop != Kill:
			t.Fatalf("start while another attempt is running and not killed: %+v", d)
		case d.Start && observed.State != NotListed && observed.Attempt >= desired.Attempt:
			t.Fatalf("start of an attempt that is not newer than the listed one: %+v", d)
		case running && covered && !worker.TaskStopRequested && d.Stop != NoStop:
			t.Fatalf("stop of a running task that a claim covers: %+v", d)
		case running && !covered && worker.State != WorkerLeaseExpired && d.Stop != Kill:
			t.Fatalf("no kill of a running task without an open claim: %+v", d)
		case d.Stop == Reap && (observed.State != Exited || worker.StartPending || worker.State != TokenAcknowledged || desired.Claimed && desired.Attempt == observed.Attempt):
			t.Fatalf("reap that is too early: %+v", d)
		case d.Update != NoUpdate && (!desired.Claimed || worker.State == TokenUnacknowledged):
			t.Fatalf("update without proof: %+v", d)
		case d.Update == UpdateDone && (observed.State != Exited || observed.Cause != ExitDone || observed.Attempt != desired.Attempt):
			t.Fatalf("update to done without a successful exit of the attempt: %+v", d)
		case d.Update != NoUpdate && running && observed.Attempt == desired.Attempt && desired.Incarnation == worker.Incarnation && worker.State == TokenAcknowledged:
			t.Fatalf("update that ends the claim of a running task: %+v", d)
		case worker.State == WorkerLeaseExpired && (d.Start || d.Stop != NoStop):
			t.Fatalf("command to a worker whose lease has expired: %+v", d)
		}
	})
}
