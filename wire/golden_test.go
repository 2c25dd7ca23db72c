package wire_test

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
	"wheatspur/wire"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func rawText(text string) wire.Raw { return wire.MustMarshal(text) }

func samples() []golden.Sample {
	zone, deadline, notice, grace := "zone-1", 901.5, 31.5, 12.5
	task := wire.TaskStatus{Task: "wk-000412/7", Attempt: 41, State: wire.TaskExited, ExitCause: wire.ExitCauseError, Checkpointed: true}
	command := wire.Command{Verb: wire.VerbKill, Task: "wk-000413/8", Attempt: 42, GracePeriodS: &grace}
	machineType := wire.MachineType{Label: "g8", CPUs: 64, GPUs: 8, RAMGB: 512, LocalGB: 900, FetchGBPerS: 0.5,
		Price: 12.25, SpotPrice: 4.75, StartupS: 95, Zones: []string{"zone-a", "zone-b"}}
	machine := wire.Machine{Name: "host-3", Address: "10.0.0.3:80", MachineType: "g4", Zone: zone, Spot: true,
		State: wire.MachineStarting, AgeS: 77.5}
	keyValue := wire.KeyValue{Key: "w/a", Value: rawText("value a"), Version: 61}
	compare := wire.Compare{Key: "w/b", Version: 62}
	operation := wire.Operation{Put: "w/c", Value: rawText("value c"), LeaseID: 63, Delete: "w/d"}
	event := wire.WatchEvent{Put: "w/e", Value: rawText("value e"), Delete: "w/f", Version: 64}
	return []golden.Sample{
		golden.CBORSample("job submission", wire.JobSpec{
			ID: "wk-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityUrgent,
			Tasks: 16, CPUs: 8.5, GPUs: 1.5, RAMGB: 64.5, Image: "img-07", ImageGB: 6.25,
			MachineTypes: []string{"g8", "g4"}, Zone: &zone, SameZone: true, SpreadZones: true, Spot: true,
			EstimateS: 240, CheckpointIntervalS: 30, CheckpointWriteS: 4, DeadlineS: &deadline, DependsOn: []string{"wk-000398", "wk-000405"},
		}),
		golden.CBORSample("job status", wire.JobStatus{ID: "wk-000412", State: wire.StateRunning, Done: 3, Running: 13}),
		golden.CBORSample("refusal", wire.ErrorResponse{Error: "unknown team"}),
		golden.CBORSample("task report", task),
		golden.CBORSample("worker report", wire.Heartbeat{
			Machine: "host-1", Address: "10.0.0.1:80", MachineType: "g8", Zone: zone, Spot: true,
			Incarnation: 21, Sequence: 22, FencingToken: 23, TerminationNoticeS: &notice, Tasks: []wire.TaskStatus{task},
		}),
		golden.CBORSample("command", command),
		golden.CBORSample("report response", wire.HeartbeatResponse{FencingToken: 24, Commands: []wire.Command{command}}),
		golden.CBORSample("command request", wire.CommandRequest{FencingToken: 25, Incarnation: 26, Commands: []wire.Command{command}}),
		golden.CBORSample("redirect", wire.Redirect{Controller: "node-2"}),
		golden.CBORSample("machine type", machineType),
		golden.CBORSample("machine types", wire.MachineTypes{Types: []wire.MachineType{machineType}}),
		golden.CBORSample("rent request", wire.ScaleOutRequest{Name: "rent-9", MachineType: "g2", Zone: zone, Spot: true, Count: 5}),
		golden.CBORSample("host names", wire.MachineNames{Machines: []string{"host-1", "host-2"}}),
		golden.CBORSample("host", machine),
		golden.CBORSample("host page", wire.MachinePage{Machines: []wire.Machine{machine}, Truncated: true}),
		golden.CBORSample("pair", keyValue),
		golden.CBORSample("pairs", wire.ListResponse{KeyValues: []wire.KeyValue{keyValue}, Truncated: true, Revision: 65}),
		golden.CBORSample("guard", compare),
		golden.CBORSample("change", operation),
		golden.CBORSample("transaction", wire.Transaction{Compares: []wire.Compare{compare}, Operations: []wire.Operation{operation}}),
		golden.CBORSample("transaction result", wire.TransactionResult{Revision: 66, FailedCompares: []string{"w/g"}, Error: "guard failed"}),
		golden.CBORSample("lease request", wire.LeaseRequest{TTLMs: 5000}),
		golden.CBORSample("lease", wire.LeaseResponse{ID: 67}),
		golden.CBORSample("event", event),
		golden.CBORSample("events", wire.WatchResponse{Revision: 68, Events: []wire.WatchEvent{event}}),
	}
}

// A renamed Go type, field or constant must not change the encoded messages. The sample names are
// keys in the golden file and must not change either.
func TestGoldenMessages(t *testing.T) { golden.Check(t, samples(), *update) }

// The values of the constants are part of the protocol and must not change with the Go names.
func TestConstantsHaveProtocolValues(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{wire.KindArray, "array"}, {wire.KindService, "standing"}, {wire.KindGang, "gang"},
		{wire.PriorityCritical, "critical"}, {wire.PriorityUrgent, "urgent"}, {wire.PriorityNormal, "normal"}, {wire.PriorityLow, "low"},
		{wire.StateQueued, "queued"}, {wire.StateRunning, "running"}, {wire.StateDone, "done"}, {wire.StateCancelled, "cancelled"},
		{wire.TaskPulling, "pulling"}, {wire.TaskRunning, "running"}, {wire.TaskCheckpointing, "flushing"}, {wire.TaskExited, "exited"},
		{wire.ExitCauseDone, "done"}, {wire.ExitCauseStopped, "stopped"}, {wire.ExitCauseError, "error"},
		{wire.ExitCauseNoRoom, "no_room"}, {wire.ExitCauseInUse, "in_use"}, {wire.ExitCauseUnknown, "unknown"},
		{wire.VerbStart, "start"}, {wire.VerbKill, "kill"}, {wire.VerbReap, "reap"},
		{wire.MachineStarting, "starting"}, {wire.MachineRunning, "running"}, {wire.MachineFailed, "failed"},
		{wire.ContentType, "application/cbor"},
	} {
		if c.got != c.want {
			t.Errorf("constant has value %q, want %q", c.got, c.want)
		}
	}
}
