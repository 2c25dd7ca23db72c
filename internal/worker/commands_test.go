package worker

import (
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

func TestCommandsFollowStoredClaims(t *testing.T) {
	for _, c := range []struct {
		name        string
		claims      map[jobs.TaskID]*jobs.Job
		tasks       []wire.TaskStatus
		allowStarts bool
		want        string
	}{
		{"a stored claim is started", storedClaim(t, 1, 1, jobs.Open), nil, true, "start "},
		{"nothing starts without the store", storedClaim(t, 1, 1, jobs.Open), nil, false, ""},
		{"a claim of another incarnation is not started", storedClaim(t, 2, 1, jobs.Open), nil, true, ""},
		{"a cancelled job is not started", storedClaim(t, 1, 1, jobs.Cancelled), nil, true, ""},
		{"a running task of a cancelled job is killed", storedClaim(t, 1, 1, jobs.Cancelled), []wire.TaskStatus{running(1)}, true, "kill "},
		{"a running claim is left alone", storedClaim(t, 1, 1, jobs.Open), []wire.TaskStatus{running(1)}, true, ""},
		{"a task without a claim is killed", nil, []wire.TaskStatus{running(1)}, true, "kill "},
		{"an older attempt is killed first", storedClaim(t, 1, 2, jobs.Open), []wire.TaskStatus{running(1)}, true, "kill start "},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := NewWorker(testMachine)
			w.ApplyHeartbeat(newHeartbeat(1, 1, 5, c.tasks...), 5, t0)
			if got := verbsOf(heartbeatCommands(w, c.claims, c.allowStarts)); got != c.want {
				t.Errorf("commands %q, want %q", got, c.want)
			}
		})
	}
}

func TestReapWaitsForStoredReleaseAndPendingStarts(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.ApplyHeartbeat(newHeartbeat(1, 1, 5, exited(1, wire.ExitCauseError)), 5, t0)
	if verbs := verbsOf(heartbeatCommands(w, claims, true)); verbs != "" {
		t.Fatalf("commands %q while the claim is stored, want none", verbs)
	}
	w.RecordStartsSent([]Attempt{{testTask, 1}}, 5)
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); verbs != "" {
		t.Fatalf("commands %q while a start may still arrive, want none", verbs)
	}
	// Once the worker carries a higher token, it refuses the late start.
	w.RequireAcknowledgement()
	w.ApplyHeartbeat(newHeartbeat(1, 2, 6, exited(1, wire.ExitCauseError)), 6, t0)
	if verbs := verbsOf(heartbeatCommands(w, nil, true)); verbs != "reap " {
		t.Fatalf("commands %q after the release, want a reap", verbs)
	}
}

// Guards against an answer that holds more commands than a message has room for: a task of which an
// older attempt still runs takes two.
func TestCommandsStayWithinTasksPerMachine(t *testing.T) {
	const tasks = tuning.TasksPerMachine/2 + 1
	w := NewWorker(testMachine)
	heartbeat := newHeartbeat(1, 1, 5, wire.TaskStatus{Task: "wk-0/0", Attempt: 1, State: wire.TaskRunning}) // without a claim
	for i := range tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, wire.TaskStatus{Task: jobs.TaskID{Job: testTask.Job, Task: i}.String(), Attempt: 1, State: wire.TaskRunning})
	}
	w.ApplyHeartbeat(heartbeat, 5, t0)
	commands, postponed := w.Commands(storedClaims(t, tasks, 1, 2, jobs.Open), CommandOptions{Channel: HeartbeatAnswer, AllowStarts: true})
	if len(commands) != tuning.TasksPerMachine || !postponed {
		t.Fatalf("%d commands, starts postponed: %v, want %d and some postponed", len(commands), postponed, tuning.TasksPerMachine)
	}
}

// Guards against stopping further tasks to free the same capacity: stopped tasks no longer counted as
// leaving once they had exited, although their claims were not released yet.
func TestExitedTaskIsLeavingUntilReleaseIsStored(t *testing.T) {
	claims := storedClaim(t, 1, 1, jobs.Open)
	w := NewWorker(testMachine)
	w.StopRequested[testTask] = true
	w.ApplyHeartbeat(newHeartbeat(1, 1, 5, exited(1, wire.ExitCauseStopped)), 5, t0)
	w.PruneStopRequests(claims)
	if !w.IsTaskLeaving(testTask) {
		t.Fatal("the exited task no longer counts as leaving")
	}
	w.PruneStopRequests(nil)
	if w.StopRequested[testTask] {
		t.Fatal("the stop request is kept after the claim was released")
	}
}
