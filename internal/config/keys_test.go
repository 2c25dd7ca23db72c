package config

import (
	"errors"
	stdflag "flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"wheatspur/internal/golden"
)

var update = stdflag.Bool("update", false, "rewrite the golden texts")

// line is a key of a settings file in its section, with its value as TOML.
type line struct{ section, key, value string }

// complete is a settings file with every key, each with a value of its own.
var complete = []line{
	{"", "label", `"n0"`},
	{"", "domain", `"zone-a"`},
	{"", "bind", `"10.0.0.1:8080"`},
	{"", "peer_listen", `"10.0.0.1:8081"`},
	{"[[siblings]]", "label", `"n1"`},
	{"[[siblings]]", "domain", `"zone-b"`},
	{"[[siblings]]", "endpoint", `"10.0.0.2:8082"`},
	{"[endpoints]", "cloud", `"10.2.0.2:8083"`},
	{"[endpoints]", "state", `"10.2.0.1:8084"`},
	{"[params]", "count", `2`},
	{"[params]", "zones", `["zone-c", "zone-d"]`},
	{"[params]", "time_bound_ms", `25.5`},
	{"[[params.teams]]", "name", `"x"`},
	{"[[params.teams]]", "cpus", `3.5`},
	{"[[params.teams]]", "cpus_max", `64.5`},
	{"[[params.teams]]", "gpus", `4.5`},
	{"[[params.teams]]", "gpus_max", `16.5`},
	{"[[params.objectives]]", "kind", `"guarantee"`},
	{"[[params.objectives]]", "class", `"c"`},
	{"[[params.objectives]]", "within_s", `5.5`},
	{"[[params.objectives]]", "share", `0.95`},
	{"[params.workers]", "report_s", `3.5`},
	{"[params.workers]", "lease_s", `30.5`},
	{"[params.workers]", "cancel_s", `60.5`},
	{"[params.state]", "rps", `100.5`},
	{"[params.state]", "write_rps", `20.5`},
	{"[params.state]", "value_kb", `4.25`},
	{"[params.state]", "txn_ops", `12`},
	{"[params.state.next]", "rps", `90.5`},
	{"[params.state.next]", "write_rps", `18.5`},
	{"[params.state.next]", "value_kb", `2.25`},
	{"[params.state.next]", "txn_ops", `6`},
	{"[params.cloud]", "rps", `4.75`},
	{"[params.cloud]", "list_lag_s", `1.5`},
	{"[params.limits]", "cpu_share", `0.25`},
	{"[params.limits]", "mem_mb", `128.5`},
	{"[params.limits]", "max_connections", `500`},
}

// name is the key with its section.
func (l line) name() string {
	section := strings.Trim(l.section, "[]")
	if section == "" {
		return l.key
	}
	return section + "." + l.key
}

// file is the text of a settings file.
func file(lines []line) string {
	var b strings.Builder
	section := ""
	for _, l := range lines {
		if l.section != section {
			section = l.section
			fmt.Fprintln(&b, section)
		}
		fmt.Fprintf(&b, "%s = %s\n", l.key, l.value)
	}
	return b.String()
}

// with is the complete file with the value of a key replaced.
func with(name, value string) string {
	lines := slices.Clone(complete)
	i := slices.IndexFunc(lines, func(l line) bool { return l.name() == name })
	lines[i].value = value
	return file(lines)
}

// without is the complete file without a key.
func without(name string) string {
	return file(slices.DeleteFunc(slices.Clone(complete), func(l line) bool { return l.name() == name }))
}

// goName is where the decoder's text of a wrong type names a field by the Go
// types that hold it. The golden texts leave that out: it is no part of what
// operators are told about a key, which stands before it.
var goName = regexp.MustCompile(`into struct field .* of type`)

// outcome says what became of a settings file.
func outcome(text string) string {
	if _, err := Parse([]byte(text)); err != nil {
		return goName.ReplaceAllString(err.Error(), "into struct field (Go name) of type")
	}
	return "accepted"
}

// wrongTypes are values of other types than that of a value.
func wrongTypes(value string) []string {
	switch value[0] {
	case '"':
		return []string{`7`, `true`, `["x"]`}
	case '[':
		return []string{`"x"`, `7`, `[7]`}
	default:
		return []string{`"7"`, `true`, `[7]`, `2.5`, `1e400`, `nan`}
	}
}

