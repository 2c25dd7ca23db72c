package jobs

import (
	"errors"
	"testing"

	"wheatspur/wire"
)

func TestWhatCanNeverRunIsRefused(t *testing.T) {
	types := []wire.MachineType{{Label: "g", CPUs: 8, GPUs: 4, RAMGB: 64, Zones: []string{"z"}}}
	zone := "elsewhere"
	for name, c := range map[string]struct {
		edit  func(*wire.JobSpec)
		known bool
		ok    bool
	}{
		"fits":            {func(w *wire.JobSpec) {}, true, true},
		"unknown team":    {func(w *wire.JobSpec) {}, false, false},
		"too large":       {func(w *wire.JobSpec) { w.CPUs = 9 }, true, false},
		"other type":      {func(w *wire.JobSpec) { w.MachineTypes = []string{"h"} }, true, false},
		"other zone":      {func(w *wire.JobSpec) { w.Zone = &zone }, true, false},
		"task over limit": {func(w *wire.JobSpec) { w.GPUs = 4 }, true, false},
		"array at limit":  {func(w *wire.JobSpec) { w.Tasks = 1000 }, true, true},
		"service over":    {func(w *wire.JobSpec) { w.Kind, w.Tasks = wire.KindService, 4 }, true, false},
		"gang too large":  {func(w *wire.JobSpec) { w.Kind, w.Tasks, w.GPUs = wire.KindGang, 99, 0 }, true, false},
	} {
		w := &wire.JobSpec{Kind: wire.KindArray, Tasks: 2, CPUs: 1, GPUs: 1, RAMGB: 1}
		c.edit(w)
		err := Validate(w, TeamLimits{GPUsMax: 3}, c.known, types, 64)
		var r ValidationError
		if (err == nil) != c.ok || err != nil && !errors.As(err, &r) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
