package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestParseOperatorSettingsReadsProperties(t *testing.T) {
	o, err := ParseOperatorSettings([]byte("# comment\nroles.shrink = 0.4\nroles.cooldown: 20s\nroles.advisory=true\nlog.level=debug\n"))
	if err != nil || o.RoleShrink != 0.4 || o.RoleCooldown != 20*time.Second || !o.RoleAdvisory || o.LogLevel != "debug" {
		t.Fatalf("%+v %v", o, err)
	}
}

// The whole texts are compared because operators read them.
func TestParseOperatorSettingsNamesTheInvalidKey(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "no.such.key=1", "no.such.key: unknown key"},
		{"number out of range", "roles.shrink=2", `roles.shrink: "2" is not a number between 0 and 0.99`},
		{"no number", "roles.shrink=0.4x", `roles.shrink: "0.4x" is not a number between 0 and 0.99`},
		{"NaN", "roles.shrink=nan", `roles.shrink: "nan" is not a number between 0 and 0.99`},
		{"no duration", "roles.cooldown=20", `roles.cooldown: "20" is not a duration between 0s and 1h0m0s (such as 20s)`},
		{"no boolean", "roles.advisory=maybe", `roles.advisory: "maybe" is neither true nor false`},
		{"no log level", "log.level=loud", `log.level: "loud" is not one of error, warn, info, debug`},
		{"no whole number", "roles.confirmations=1.5", `roles.confirmations: "1.5" is not a whole number between 1 and 100`},
		{"whole number out of range", "retry.after=0", `retry.after: "0" is not a whole number between 1 and 30`},
		{"maximum below minimum", "roles.evidence.max=5s", "roles.evidence.max: must not be less than roles.evidence.min"},
		{"expand below shrink", "roles.expand=0.4", "roles.shrink: must be below roles.expand"},
		{"first of several invalid keys", "roles.shrink=2\nlog.level=loud", `log.level: "loud" is not one of error, warn, info, debug`},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ParseOperatorSettings([]byte(c.text)); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestOperatorHelpListsEveryProperty(t *testing.T) {
	for key := range propertyByKey {
		if !strings.Contains(OperatorHelp(), key) {
			t.Errorf("%s is not in the help", key)
		}
	}
}

func TestLoadOperatorSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "operator.properties")
	if err := os.WriteFile(path, []byte("log.level=loud\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Run("without a file", func(t *testing.T) {
		if o, err := LoadOperatorSettings(""); err != nil || o != DefaultOperatorSettings() {
			t.Errorf("%+v %v", o, err)
		}
	})
	t.Run("missing file", func(t *testing.T) {
		if _, err := LoadOperatorSettings(path + ".none"); !errors.Is(err, os.ErrNotExist) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("invalid file", func(t *testing.T) {
		if _, err := LoadOperatorSettings(path); err == nil || !strings.HasPrefix(err.Error(), path+": log.level: ") {
			t.Errorf("got %v", err)
		}
	})
}

func TestWithReloadableAppliesTheLogLevelAlone(t *testing.T) {
	running := DefaultOperatorSettings()
	t.Run("log level", func(t *testing.T) {
		next := running
		next.LogLevel = "debug"
		if got, err := running.WithReloadable(next); err != nil || got != next {
			t.Errorf("%+v %v", got, err)
		}
	})
	t.Run("another key", func(t *testing.T) {
		next := running
		next.LogLevel, next.IntakeQueue = "debug", running.IntakeQueue+1
		if got, err := running.WithReloadable(next); !errors.Is(err, ErrRestartRequired) || got != running {
			t.Errorf("%+v %v", got, err)
		}
	})
}
