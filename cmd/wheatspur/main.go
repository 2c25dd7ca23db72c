// Command wheatspur runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"wheatspur/internal/config"
	"wheatspur/internal/server"
	"wheatspur/internal/tuning"
)

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "wheatspur:", err)
		os.Exit(1)
	}
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
			return run(set)
		},
	}
	cmd.Flags().StringVar(&settings, "config", "", "the platform's settings `file` (TOML)")
	cmd.Flags().StringVar(&props, "properties", os.Getenv("WHEATSPUR_PROPERTIES"), "the operators' own settings `file` (Java-style properties)")
	cmd.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return cmd
}

func run(set *config.Settings) error {
	log, err := logger(set)
	if err != nil {
		return err
	}
	// One thread runs at a time on the machines this is for; more would only
	// add switches.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(set.Params.Limits.MemMB * tuning.MemoryShare * (1 << 20)))
	// With that limit, garbage may pile up to several times the live memory
	// before it is collected: processor time is scarcer than memory here.
	debug.SetGCPercent(tuning.GCPercent)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := server.New(set, log).Run(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return nil
}

// logger writes to standard error; LOG_LEVEL wins over the properties file.
func logger(set *config.Settings) (*slog.Logger, error) {
	name := os.Getenv("LOG_LEVEL")
	if name == "" {
		name = set.Operator.LogLevel
	}
	level := slog.LevelInfo
	if name != "" {
		if err := level.UnmarshalText([]byte(name)); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %q is none of error, warn, info, debug", name)
		}
	}
	h := slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})
	return slog.New(h).With("node", set.Label), nil
}