// Every key of the settings file: that it is read, whether it may be missing, and
// what is said of values of a wrong type or out of range.
func TestKeysOfTheSettingsFile(t *testing.T) {
	var b strings.Builder
	s, err := Parse([]byte(file(complete)))
	if err != nil {
		t.Fatal(err)
	}
	read, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "## every key as it is read\n%s\n", read)
	fmt.Fprintf(&b, "## an empty file\n%s\n\n## a key that is not known\n%s\n\n", outcome(""), outcome("colour = \"green\"\n"+file(complete)))
	fmt.Fprintf(&b, "## a key twice\n%s\n\n", outcome("label = \"n0\"\n"+file(complete)))
	fmt.Fprintf(&b, "## no TOML\n%s\n\n", outcome("{\"label\": \"n0\"}"))
	for _, l := range complete {
		fmt.Fprintf(&b, "## %s\n", l.name())
		fmt.Fprintf(&b, "missing: %s\n", outcome(without(l.name())))
		for _, value := range wrongTypes(l.value) {
			fmt.Fprintf(&b, "%s: %s\n", value, outcome(with(l.name(), value)))
		}
		b.WriteByte('\n')
	}
	golden.Text(t, "settings-keys.golden", b.String(), *update)
}

// Values beside the ranges of the settings, and those at their ends.
func TestRangesOfTheSettings(t *testing.T) {
	var b strings.Builder
	try := func(name string, values ...string) {
		fmt.Fprintf(&b, "## %s\n", name)
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\n", value, outcome(with(name, value)))
		}
		b.WriteByte('\n')
	}
	for _, name := range []string{"bind", "peer_listen", "endpoints.cloud", "endpoints.state", "siblings.endpoint"} {
		try(name, `""`, `"nowhere"`, `"1:2:3"`, `":8080"`, `"host:"`, `"[::1]:80"`)
	}
	try("label", `""`)
	try("siblings.label", `""`, `"n0"`)
	try("params.teams.name", `""`, `"x y"`, `"x/y"`, `" "`)
	for _, name := range []string{"cpus", "cpus_max", "gpus", "gpus_max"} {
		try("params.teams."+name, `-0.5`, `0.0`, `1e12`)
	}
	for _, r := range []struct{ name, below, least, most, above string }{
		{"params.workers.report_s", `0.09`, `0.1`, `3600.0`, `3600.5`},
		{"params.workers.lease_s", `0.9`, `1.0`, `60.0`, `86400.5`},
		{"params.workers.cancel_s", `0.9`, `30.6`, `86400.0`, `86400.5`},
		{"params.state.rps", `0.9`, `1.0`, `1000000.0`, `1000000.5`},
		{"params.state.write_rps", `0.9`, `1.0`, `1000000.0`, `1000000.5`},
		{"params.state.value_kb", `0.9`, `2.25`, `64.0`, `64.5`},
		{"params.state.txn_ops", `3`, `4`, `10000`, `10001`},
		{"params.state.next.rps", `0.9`, `1.0`, `1000000.0`, `-0.5`},
		{"params.state.next.write_rps", `0.9`, `1.0`, `1000000.0`, `-0.5`},
		{"params.state.next.value_kb", `0.9`, `1.95`, `64.0`, `-0.5`},
		{"params.state.next.txn_ops", `3`, `4`, `10000`, `-1`},
		{"params.cloud.rps", `0.09`, `0.1`, `1000000.0`, `1000000.5`},
		{"params.cloud.list_lag_s", `-0.5`, `0.0`, `3600.0`, `3600.5`},
		{"params.limits.mem_mb", `15.5`, `16.0`, `1e7`, `1.1e7`},
		{"params.limits.max_connections", `31`, `32`, `10000000`, `10000001`},
	} {
		try(r.name, r.below, r.least, r.most, r.above, `0`, `inf`)
	}
	try("params.workers.lease_s", `60.5`, `61.0`)
	try("params.state.next.value_kb", `0`, `1.9`)

	pair := func(name, text string) { fmt.Fprintf(&b, "## %s\n%s\n\n", name, outcome(text)) }
	again := func(section string) string {
		return file(complete) + file(slices.DeleteFunc(slices.Clone(complete), func(l line) bool { return l.section != section }))
	}
	pair("a sibling twice", again("[[siblings]]"))
	pair("a team twice", again("[[params.teams]]"))
	pair("an objective twice", again("[[params.objectives]]"))
	many := file(complete)
	for i := range 60 {
		many += fmt.Sprintf("[[siblings]]\nlabel = \"more-%d\"\nendpoint = \"10.0.1.1:8081\"\n", i)
	}
	pair("more nodes than a value holds", many)
	pair("no siblings, no teams, no objectives, no later limits", file(slices.DeleteFunc(slices.Clone(complete), func(l line) bool {
		return strings.HasPrefix(l.section, "[[") || l.section == "[params.state.next]"
	})))
	golden.Text(t, "settings-ranges.golden", b.String(), *update)
}

