package config

import (
	"strings"
	"testing"
)

func TestEffectiveStoreLimitsAreTheSmallerOfPresentAndNext(t *testing.T) {
	for _, c := range []struct {
		name, next string
		want       StoreLimits
	}{
		{"next is empty", "", StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 12}},
		{"one is smaller", "write_rps = 18.0", StoreLimits{RPS: 100, WriteRPS: 18, ValueKB: 4, TxnOps: 12}},
		{"the others are smaller", "value_kb = 2.0\ntxn_ops = 4\nrps = 50.0", StoreLimits{RPS: 50, WriteRPS: 20, ValueKB: 2, TxnOps: 4}},
		{"larger and unknown", "value_kb = 16.0\ntxn_ops = 40\nunknown = 3.0", StoreLimits{RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 12}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := parse(t, settingsWithNext(t, c.next)).EffectiveStoreLimits(); got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
	t.Run("no next", func(t *testing.T) {
		if s := parse(t, []byte(validSettings)); s.EffectiveStoreLimits() != s.Params.State.StoreLimits {
			t.Errorf("got %+v", s.EffectiveStoreLimits())
		}
	})
}

// Limits that take effect later are checked at startup, so that a limit too small for the stored
// records is rejected before it applies.
func TestParseNamesTheInvalidNextLimit(t *testing.T) {
	for _, c := range []struct{ name, next, field string }{
		{"too few operations", "txn_ops = 3", "params.state.next.txn_ops"},
		{"part of an operation", "txn_ops = 2.5", "params.state.next.txn_ops"},
		{"too few writes", "write_rps = 0.5", "params.state.next.write_rps"},
		{"negative", "write_rps = -1.0", "params.state.next"},
		{"value too small", "value_kb = 0.5", "params.state.next.value_kb"},
		{"value too small for the chunks that are stored", "value_kb = 1.0", "params.state.next.value_kb"},
		{"text for a number", `value_kb = "2"`, "params.state.next.value_kb"},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse(settingsWithNext(t, c.next)); err == nil || !strings.Contains(err.Error(), c.field) {
				t.Errorf("got %v, want %s", err, c.field)
			}
		})
	}
}
