// Command wheatspur runs one controller of the cluster scheduler. It reads the settings, sets the limits
// of the Go runtime, and runs the controller of package controller as a service of package daemon.
package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"wheatspur/internal/config"
	"wheatspur/internal/controller"
	"wheatspur/internal/daemon"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
)

// Exit codes.
const (
	exitFailed = 1 // the command line or settings are invalid, or the controller failed
	exitForced = 3 // a signal stopped the controller before its drain was complete
)

// Environment variables.
const (
	propertiesVariable = "WHEATSPUR_PROPERTIES" // default of --properties
	logLevelVariable   = "LOG_LEVEL"            // overrides the properties file
)

// bytesPerMB converts the memory limit in the settings to bytes.
const bytesPerMB = 1 << 20

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wheatspur:", err)
	if errors.Is(err, daemon.ErrForcedStop) {
		os.Exit(exitForced)
	}
	os.Exit(exitFailed)
}

// command returns the command with its flags and the function that runs after they are parsed.
func command() *cobra.Command {
	var settingsPath, propertiesPath string
	var checkOnly bool
	cmd := &cobra.Command{
		Use:   "wheatspur --config FILE",
		Short: "Run one controller of the cluster scheduler",
		Long: "wheatspur runs one controller node: it takes jobs from users, rents machines,\n" +
			"and decides what runs where. Its state lives in the state service alone.\n\n" +
			"Keys of the operators' properties file:\n" + config.OperatorHelp(),
		Version:       tuning.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settingsPath == "" {
				return errors.New("--config is missing (see --help)")
			}
			settings, err := config.Load(settingsPath, propertiesPath)
			if err != nil {
				return err
			}
			if checkOnly {
				// The exit code carries the result, so an error of printing is ignored.
				_, _ = fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			return run(settings, propertiesPath)
		},
	}
	cmd.Flags().StringVar(&settingsPath, "config", "", "the platform's settings `file` (TOML)")
	cmd.Flags().StringVar(&propertiesPath, "properties", os.Getenv(propertiesVariable), "the operators' own settings `file` (Java-style properties)")
	cmd.Flags().BoolVar(&checkOnly, "check", false, "check the settings and exit")
	return cmd
}

// process is a controller that can reload its settings; it implements daemon.Service.
type process struct {
	*controller.Controller
	settings       *config.Settings
	propertiesPath string         // the operators' properties file
	logLevel       *slog.LevelVar // level of the controller's log
}

// Reload applies the changes of the properties file that a running controller supports. If there is any
// other change, it returns an error and applies nothing.
func (p *process) Reload() error {
	changed, err := config.LoadOperatorSettings(p.propertiesPath)
	if err != nil {
		return err
	}
	reloaded, err := p.settings.Operator.WithReloadable(changed)
	if err != nil {
		return err
	}
	level, err := parseLogLevel(reloaded.LogLevel)
	if err != nil {
		return err
	}
	p.settings.Operator.LogLevel = reloaded.LogLevel
	p.logLevel.Set(level)
	return nil
}

// run runs a controller until it ends or a signal stops it. Reload reads the file at propertiesPath.
func run(settings *config.Settings, propertiesPath string) error {
	level, err := parseLogLevel(settings.Operator.LogLevel)
	if err != nil {
		return err
	}
	var logLevel slog.LevelVar
	logLevel.Set(level)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: &logLevel})).With(logging.KeyController, settings.Label)
	limitRuntime(settings.Params.Limits.MemMB)
	p := &process{
		Controller:     controller.New(settings, log),
		settings:       settings,
		propertiesPath: propertiesPath,
		logLevel:       &logLevel,
	}
	return daemon.Run(p, daemon.Options{DrainTimeout: tuning.ShutdownTimeout, Log: log, Manager: daemon.SystemdManager{Log: log}})
}

// limitRuntime limits the Go runtime to the share of a machine that a controller may use.
func limitRuntime(memoryMB float64) {
	// A controller's machine runs one thread at a time, so more threads would only add context switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(memoryMB * tuning.MemoryShare * bytesPerMB))
	// Garbage may grow to several times the live memory before it is collected, because processor time
	// is scarcer here than memory, which the limit above bounds.
	debug.SetGCPercent(tuning.GCPercent)
}

// parseLogLevel returns the log level named by the environment, else the one with the given name, else
// info.
func parseLogLevel(name string) (slog.Level, error) {
	if variable := os.Getenv(logLevelVariable); variable != "" {
		name = variable
	}
	level := slog.LevelInfo
	if name == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(name)); err != nil {
		// The error does not wrap err, which describes slog's levels and not those of the settings.
		return level, fmt.Errorf("LOG_LEVEL: %q is not one of error, warn, info, debug", name)
	}
	return level, nil
}