// operatorKeys are the operators' keys with the field that each sets, a value that
// is not the default, the ends of the range, and values beside it.
var operatorKeys = []struct {
	key                              string
	field                            func(Operator) any
	other, least, most, below, above string
}{
	{"fleet.headroom.batch", func(o Operator) any { return o.BatchHeadroom }, "0.77", "0", "5", "-0.01", "5.01"},
	{"fleet.headroom.service", func(o Operator) any { return o.ServiceHeadroom }, "0.77", "0", "5", "-0.01", "5.01"},
	{"fleet.idle.ordinary", func(o Operator) any { return o.IdleOnDemand }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"fleet.idle.spot", func(o Operator) any { return o.IdleSpot }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"intake.queue", func(o Operator) any { return o.IntakeQueue }, "77", "1", "10000", "0", "10001"},
	{"log.level", func(o Operator) any { return o.LogLevel }, "debug", "error", "warn", "loud", "INFO"},
	{"polls.queue", func(o Operator) any { return o.PollQueue }, "77", "1", "100000", "0", "100001"},
	{"quota.reservations", func(o Operator) any { return o.QuotaReservations }, "true", "false", "true", "0", "True"},
	{"quota.transfers", func(o Operator) any { return o.QuotaTransfers }, "true", "false", "true", "0", "True"},
	{"recovery.hold", func(o Operator) any { return o.RecoveryHold }, "true", "false", "true", "0", "True"},
	{"recovery.starts", func(o Operator) any { return o.RecoveryStarts }, "77", "0", "100000", "-1", "100001"},
	{"retry.after", func(o Operator) any { return o.RetryAfterSeconds }, "17", "1", "30", "0", "31"},
	{"roles.advisory", func(o Operator) any { return o.RoleAdvisory }, "true", "false", "true", "0", "True"},
	{"roles.confirmations", func(o Operator) any { return o.RoleConfirm }, "77", "1", "100", "0", "101"},
	{"roles.cooldown", func(o Operator) any { return o.RoleCooldown }, "77s", "0s", "1h", "-1s", "1h1s"},
	{"roles.demand.rise", func(o Operator) any { return o.RoleDemandRise }, "0.77", "0", "10", "-0.01", "10.01"},
	{"roles.evidence.max", func(o Operator) any { return o.RoleEvidenceMax }, "777s", "1s", "1h", "999ms", "1h1s"},
	{"roles.evidence.min", func(o Operator) any { return o.RoleEvidenceMin }, "1500ms", "1s", "1h", "999ms", "1h1s"},
	{"roles.expand", func(o Operator) any { return o.RoleExpand }, "7.7", "0.01", "100", "0", "100.1"},
	{"roles.margin", func(o Operator) any { return o.RoleMargin }, "0.77", "0", "0.99", "-0.01", "1"},
	{"roles.shrink", func(o Operator) any { return o.RoleShrink }, "0.07", "0", "0.99", "-0.01", "1"},
	{"roles.start.target", func(o Operator) any { return o.RoleStartTarget }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"roles.usable", func(o Operator) any { return o.RoleUsable }, "0.77", "0.05", "1", "0.04", "1.01"},
}

// setting says what a properties file changes: the values that are not the
// defaults, and whether a running process takes them over.
func setting(text string) string {
	o, err := ParseOperator([]byte(text))
	if err != nil {
		return err.Error()
	}
	def := DefaultOperator()
	var changed []string
	got, before := reflect.ValueOf(o), reflect.ValueOf(def)
	for i := range got.NumField() {
		if v := got.Field(i); !v.Equal(before.Field(i)) {
			changed = append(changed, fmt.Sprint(v))
		}
	}
	if len(changed) == 0 {
		return "the defaults"
	}
	taken := "taken over by a reload"
	if _, err := def.Reloaded(o); err != nil {
		taken = err.Error()
	}
	return fmt.Sprintf("%s; %s", strings.Join(changed, ", "), taken)
}

