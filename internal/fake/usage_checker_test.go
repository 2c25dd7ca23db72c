package fake

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// chunkOperation stores the first chunk of a job with claimed tasks.
func chunkOperation(jobID string, claimed int) []wire.Operation {
	tasks := make([][5]any, claimed)
	for i := range tasks {
		tasks[i] = [5]any{1, 1, "host", 1, 0}
	}
	return []wire.Operation{{Put: jobs.ChunkPrefix + jobID + "/0", Value: wire.MustMarshal(map[string]any{"t": tasks})}}
}

// The checker must see what it is there for.
func TestUsageCheckerReportsPlantedViolations(t *testing.T) {
	spec := wire.JobSpec{ID: "wk-1", Team: "x", GPUs: 2}
	for _, c := range []struct {
		name  string
		plant func(*UsageChecker)
	}{
		{"claims beyond the limit", func(u *UsageChecker) { u.Applied(chunkOperation("wk-1", 4)) }},
		{"a task on two machines", func(u *UsageChecker) {
			u.TaskStarted("h1", "wk-1/0", "wk-1")
			u.TaskStarted("h2", "wk-1/0", "wk-1")
		}},
		{"tasks beyond the limit", func(u *UsageChecker) {
			for i := range 4 {
				u.TaskStarted("h1", fmt.Sprintf("wk-1/%d", i), "wk-1")
			}
		}},
		{"a job that nobody submitted", func(u *UsageChecker) { u.Applied(chunkOperation("wk-2", 0)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := NewUsageChecker(map[string]float64{"x": 7})
			checker.Submitted(spec)
			checker.Applied(chunkOperation("wk-1", 3))
			checker.TaskStarted("h1", "wk-1/7", "wk-1")
			checker.TaskEnded("wk-1/7", "wk-1")
			if seen := checker.Usage(); len(seen.Violations) != 0 || seen.Admitted != 3 || seen.Highest["x"] != 6 {
				t.Errorf("before the violation: %+v", seen)
			}
			c.plant(checker)
			if len(checker.Usage().Violations) == 0 {
				t.Error("the violation is not reported")
			}
		})
	}
}
