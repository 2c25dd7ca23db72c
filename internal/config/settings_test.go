package config

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

const validSettings = `
label = "n0"
bind = "10.0.0.1:8080"
peer_listen = "10.0.0.1:8081"
new_field = "ignored"
[[siblings]]
label = "n1"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:2"
[params]
count = 2
[[params.teams]]
name = "x"
gpus = 4.0
[params.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 60.0
[params.state]
rps = 100.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 4.0
list_lag_s = 4.0
[params.limits]
cpu_share = 0.2
mem_mb = 128.0
max_connections = 500
`

// settingsWith returns the valid settings with the first occurrence of a line replaced.
func settingsWith(t *testing.T, line, replacement string) []byte {
	t.Helper()
	if !strings.Contains(validSettings, line) {
		t.Fatalf("%s is not among the valid settings", line)
	}
	return []byte(strings.Replace(validSettings, line, replacement, 1))
}

// settingsWithNext returns the valid settings with a state.next section.
func settingsWithNext(t *testing.T, next string) []byte {
	t.Helper()
	return settingsWith(t, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]")
}

func parse(t *testing.T, text []byte) *Settings {
	t.Helper()
	s, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestParseReadsValidSettings(t *testing.T) {
	s := parse(t, []byte(validSettings))
	if s.Siblings[0].Label != "n1" || s.WorkerLease() != 30*time.Second || s.HeartbeatInterval() != 3*time.Second {
		t.Fatalf("%+v", s)
	}
	if team, ok := s.Team("x"); !ok || team.GPUs != 4 {
		t.Errorf("team x: %+v, %v", team, ok)
	}
	if _, ok := s.Team("y"); ok {
		t.Error("Team found a team that is not in the settings")
	}
}

func TestParseNamesTheInvalidField(t *testing.T) {
	for _, c := range []struct{ name, line, replacement, want string }{
		{"no label", `label = "n0"`, ``, "label: must be set"},
		{"address without port", `bind = "10.0.0.1:8080"`, `bind = "nowhere"`, `bind: "nowhere" is not a host:port address`},
		{"no store", `state = "10.2.0.1:2"`, ``, "endpoints.state: must be set"},
		{"label used twice", `label = "n1"`, `label = "n0"`, `siblings[0].label: duplicate label "n0"`},
		{"sibling without label", `label = "n1"`, ``, "siblings[0].label: must be set"},
		{"sibling without endpoint", `endpoint = "10.0.0.2:8081"`, ``, "siblings[0].endpoint: must be set"},
		{"team name", `name = "x"`, `name = "x y"`, `params.teams[0].name: "x y" is not a valid team name (must be non-empty, without spaces or slashes)`},
		{"negative guarantee", `gpus = 4.0`, `gpus = -1.0`, "params.teams[0]: amounts must not be negative"},
		{"lease longer than cancel_s", `cancel_s = 60.0`, `cancel_s = 20.0`, "params.workers.cancel_s: must exceed lease_s"},
		{"no requests", `rps = 100.0`, `rps = 0.0`, "params.state.rps: 0 is not between 1 and 1e+06"},
		{"not a number", `rps = 100.0`, `rps = nan`, "params.state.rps: NaN is not between 1 and 1e+06"},
		{"text for a number", `txn_ops = 12`, `txn_ops = "many"`,
			`line 25 column 11: params.state.txn_ops: toml: cannot decode TOML string into struct field `},
		{"not TOML", `mem_mb = 128.0`, `mem_mb = `, `line 31 column 10: `},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(settingsWith(t, c.line, c.replacement))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestParseKeepsTheDecodersError(t *testing.T) {
	_, err := Parse(settingsWith(t, `txn_ops = 12`, `txn_ops = "many"`))
	if _, ok := errors.AsType[*toml.DecodeError](err); !ok {
		t.Errorf("%v does not wrap the decoder's error", err)
	}
}

// A value size limit too small for a record with an entry for every controller is rejected at startup,
// not at the first write.
func TestParseRejectsValueLimitTooSmallForTheControllers(t *testing.T) {
	text := string(settingsWith(t, "value_kb = 4.0", "value_kb = 1.0"))
	parse(t, []byte(text))
	for i := range 15 {
		sibling := fmt.Sprintf("[[siblings]]\nlabel = \"more-%d\"\nendpoint = \"10.0.1.1:8081\"\n[endpoints]", i)
		text = strings.Replace(text, "[endpoints]", sibling, 1)
	}
	if _, err := Parse([]byte(text)); err == nil || !strings.Contains(err.Error(), "params.state.value_kb") {
		t.Fatal(err)
	}
}

// A lease that a controller renews without reading the key-value store must expire before cancel_s has
// passed: the controller may not know of a cancellation.
func TestLeasesRenewedWithinTheBoundExpireBeforeCancelS(t *testing.T) {
	s := parse(t, []byte(validSettings))
	if bound := s.RenewalBound(); bound <= 0 || bound+s.WorkerLease() >= 60*time.Second {
		t.Fatalf("bound %v", bound)
	}
	s.Params.Workers.CancelS = 31
	if s.RenewalBound() != 0 {
		t.Fatal("bound is not 0")
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	if _, err := Load(missing, ""); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Fatal(err)
	}
}