// Every key of the operators' properties: what it changes, and what is said of
// values of a wrong type or out of range.
func TestKeysOfTheProperties(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "## help\n%s\n", OperatorHelp())
	help := strings.Split(strings.TrimSpace(OperatorHelp()), "\n")
	if len(help) != len(operatorKeys) {
		t.Errorf("%d keys in the help, %d in this test", len(help), len(operatorKeys))
	}
	for _, k := range operatorKeys {
		o, err := ParseOperator([]byte(k.key + "=" + k.other))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "## %s\ndefault %v, set to %v\n", k.key, k.field(DefaultOperator()), k.field(o))
		for _, value := range []string{k.other, k.least, k.most, k.below, k.above, "", "x", "1.5x", "1.5", "7", "NaN", " " + k.other + "  "} {
			fmt.Fprintf(&b, "%q: %s\n", value, setting(k.key+"="+value))
		}
		b.WriteByte('\n')
	}
	for _, c := range []struct{ name, text string }{
		{"an empty file", ""},
		{"comments and other separators", "# one\n! two\nretry.after: 17\nintake.queue 77\n"},
		{"a key that is not known", "no.such.key=1\n"},
		{"a key without a value", "retry.after\n"},
		{"a key twice", "retry.after=5\nretry.after=17\n"},
		{"the first of several wrong keys by name", "roles.usable=9\nfleet.idle.spot=9\n"},
		{"a reference is not expanded", "log.level=${HOME}\n"},
		{"a window that ends before it begins", "roles.evidence.min=50s\nroles.evidence.max=49s\n"},
		{"bounds in the wrong order", "roles.shrink=0.5\nroles.expand=0.5\n"},
		{"several keys", "retry.after=17\nlog.level=warn\n"},
	} {
		fmt.Fprintf(&b, "## %s\n%s\n\n", c.name, setting(c.text))
	}
	golden.Text(t, "properties-keys.golden", b.String(), *update)
}

// Files that can't be read, or hold a fault, are named.
func TestFilesOfTheSettings(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good.toml", file(complete)), write("bad.toml", with("label", `""`))
	props, wrong := write("good.properties", "retry.after=17\n"), write("bad.properties", "retry.after=0\n")
	none := filepath.Join(dir, "none")
	var b strings.Builder
	for _, c := range []struct{ name, settings, props string }{
		{"both", good, props}, {"no properties", good, ""}, {"settings absent", none, props}, {"settings wrong", bad, props},
		{"properties absent", good, none}, {"properties wrong", good, wrong}, {"a directory", dir, ""}, {"both wrong", bad, wrong},
	} {
		s, err := Load(c.settings, c.props)
		said := fmt.Sprint(err)
		if err == nil {
			said = fmt.Sprintf("retry.after %d", s.Operator.RetryAfterSeconds)
		} else if errors.Is(err, os.ErrNotExist) {
			said += " (file absent)"
		}
		fmt.Fprintf(&b, "## %s\n%s\n\n", c.name, strings.ReplaceAll(said, dir, "DIR"))
	}
	golden.Text(t, "files.golden", b.String(), *update)
}

// What follows from the settings: the smaller limits, the times and the bound up
// to which a node renews leases without the state service.
func TestWhatFollowsFromTheSettings(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"complete", file(complete)},
		{"no later limits", file(slices.DeleteFunc(slices.Clone(complete), func(l line) bool { return l.section == "[params.state.next]" }))},
		{"larger later limits", strings.NewReplacer("rps = 90.5", "rps = 900.0", "write_rps = 18.5", "write_rps = 180.0", "txn_ops = 6", "txn_ops = 60").Replace(file(complete))},
		{"a lease just below the limit of a cancellation", with("params.workers.lease_s", "60.0")},
	} {
		s, err := Parse([]byte(c.text))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		limits, err := toml.Marshal(s.StoreLimits())
		if err != nil {
			t.Fatal(err)
		}
		team, known := s.Team("x")
		_, other := s.Team("q")
		fmt.Fprintf(&b, "## %s\n%slease %v report %v answer bound %v\nteam %s %v, another %v\n\n", c.name, limits, s.WorkerLease(), s.HeartbeatInterval(),
			s.RenewalBound().Round(time.Millisecond), team.Name, known, other)
	}
	golden.Text(t, "settings-derived.golden", b.String(), *update)
}
