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

// machineTypes has the one machine type of the tests, with 8 GPUs.
var machineTypes = []wire.MachineType{{
	Label: "g", CPUs: 64, GPUs: 8, RAMGB: 64, FetchGBPerS: 10, Price: 1, SpotPrice: 1, StartupS: 30, Zones: []string{zone},
}}

// jobArray returns the specification of a job array whose tasks use one GPU each.
func jobArray(jobID, team string, tasks int, estimateS float64) wire.JobSpec {
	return wire.JobSpec{
		ID: jobID, Class: "c", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: estimateS,
	}
}

// eventually polls a condition until it holds and returns how long that took. The test fails if the
// condition does not hold within the timeout. The clusters run in real processes, which cannot use a
// fake clock.
func eventually(t *testing.T, description string, timeout, interval time.Duration, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			t.Fatalf("%s: condition not met within %v", description, timeout)
		}
		time.Sleep(interval)
	}
	return time.Since(start)
}
