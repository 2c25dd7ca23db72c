package testcluster

import (
	"testing"
	"time"

	"wheatspur/wire"
)

func TestMain(m *testing.M) {
	RunControllerIfRequested()
	m.Run()
}

// machineTypes are the types of the tests' machines: one, with 8 GPUs.
var machineTypes = []wire.MachineType{{
	Label: "g", CPUs: 64, GPUs: 8, RAMGB: 64, FetchGBPerS: 10, Price: 1, SpotPrice: 1, StartupS: 30, Zones: []string{zone},
}}

// jobArray is a job array of tasks with one GPU each.
func jobArray(jobID, team string, tasks int, estimateS float64) wire.JobSpec {
	return wire.JobSpec{
		ID: jobID, Class: "c", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: estimateS,
	}
}

// eventually waits until a condition holds and returns how long that took; the
// test fails if it does not hold within a limit. The clusters run in real
// processes, so that no fake clock serves.
func eventually(t *testing.T, what string, within, interval time.Duration, holds func() bool) time.Duration {
	t.Helper()
	begun := time.Now()
	for !holds() {
		if time.Since(begun) > within {
			t.Fatalf("%s: not within %v", what, within)
		}
		time.Sleep(interval)
	}
	return time.Since(begun)
}
