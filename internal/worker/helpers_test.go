package worker

import (
	"testing"
	"time"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

const lease = 40 * time.Second

var t0 = time.Unix(1000, 0)

// testMachine is the machine of all claims and heartbeats in these tests.
const testMachine = "m1"

// testTask is the task that storedClaim claims.
var testTask = jobs.TaskID{Job: "wk-1", Task: 0}

// storedClaim returns the claims on testMachine: one of testTask for the given incarnation.
func storedClaim(t *testing.T, incarnation, attempt uint64, phase jobs.Phase) map[jobs.TaskID]*jobs.Job {
	t.Helper()
	return storedClaims(t, 1, incarnation, attempt, phase)
}

// storedClaims returns the claims on testMachine: those of count tasks of testTask's job.
func storedClaims(t *testing.T, count int, incarnation, attempt uint64, phase jobs.Phase) map[jobs.TaskID]*jobs.Job {
	t.Helper()
	table := jobs.NewTable(func() time.Time { return t0 })
	spec := wire.JobSpec{ID: testTask.Job, Team: "x", Kind: wire.KindArray, Tasks: count, CPUs: 1}
	record := jobs.Record{Phase: phase, Tasks: count, TasksPerChunk: max(count, 8), Spec: &spec}
	if err := table.ApplyJob(testTask.Job, wire.MustMarshal(record)); err != nil {
		t.Fatal(err)
	}
	var chunk jobs.ChunkRecord
	for range count {
		chunk.Tasks = append(chunk.Tasks, jobs.Task{State: jobs.Claimed, Attempt: attempt, Machine: testMachine, Incarnation: incarnation})
	}
	if err := table.ApplyChunk(jobs.ChunkKey(testTask.Job, 0), wire.MustMarshal(chunk)); err != nil {
		t.Fatal(err)
	}
	return table.ClaimsByMachine[testMachine]
}

func newHeartbeat(incarnation, sequence, token uint64, tasks ...wire.TaskStatus) *wire.Heartbeat {
	return &wire.Heartbeat{
		Machine:      testMachine,
		Address:      "x:1",
		Incarnation:  incarnation,
		Sequence:     sequence,
		FencingToken: token,
		Tasks:        tasks,
	}
}

// running returns the status of testTask while it runs.
func running(attempt uint64) wire.TaskStatus {
	return wire.TaskStatus{Task: testTask.String(), Attempt: attempt, State: wire.TaskRunning}
}

// exited returns the status of testTask after it has exited.
func exited(attempt uint64, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: testTask.String(), Attempt: attempt, State: wire.TaskExited, ExitCause: cause}
}

// heartbeatCommands returns the commands that are sent in the answer to a heartbeat.
func heartbeatCommands(w *Worker, claims map[jobs.TaskID]*jobs.Job, allowStarts bool) []wire.Command {
	commands, _ := w.Commands(claims, CommandOptions{Channel: HeartbeatAnswer, AllowStarts: allowStarts})
	return commands
}

// verbsOf returns the verbs of commands, each followed by a space.
func verbsOf(commands []wire.Command) string {
	verbs := ""
	for _, command := range commands {
		verbs += command.Verb + " "
	}
	return verbs
}
