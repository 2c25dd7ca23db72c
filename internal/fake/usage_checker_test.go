package fake

import (
	"fmt"
	"testing"

	"wheatspur/internal/jobs"
	"wheatspur/wire"
)

// chunkOperation returns the operation that stores the first chunk of a job, with a number
// of claimed tasks.
func chunkOperation(jobID string, claimed int) []wire.Operation {
	tasks := make([][5]any, claimed)
	for i := range tasks {
		tasks[i] = [5]any{1, 1, "host", 1, 0}
	}
	return []wire.Operation{{Put: jobs.ChunkPrefix + jobID + "/0", Value: wire.MustMarshal(map[string]any{"t": tasks})}}
}

// Guards against a checker that reports no violations: tests that rely on it would then pass
// whatever the controllers do.
func TestUsageCheckerReportsInjectedViolations(t *testing.T) {
	spec := wire.JobSpec{ID: "wk-1", Team: "x", GPUs: 2}
	for _, c := range []struct {
		name   string
		inject func(*UsageChecker)
	}{
		{"claims beyond the limit", func(u *UsageChecker) { u.RecordTransaction(chunkOperation("wk-1", 4)) }},
		{"a task on two machines", func(u *UsageChecker) {
			u.RecordTaskStart("h1", "wk-1/0", "wk-1")
			u.RecordTaskStart("h2", "wk-1/0", "wk-1")
		}},
		{"tasks beyond the limit", func(u *UsageChecker) {
			for i := range 4 {
				u.RecordTaskStart("h1", fmt.Sprintf("wk-1/%d", i), "wk-1")
			}
		}},
		{"a job that was not submitted", func(u *UsageChecker) { u.RecordTransaction(chunkOperation("wk-2", 0)) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			checker := NewUsageChecker(map[string]float64{"x": 7})
			checker.RecordSubmission(spec)
			checker.RecordTransaction(chunkOperation("wk-1", 3))
			checker.RecordTaskStart("h1", "wk-1/7", "wk-1")
			checker.RecordTaskEnd("wk-1/7", "wk-1")
			if seen := checker.Usage(); len(seen.Violations) != 0 || seen.StoredClaims != 3 || seen.PeakClaimed["x"] != 6 {
				t.Errorf("usage before the violation: %+v", seen)
			}
			c.inject(checker)
			if len(checker.Usage().Violations) == 0 {
				t.Error("the violation is not reported")
			}
		})
	}
}
