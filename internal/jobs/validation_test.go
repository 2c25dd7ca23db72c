package jobs

import (
	"errors"
	"strings"
	"testing"

	"wheatspur/wire"
)

// wantValidationError compares an error with the text that the user should get; an empty text means
// that the job is accepted.
func wantValidationError(t *testing.T, err error, want string) {
	t.Helper()
	var validationErr ValidationError
	switch {
	case want == "" && err != nil:
		t.Errorf("got %q, want no error", err)
	case want != "" && !errors.As(err, &validationErr):
		t.Errorf("got %v, want the validation error %q", err, want)
	case want != "" && validationErr.Error() != want:
		t.Errorf("got %q, want %q", validationErr, want)
	}
}

func TestValidateRejectsJobsThatCanNeverRun(t *testing.T) {
	const (
		noMachineType = "no allowed machine type fits a task"
		overLimit     = "more than the team's limit"
	)
	types := []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, Zones: []string{"z"}}}
	otherZone := "elsewhere"
	for _, c := range []struct {
		name      string
		edit      func(*wire.JobSpec)
		knownTeam bool
		want      string
	}{
		{"fits", func(*wire.JobSpec) {}, true, ""},
		{"unknown team", func(*wire.JobSpec) {}, false, "unknown team"},
		{"larger than every machine", func(s *wire.JobSpec) { s.CPUs = 9 }, true, noMachineType},
		{"other machine type", func(s *wire.JobSpec) { s.MachineTypes = []string{"h"} }, true, noMachineType},
		{"other zone", func(s *wire.JobSpec) { s.Zone = &otherZone }, true, noMachineType},
		{"task over the limit", func(s *wire.JobSpec) { s.GPUs = 4 }, true, overLimit},
		{"array with one task within the limit", func(s *wire.JobSpec) { s.Tasks = 1000 }, true, ""},
		{"service over the limit", func(s *wire.JobSpec) { s.Kind, s.Tasks = wire.KindService, 4 }, true, overLimit},
		{"gang larger than a write", func(s *wire.JobSpec) { s.Kind, s.Tasks, s.GPUs = wire.KindGang, 99, 0 }, true,
			"more tasks at once than one write can claim"},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := &wire.JobSpec{Kind: wire.KindArray, Tasks: 2, CPUs: 1, GPUs: 1, RAMGB: 1}
			c.edit(spec)
			wantValidationError(t, Validate(spec, TeamLimits{GPUsMax: 3}, c.knownTeam, types, 64), c.want)
		})
	}
}

func TestValidateDependenciesRejectsThoseNeverDone(t *testing.T) {
	accepted := func(jobID string) (known, service bool) { return jobID != "wk-404", jobID == "wk-9" }
	for _, c := range []struct{ name, dependency, want string }{
		{"accepted job", "wk-2", ""},
		{"unknown job", "wk-404", "awaits names a job that was never accepted: wk-404"},
		{"service", "wk-9", "awaits names a service, which never ends: wk-9"},
		{"itself", "wk-1", "a job can't await itself"},
		{"no job id", "job-2", "awaits names no job: job-2"},
		{"empty", "", "awaits names no job: "},
		{"long text", strings.Repeat("x", 99), "awaits names no job: " + strings.Repeat("x", 40)},
	} {
		t.Run(c.name, func(t *testing.T) {
			spec := &wire.JobSpec{ID: "wk-1", DependsOn: []string{c.dependency}}
			wantValidationError(t, ValidateDependencies(spec, accepted), c.want)
		})
	}
}
