package config

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const good = `
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

func TestSettingsAreCheckedAndTheFieldIsNamed(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil || s.Siblings[0].Label != "n1" || s.WorkerLease() != 30*time.Second {
		t.Fatalf("%+v %v", s, err)
	}
	for from, c := range map[string][2]string{
		`label = "n0"`:               {``, "label"},
		`bind = "10.0.0.1:8080"`:     {`bind = "nowhere"`, "bind"},
		`state = "10.2.0.1:2"`:       {``, "endpoints.state"},
		`label = "n1"`:               {`label = "n0"`, "siblings[0].label"},
		`endpoint = "10.0.0.2:8081"`: {``, "siblings[0].endpoint"},
		`name = "x"`:                 {`name = "x y"`, "params.teams[0].name"},
		`gpus = 4.0`:                 {`gpus = -1.0`, "params.teams[0]"},
		`cancel_s = 60.0`:            {`cancel_s = 20.0`, "params.workers.cancel_s"},
		`rps = 100.0`:                {`rps = 0.0`, "params.state.rps"},
		`txn_ops = 12`:               {`txn_ops = "many"`, "txn_ops"},
		`mem_mb = 128.0`:             {`mem_mb = `, "line"},
	} {
		_, err := Parse([]byte(strings.Replace(good, from, c[0], 1)))
		if err == nil || !strings.Contains(err.Error(), c[1]) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s for %s: %v", c[0], from, err)
		}
	}
}

// Limits that come later are checked at the start: what would not fit them is
// found out before they come.
func TestLaterLimitsAreCheckedAndTheFieldIsNamed(t *testing.T) {
	with := func(next string) string {
		return strings.Replace(good, "[params.cloud]", "[params.state.next]\n"+next+"\n[params.cloud]", 1)
	}
	for next, want := range map[string]Limits{
		"":                 {RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 12},
		"write_rps = 18.0": {RPS: 100, WriteRPS: 18, ValueKB: 4, TxnOps: 12},
		"value_kb = 2.0\ntxn_ops = 4\nrps = 50.0":      {RPS: 50, WriteRPS: 20, ValueKB: 2, TxnOps: 4},
		"value_kb = 16.0\ntxn_ops = 40\nunknown = 3.0": {RPS: 100, WriteRPS: 20, ValueKB: 4, TxnOps: 12},
	} {
		if s, err := Parse([]byte(with(next))); err != nil || s.StateLimits() != want {
			t.Errorf("%q: %+v %v", next, s, err)
		}
	}
	if s, err := Parse([]byte(good)); err != nil || s.StateLimits() != s.Params.State.Limits {
		t.Errorf("without later limits: %v", err)
	}
	for next, field := range map[string]string{
		"txn_ops = 3":      "params.state.next.txn_ops",
		"txn_ops = 2.5":    "params.state.next.txn_ops",
		"write_rps = 0.5":  "params.state.next.write_rps",
		"write_rps = -1.0": "params.state.next",
		"value_kb = 0.5":   "params.state.next.value_kb",
		"value_kb = 1.0":   "params.state.next.value_kb", // does not hold the chunks that are stored
		`value_kb = "2"`:   "params.state.next.value_kb",
	} {
		if _, err := Parse([]byte(with(next))); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%q: %v", next, err)
		}
	}
}

// A value that can't hold a record with an entry a node is refused at the
// start, not at the first write.
func TestALimitTooSmallForTheNodesIsRefused(t *testing.T) {
	many := strings.Replace(good, "value_kb = 4.0", "value_kb = 1.0", 1)
	if _, err := Parse([]byte(many)); err != nil {
		t.Fatal(err)
	}
	for i := range 15 {
		many = strings.Replace(many, "[endpoints]", fmt.Sprintf("[[siblings]]\nlabel = \"more-%d\"\nendpoint = \"10.0.1.1:8081\"\n[endpoints]", i), 1)
	}
	if _, err := Parse([]byte(many)); err == nil || !strings.Contains(err.Error(), "params.state.value_kb") {
		t.Fatal(err)
	}
}

// Workers' leases that a node renews without reading the state service must
// end before a cancellation is due.
func TestAnswerBoundLeavesRoomForTheLease(t *testing.T) {
	s, err := Parse([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	if b := s.RenewalBound(); b <= 0 || b+s.WorkerLease() >= 60*time.Second {
		t.Fatalf("bound %v", b)
	}
	s.Params.Workers.CancelS = 31
	if s.RenewalBound() != 0 {
		t.Fatal("a bound below zero")
	}
}

func TestPropertiesAreChecked(t *testing.T) {
	o, err := ParseOperator([]byte("# comment\nroles.shrink = 0.4\nroles.cooldown: 20s\nroles.advisory=true\nlog.level=debug\n"))
	if err != nil || o.RoleShrink != 0.4 || o.RoleCooldown != 20*time.Second || !o.RoleAdvisory || o.LogLevel != "debug" {
		t.Fatalf("%+v %v", o, err)
	}
	for text, key := range map[string]string{
		"no.such.key=1":           "no.such.key",
		"roles.shrink=2":          "roles.shrink",
		"roles.shrink=0.4x":       "roles.shrink",
		"roles.cooldown=20":       "roles.cooldown",
		"roles.advisory=maybe":    "roles.advisory",
		"log.level=loud":          "log.level",
		"roles.confirmations=1.5": "roles.confirmations",
		"roles.evidence.max=5s":   "roles.evidence.max",
		"roles.expand=0.4":        "roles.shrink",
		"retry.after=0":           "retry.after",
	} {
		if _, err := ParseOperator([]byte(text)); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: %v", text, err)
		}
	}
	for name := range propertyByKey {
		if !strings.Contains(OperatorHelp(), name) {
			t.Errorf("%s is not in the help", name)
		}
	}
}

func TestLoadNamesTheFile(t *testing.T) {
	if _, err := Load(t.TempDir()+"/none.toml", ""); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Fatal(err)
	}
}
