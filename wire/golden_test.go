package wire_test

import (
	"flag"
	"testing"

	"wheatspur/internal/golden"
	"wheatspur/wire"
)

var update = flag.Bool("update", false, "rewrite the golden bytes")

func text(b string) wire.Raw { return wire.MustMarshal(b) }

func samples() []golden.Sample {
	zone, deadline, notice, grace := "zone-1", 901.5, 31.5, 12.5
	task := wire.TaskReport{Task: "wk-000412/7", Attempt: 41, State: wire.TaskExited, ExitCause: wire.ExitCauseError, Saved: true}
	order := wire.Command{Verb: wire.VerbKill, Task: "wk-000413/8", Attempt: 42, GracePeriodS: &grace}
	machineType := wire.MachineType{Label: "g8", CPUs: 64, GPUs: 8, RAMGB: 512, LocalGB: 900, FetchGBPerS: 0.5,
		Price: 12.25, SpotPrice: 4.75, StartupS: 95, Zones: []string{"zone-a", "zone-b"}}
	host := wire.Host{Name: "host-3", Address: "10.0.0.3:80", MachineType: "g4", Zone: zone, Spot: true,
		State: wire.HostStarting, AgeS: 77.5}
	pair := wire.Pair{Key: "w/a", Value: text("value a"), Version: 61}
	guard := wire.Guard{Key: "w/b", Version: 62}
	change := wire.Change{Set: "w/c", Value: text("value c"), LeaseID: 63, Drop: "w/d"}
	event := wire.Event{Set: "w/e", Value: text("value e"), Drop: "w/f", Version: 64}
	return []golden.Sample{
		golden.CBOR("job submission", wire.JobSpec{
			ID: "wk-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: wire.PriorityUrgent,
			Tasks: 16, CPUs: 8.5, GPUs: 1.5, RAMGB: 64.5, Image: "img-07", ImageGB: 6.25,
			MachineTypes: []string{"g8", "g4"}, Zone: &zone, SameZone: true, SpreadZones: true, Spot: true,
			EstimateS: 240, CheckpointS: 30, SaveS: 4, DeadlineS: &deadline, DependsOn: []string{"wk-000398", "wk-000405"},
		}),
		golden.CBOR("job status", wire.Status{ID: "wk-000412", State: wire.StateRunning, Done: 3, Running: 13}),
		golden.CBOR("refusal", wire.Failure{Error: "unknown team"}),
		golden.CBOR("task report", task),
		golden.CBOR("worker report", wire.Report{
			Host: "host-1", Address: "10.0.0.1:80", MachineType: "g8", Zone: zone, Spot: true,
			Session: 21, Sequence: 22, Token: 23, NoticeS: &notice, Tasks: []wire.TaskReport{task},
		}),
		golden.CBOR("command", order),
		golden.CBOR("report response", wire.ReportResponse{Token: 24, Commands: []wire.Command{order}}),
		golden.CBOR("command request", wire.CommandRequest{Token: 25, Session: 26, Commands: []wire.Command{order}}),
		golden.CBOR("redirect", wire.Redirect{Node: "node-2"}),
		golden.CBOR("machine type", machineType),
		golden.CBOR("machine types", wire.MachineTypes{Types: []wire.MachineType{machineType}}),
		golden.CBOR("rent request", wire.RentRequest{Name: "rent-9", MachineType: "g2", Zone: zone, Spot: true, Count: 5}),
		golden.CBOR("host names", wire.HostNames{Hosts: []string{"host-1", "host-2"}}),
		golden.CBOR("host", host),
		golden.CBOR("host page", wire.HostPage{Hosts: []wire.Host{host}, Truncated: true}),
		golden.CBOR("pair", pair),
		golden.CBOR("pairs", wire.Pairs{Pairs: []wire.Pair{pair}, Truncated: true, Revision: 65}),
		golden.CBOR("guard", guard),
		golden.CBOR("change", change),
		golden.CBOR("transaction", wire.Transaction{Guards: []wire.Guard{guard}, Changes: []wire.Change{change}}),
		golden.CBOR("transaction result", wire.TransactionResult{Revision: 66, Failed: []string{"w/g"}, Error: "guard failed"}),
		golden.CBOR("lease request", wire.LeaseRequest{TTLMs: 5000}),
		golden.CBOR("lease", wire.Lease{ID: 67}),
		golden.CBOR("event", event),
		golden.CBOR("events", wire.Events{Revision: 68, Events: []wire.Event{event}}),
	}
}

// The protocol's keys and values never change with the names in the program.
func TestGoldenMessages(t *testing.T) { golden.Check(t, samples(), *update) }

// The values of constants are part of the protocol too.
func TestConstants(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{wire.KindArray, "array"}, {wire.KindService, "standing"}, {wire.KindGang, "gang"},
		{wire.PriorityCritical, "critical"}, {wire.PriorityUrgent, "urgent"}, {wire.PriorityNormal, "normal"}, {wire.PriorityLow, "low"},
		{wire.StateQueued, "queued"}, {wire.StateRunning, "running"}, {wire.StateDone, "done"}, {wire.StateCancelled, "cancelled"},
		{wire.TaskPulling, "pulling"}, {wire.TaskRunning, "running"}, {wire.TaskFlushing, "flushing"}, {wire.TaskExited, "exited"},
		{wire.ExitCauseDone, "done"}, {wire.ExitCauseStopped, "stopped"}, {wire.ExitCauseError, "error"},
		{wire.ExitCauseNoRoom, "no_room"}, {wire.ExitCauseInUse, "in_use"}, {wire.ExitCauseUnknown, "unknown"},
		{wire.VerbStart, "start"}, {wire.VerbKill, "kill"}, {wire.VerbReap, "reap"},
		{wire.HostStarting, "starting"}, {wire.HostRunning, "running"}, {wire.HostFailed, "failed"},
		{wire.ContentType, "application/cbor"},
	} {
		if c.got != c.want {
			t.Errorf("constant %q, the protocol says %q", c.got, c.want)
		}
	}
}
