package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"wheatspur/internal/golden"
)

var update = flag.Bool("update", false, "rewrite the golden texts")

// runMainVariable is the environment variable that makes the test binary run main instead of the tests.
const runMainVariable = "WHEATSPUR_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) != "" {
		main()
		os.Exit(0)
	}
	m.Run()
}

// validSettings is a valid settings file, shortened from examples/node.toml.
const validSettings = `label = "n0"
bind = "127.0.0.1:8080"
peer_listen = "127.0.0.1:8081"
[endpoints]
cloud = "127.0.0.1:8443"
state = "127.0.0.1:2379"
[params.workers]
report_s = 3.0
lease_s = 40.0
cancel_s = 60.0
[params.state]
rps = 100.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 4.0
list_lag_s = 4.0
[params.limits]
mem_mb = 128.0
max_connections = 1000
`

// Records the output and exit code of help, version, the check of settings, and invalid arguments and
// settings. No case starts a controller: each either only checks its settings or fails before.
func TestCommandLineOutput(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{
		"node.toml":       validSettings,
		"wrong.toml":      strings.Replace(validSettings, `label = "n0"`, "", 1),
		"good.properties": "retry.after=17\n",
		"bad.properties":  "retry.after=0\n",
		"loud.properties": "log.level=loud\n",
	} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var b strings.Builder
	for _, c := range []struct {
		name, env string
		args      []string
	}{
		{"help", "", []string{"--help"}},
		{"help in short", "", []string{"-h"}},
		{"version", "", []string{"--version"}},
		{"no arguments", "", nil},
		{"check", "", []string{"--config", "DIR/node.toml", "--check"}},
		{"check with properties", "", []string{"--check", "--properties=DIR/good.properties", "--config=DIR/node.toml"}},
		{"check with properties of the environment", "WHEATSPUR_PROPERTIES=DIR/bad.properties", []string{"--config", "DIR/node.toml", "--check"}},
		{"the argument wins over the environment", "WHEATSPUR_PROPERTIES=DIR/bad.properties", []string{"--config", "DIR/node.toml", "--check", "--properties", "DIR/good.properties"}},
		{"help with properties of the environment", "WHEATSPUR_PROPERTIES=/etc/x.properties", []string{"--help"}},
		{"check without settings", "", []string{"--check"}},
		{"settings absent", "", []string{"--config", "DIR/none.toml"}},
		{"settings wrong", "", []string{"--config", "DIR/wrong.toml", "--check"}},
		{"properties absent", "", []string{"--config", "DIR/node.toml", "--properties", "DIR/none.properties", "--check"}},
		{"properties wrong", "", []string{"--config", "DIR/node.toml", "--properties", "DIR/bad.properties", "--check"}},
		{"a log level of the properties", "", []string{"--config", "DIR/node.toml", "--properties", "DIR/loud.properties"}},
		{"a log level of the environment", "LOG_LEVEL=loud", []string{"--config", "DIR/node.toml"}},
		{"a log level that a check does not read", "LOG_LEVEL=loud", []string{"--config", "DIR/node.toml", "--check"}},
		{"an unknown flag", "", []string{"--colour"}},
		{"a flag without its value", "", []string{"--config"}},
		{"an argument", "", []string{"--config", "DIR/node.toml", "start"}},
	} {
		cmd := exec.Command(os.Args[0])
		for _, a := range c.args {
			cmd.Args = append(cmd.Args, strings.ReplaceAll(a, "DIR", dir))
		}
		cmd.Env = []string{runMainVariable + "=1"}
		if c.env != "" {
			cmd.Env = append(cmd.Env, strings.ReplaceAll(c.env, "DIR", dir))
		}
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		var exit *exec.ExitError
		if err := cmd.Run(); err != nil && !errors.As(err, &exit) {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "## %s\n%s\nexit %d\n", c.name, strings.TrimSpace(c.env+" wheatspur "+strings.Join(c.args, " ")), cmd.ProcessState.ExitCode())
		for _, stream := range []struct {
			name string
			text *bytes.Buffer
		}{{"stdout", &out}, {"stderr", &errs}} {
			if stream.text.Len() > 0 {
				fmt.Fprintf(&b, "--- %s\n%s", stream.name, strings.ReplaceAll(stream.text.String(), dir, "DIR"))
			}
		}
		b.WriteByte('\n')
	}
	golden.CheckText(t, "command-line.golden", b.String(), *update)
}
