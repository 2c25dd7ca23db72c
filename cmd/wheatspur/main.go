// Command wheatspur runs one controller of the cluster scheduler.
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
	"wheatspur/internal/tuning"
)

// Exit codes.
const (
	exitFailed = 1 // wrong settings, or the program failed
	exitForced = 3 // stopped by a signal before all that was under way had ended
)

func main() {
	err := command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "wheatspur:", err)
	if errors.Is(err, daemon.ErrForced) {
		os.Exit(exitForced)
	}
	os.Exit(exitFailed)
}

func command() *cobra.Command {
	var settings, props string
	var check bool
	cmd := &cobra.Command{
		Use:   "wheatspur --config FILE",
		Short: "A cluster scheduler with Narwhal role control",
		Long: "wheatspur runs one controller node: it takes jobs from users, rents machines,\n" +
			"and decides what runs where. Its state lives in the state service alone.\n\n" +
			"Keys of the operators' properties file:\n" + config.OperatorHelp(),
		Version:       tuning.Version,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settings == "" {
				return fmt.Errorf("--config is missing (see --help)")
			}
			set, err := config.Load(settings, props)
			if err != nil {
				return err
			}
			if check {
				fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
				return nil
			}
			return run(set, props)
		},
	}
	cmd.Flags().StringVar(&settings, "config", "", "the platform's settings `file` (TOML)")
	cmd.Flags().StringVar(&props, "properties", os.Getenv("WHEATSPUR_PROPERTIES"), "the operators' own settings `file` (Java-style properties)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

// process is a controller as the daemon runs it.
type process struct {
	*controller.Controller
	set   *config.Settings
	props string         // the operators' properties file
	level *slog.LevelVar // of the log
}

// Reload takes over what a running process can of a changed properties file.
func (c *process) Reload() error {
	next, err := config.LoadOperator(c.props)
	if err != nil {
		return err
	}
	if next, err = c.set.Operator.Reloaded(next); err != nil {
		return err
	}
	level, err := logLevel(next.LogLevel)
	if err != nil {
		return err
	}
	c.set.Operator.LogLevel = next.LogLevel
	c.level.Set(level)
	return nil
}

func run(set *config.Settings, props string) error {
	var level slog.LevelVar
	first, err := logLevel(set.Operator.LogLevel)
	if err != nil {
		return err
	}
	level.Set(first)
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: &level})).With("node", set.Label)
	// One thread runs at a time on the machines this is for; more would only
	// add switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Params.Limits.MemMB * tuning.MemoryShare * (1 << 20)))
	// With that limit, garbage may pile up to several times the live memory
	// before it is collected: processor time is scarcer than memory here.
	debug.SetGCPercent(tuning.GCPercent)
	node := &process{controller.New(set, log), set, props, &level}
	return daemon.Run(node, daemon.Options{DrainLimit: tuning.ShutdownLimit, Log: log, Manager: daemon.HostManager{Log: log}})
}

// logLevel is the level of the log; LOG_LEVEL wins over the properties file.
func logLevel(name string) (slog.Level, error) {
	if variable := os.Getenv("LOG_LEVEL"); variable != "" {
		name = variable
	}
	level := slog.LevelInfo
	if name == "" {
		return level, nil
	}
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("LOG_LEVEL: %q is none of error, warn, info, debug", name)
	}
	return level, nil
}
