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

// settingsLine is one key of a settings file, with its section and its value in TOML.
type settingsLine struct{ section, key, value string }

// completeSettings is a settings file with every key set, each to a different value.
var completeSettings = []settingsLine{
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

// name returns the key qualified by its section.
func (l settingsLine) name() string {
	section := strings.Trim(l.section, "[]")
	if section == "" {
		return l.key
	}
	return section + "." + l.key
}

// settingsText returns the text of a settings file.
func settingsText(lines []settingsLine) string {
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

// settingsTextWith returns the complete settings file with the value of one key replaced.
func settingsTextWith(name, value string) string {
	lines := slices.Clone(completeSettings)
	i := slices.IndexFunc(lines, func(l settingsLine) bool { return l.name() == name })
	lines[i].value = value
	return settingsText(lines)
}

// settingsTextWithout returns the complete settings file without one key.
func settingsTextWithout(name string) string {
	return settingsText(slices.DeleteFunc(slices.Clone(completeSettings), func(l settingsLine) bool { return l.name() == name }))
}

// goFieldName matches the Go type and field names in the decoder's error for a value of a wrong type.
// The golden texts leave them out: the key, which precedes them, identifies the field to operators.
var goFieldName = regexp.MustCompile(`into struct field .* of type`)

// parseOutcome returns the error of parsing a settings file, or "accepted".
func parseOutcome(text string) string {
	if _, err := Parse([]byte(text)); err != nil {
		return goFieldName.ReplaceAllString(err.Error(), "into struct field (Go name) of type")
	}
	return "accepted"
}

// valuesOfOtherTypes returns TOML values whose types differ from that of the given value.
func valuesOfOtherTypes(value string) []string {
	switch value[0] {
	case '"':
		return []string{`7`, `true`, `["x"]`}
	case '[':
		return []string{`"x"`, `7`, `[7]`}
	default:
		return []string{`"7"`, `true`, `[7]`, `2.5`, `1e400`, `nan`}
	}
}

// Records for every key of the settings file that it is read, whether it may be missing, and the error
// for a value of a wrong type or out of range.
func TestSettingsKeys(t *testing.T) {
	var b strings.Builder
	s, err := Parse([]byte(settingsText(completeSettings)))
	if err != nil {
		t.Fatal(err)
	}
	read, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "## every key as it is read\n%s\n", read)
	fmt.Fprintf(&b, "## an empty file\n%s\n\n## a key that is not known\n%s\n\n", parseOutcome(""), parseOutcome("colour = \"green\"\n"+settingsText(completeSettings)))
	fmt.Fprintf(&b, "## a key twice\n%s\n\n", parseOutcome("label = \"n0\"\n"+settingsText(completeSettings)))
	fmt.Fprintf(&b, "## no TOML\n%s\n\n", parseOutcome("{\"label\": \"n0\"}"))
	for _, l := range completeSettings {
		fmt.Fprintf(&b, "## %s\n", l.name())
		fmt.Fprintf(&b, "missing: %s\n", parseOutcome(settingsTextWithout(l.name())))
		for _, value := range valuesOfOtherTypes(l.value) {
			fmt.Fprintf(&b, "%s: %s\n", value, parseOutcome(settingsTextWith(l.name(), value)))
		}
		b.WriteByte('\n')
	}
	golden.CheckText(t, "settings-keys.golden", b.String(), *update)
}

// Records the outcome of values at the ends of the settings' ranges and just outside them.
func TestSettingsRanges(t *testing.T) {
	var b strings.Builder
	checkValues := func(name string, values ...string) {
		fmt.Fprintf(&b, "## %s\n", name)
		for _, value := range values {
			fmt.Fprintf(&b, "%s: %s\n", value, parseOutcome(settingsTextWith(name, value)))
		}
		b.WriteByte('\n')
	}
	for _, name := range []string{"bind", "peer_listen", "endpoints.cloud", "endpoints.state", "siblings.endpoint"} {
		checkValues(name, `""`, `"nowhere"`, `"1:2:3"`, `":8080"`, `"host:"`, `"[::1]:80"`)
	}
	checkValues("label", `""`)
	checkValues("siblings.label", `""`, `"n0"`)
	checkValues("params.teams.name", `""`, `"x y"`, `"x/y"`, `" "`)
	for _, name := range []string{"cpus", "cpus_max", "gpus", "gpus_max"} {
		checkValues("params.teams."+name, `-0.5`, `0.0`, `1e12`)
	}
	for _, r := range []struct{ name, below, minimum, maximum, above string }{
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
		checkValues(r.name, r.below, r.minimum, r.maximum, r.above, `0`, `inf`)
	}
	checkValues("params.workers.lease_s", `60.5`, `61.0`)
	checkValues("params.state.next.value_kb", `0`, `1.9`)

	checkText := func(name, text string) { fmt.Fprintf(&b, "## %s\n%s\n\n", name, parseOutcome(text)) }
	withSectionTwice := func(section string) string {
		return settingsText(completeSettings) + settingsText(slices.DeleteFunc(slices.Clone(completeSettings), func(l settingsLine) bool { return l.section != section }))
	}
	checkText("a sibling twice", withSectionTwice("[[siblings]]"))
	checkText("a team twice", withSectionTwice("[[params.teams]]"))
	checkText("an objective twice", withSectionTwice("[[params.objectives]]"))
	manySiblings := settingsText(completeSettings)
	for i := range 60 {
		manySiblings += fmt.Sprintf("[[siblings]]\nlabel = \"more-%d\"\nendpoint = \"10.0.1.1:8081\"\n", i)
	}
	checkText("more nodes than a value holds", manySiblings)
	checkText("no siblings, no teams, no objectives, no later limits", settingsText(slices.DeleteFunc(slices.Clone(completeSettings), func(l settingsLine) bool {
		return strings.HasPrefix(l.section, "[[") || l.section == "[params.state.next]"
	})))
	golden.CheckText(t, "settings-ranges.golden", b.String(), *update)
}

// propertyCases lists every properties key with the field that it sets, a value other than the default,
// the ends of its range, and values just outside it.
var propertyCases = []struct {
	key                                        string
	field                                      func(OperatorSettings) any
	nonDefault, minimum, maximum, below, above string
}{
	{"fleet.headroom.batch", func(o OperatorSettings) any { return o.BatchHeadroom }, "0.77", "0", "5", "-0.01", "5.01"},
	{"fleet.headroom.service", func(o OperatorSettings) any { return o.ServiceHeadroom }, "0.77", "0", "5", "-0.01", "5.01"},
	{"fleet.idle.ordinary", func(o OperatorSettings) any { return o.OnDemandIdleTimeout }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"fleet.idle.spot", func(o OperatorSettings) any { return o.SpotIdleTimeout }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"intake.queue", func(o OperatorSettings) any { return o.IntakeQueue }, "77", "1", "10000", "0", "10001"},
	{"log.level", func(o OperatorSettings) any { return o.LogLevel }, "debug", "error", "warn", "loud", "INFO"},
	{"polls.queue", func(o OperatorSettings) any { return o.PollQueue }, "77", "1", "100000", "0", "100001"},
	{"quota.reservations", func(o OperatorSettings) any { return o.QuotaReservations }, "true", "false", "true", "0", "True"},
	{"quota.transfers", func(o OperatorSettings) any { return o.QuotaTransfers }, "true", "false", "true", "0", "True"},
	{"recovery.hold", func(o OperatorSettings) any { return o.RecoveryHold }, "true", "false", "true", "0", "True"},
	{"recovery.starts", func(o OperatorSettings) any { return o.RecoveryStarts }, "77", "0", "100000", "-1", "100001"},
	{"retry.after", func(o OperatorSettings) any { return o.RetryAfterSeconds }, "17", "1", "30", "0", "31"},
	{"roles.advisory", func(o OperatorSettings) any { return o.RoleAdvisory }, "true", "false", "true", "0", "True"},
	{"roles.confirmations", func(o OperatorSettings) any { return o.RoleConfirmations }, "77", "1", "100", "0", "101"},
	{"roles.cooldown", func(o OperatorSettings) any { return o.RoleCooldown }, "77s", "0s", "1h", "-1s", "1h1s"},
	{"roles.demand.rise", func(o OperatorSettings) any { return o.RoleDemandRise }, "0.77", "0", "10", "-0.01", "10.01"},
	{"roles.evidence.max", func(o OperatorSettings) any { return o.MaxRoleEvidence }, "777s", "1s", "1h", "999ms", "1h1s"},
	{"roles.evidence.min", func(o OperatorSettings) any { return o.MinRoleEvidence }, "1500ms", "1s", "1h", "999ms", "1h1s"},
	{"roles.expand", func(o OperatorSettings) any { return o.RoleExpand }, "7.7", "0.01", "100", "0", "100.1"},
	{"roles.margin", func(o OperatorSettings) any { return o.RoleMargin }, "0.77", "0", "0.99", "-0.01", "1"},
	{"roles.shrink", func(o OperatorSettings) any { return o.RoleShrink }, "0.07", "0", "0.99", "-0.01", "1"},
	{"roles.start.target", func(o OperatorSettings) any { return o.RoleStartTarget }, "77s", "1s", "1h", "999ms", "1h1s"},
	{"roles.usable", func(o OperatorSettings) any { return o.RoleUsableShare }, "0.77", "0.05", "1", "0.04", "1.01"},
}

// propertiesOutcome returns the error of parsing a properties file, or the values that differ from the
// defaults and whether a reload applies them.
func propertiesOutcome(text string) string {
	o, err := ParseOperatorSettings([]byte(text))
	if err != nil {
		return err.Error()
	}
	defaultOperator := DefaultOperatorSettings()
	var changed []string
	got, defaults := reflect.ValueOf(o), reflect.ValueOf(defaultOperator)
	for i := range got.NumField() {
		if v := got.Field(i); !v.Equal(defaults.Field(i)) {
			changed = append(changed, fmt.Sprint(v))
		}
	}
	if len(changed) == 0 {
		return "the defaults"
	}
	reload := "taken over by a reload"
	if _, err := defaultOperator.WithReloadable(o); err != nil {
		reload = err.Error()
	}
	return fmt.Sprintf("%s; %s", strings.Join(changed, ", "), reload)
}

// Records for every properties key the field that it sets and the error for a value of a wrong type or
// out of range.
func TestPropertiesKeys(t *testing.T) {
	var b strings.Builder
	fmt.Fprintf(&b, "## help\n%s\n", OperatorHelp())
	help := strings.Split(strings.TrimSpace(OperatorHelp()), "\n")
	if len(help) != len(propertyCases) {
		t.Errorf("%d keys in the help, %d in this test", len(help), len(propertyCases))
	}
	for _, k := range propertyCases {
		o, err := ParseOperatorSettings([]byte(k.key + "=" + k.nonDefault))
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "## %s\ndefault %v, set to %v\n", k.key, k.field(DefaultOperatorSettings()), k.field(o))
		for _, value := range []string{k.nonDefault, k.minimum, k.maximum, k.below, k.above, "", "x", "1.5x", "1.5", "7", "NaN", " " + k.nonDefault + "  "} {
			fmt.Fprintf(&b, "%q: %s\n", value, propertiesOutcome(k.key+"="+value))
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
		fmt.Fprintf(&b, "## %s\n%s\n\n", c.name, propertiesOutcome(c.text))
	}
	golden.CheckText(t, "properties-keys.golden", b.String(), *update)
}

// Errors of Load name the file that cannot be read or is invalid.
func TestLoadNamesTheInvalidFile(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good.toml", settingsText(completeSettings)), write("bad.toml", settingsTextWith("label", `""`))
	goodProps, badProps := write("good.properties", "retry.after=17\n"), write("bad.properties", "retry.after=0\n")
	absent := filepath.Join(dir, "none")
	var b strings.Builder
	for _, c := range []struct{ name, settings, props string }{
		{"both", good, goodProps}, {"no properties", good, ""}, {"settings absent", absent, goodProps}, {"settings wrong", bad, goodProps},
		{"properties absent", good, absent}, {"properties wrong", good, badProps}, {"a directory", dir, ""}, {"both wrong", bad, badProps},
	} {
		s, err := Load(c.settings, c.props)
		result := fmt.Sprint(err)
		if err == nil {
			result = fmt.Sprintf("retry.after %d", s.Operator.RetryAfterSeconds)
		} else if errors.Is(err, os.ErrNotExist) {
			result += " (file absent)"
		}
		fmt.Fprintf(&b, "## %s\n%s\n\n", c.name, strings.ReplaceAll(result, dir, "DIR"))
	}
	golden.CheckText(t, "files.golden", b.String(), *update)
}

// Records the values derived from the settings: the smaller limits, the worker timings and how long a
// controller renews leases without reading the key-value store.
func TestDerivedSettings(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct{ name, text string }{
		{"complete", settingsText(completeSettings)},
		{"no later limits", settingsText(slices.DeleteFunc(slices.Clone(completeSettings), func(l settingsLine) bool { return l.section == "[params.state.next]" }))},
		{"larger later limits", strings.NewReplacer("rps = 90.5", "rps = 900.0", "write_rps = 18.5", "write_rps = 180.0", "txn_ops = 6", "txn_ops = 60").Replace(settingsText(completeSettings))},
		{"a lease just below the limit of a cancellation", settingsTextWith("params.workers.lease_s", "60.0")},
	} {
		s, err := Parse([]byte(c.text))
		if err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		limits, err := toml.Marshal(s.EffectiveStoreLimits())
		if err != nil {
			t.Fatal(err)
		}
		team, known := s.Team("x")
		_, other := s.Team("q")
		fmt.Fprintf(&b, "## %s\n%slease %v report %v answer bound %v\nteam %s %v, another %v\n\n", c.name, limits, s.WorkerLease(), s.HeartbeatInterval(),
			s.RenewalBound().Round(time.Millisecond), team.Name, known, other)
	}
	golden.CheckText(t, "settings-derived.golden", b.String(), *update)
}
