package jobs

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
	"wheatspur/wire"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

func goldenSpec() *wire.JobSpec {
	zone, deadline := "zone-1", 901.5
	return &wire.JobSpec{
		ID: "wk-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityUrgent,
		Tasks: 16, CPUs: 8.5, GPUs: 1.5, RAMGB: 64.5, Image: "img-07", ImageGB: 6.25,
		MachineTypes: []string{"g8", "g4"}, Zone: &zone, SameZone: true, SpreadZones: true, Spot: true,
		EstimateS: 240, CheckpointIntervalS: 30, CheckpointWriteS: 4, DeadlineS: &deadline, DependsOn: []string{"wk-000398", "wk-000405"},
	}
}

// Stored records must stay readable to every later version, and to the version that runs alongside
// this one.
func TestGoldenRecords(t *testing.T) {
	record := Record{Phase: Waiting, AcceptedAtMs: 1_700_000_000_001, Tasks: 17, TasksPerChunk: 64, ClaimSerial: 71,
		Spec: goldenSpec(), EndedAtMs: 1_700_000_000_002, CancelledByDependency: "wk-000397"}
	task := Task{State: Claimed, Attempt: 72, Machine: "host-1", Incarnation: 73, Failures: 74}
	golden.Check(t, []golden.Sample{
		golden.CBORSample("job record", record),
		golden.CBORSample("intake record", IntakeRecord{Jobs: map[string]Record{"intake": record}}),
		golden.CBORSample("chunk record", ChunkRecord{Tasks: []Task{task, {State: Completed, Attempt: 75, Machine: "host-2", Incarnation: 76, Failures: 77}}}),
	}, *update)
}

// The stored phases, states and key prefixes must never change.
func TestStoredConstantsKeepTheirValues(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{string(Open), "open"}, {string(Waiting), "waiting"}, {string(Done), "done"}, {string(Cancelled), "cancelled"},
		{JobKey("wk-1"), "w/job/wk-1"}, {ChunkKey("wk-1", 2), "w/task/wk-1/2"}, {TeamKey("vision"), "w/team/vision"},
		{IntakePrefix, "w/intake/"},
	} {
		if c.got != c.want {
			t.Errorf("stored constant %q, want %q", c.got, c.want)
		}
	}
	if Pending != 0 || Claimed != 1 || Completed != 2 {
		t.Errorf("stored states %d, %d, %d; want 0, 1, 2", Pending, Claimed, Completed)
	}
}

// The computed size of a submission decides whether it is accepted and how many submissions share
// an intake record.
func TestMaxIntakeBytes(t *testing.T) {
	if got, want := MaxIntakeBytes(goldenSpec()), 426; got != want {
		t.Errorf("%d bytes, want %d", got, want)
	}
}
