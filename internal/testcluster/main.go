package testcluster

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"wheatspur/internal/config"
	"wheatspur/internal/controller"
	"wheatspur/internal/daemon"
	"wheatspur/internal/logging"
	"wheatspur/internal/tuning"
)

// Environment variables that make a test's program a controller.
const (
	configVariable     = "WHEATSPUR_TEST_CONFIG"
	propertiesVariable = "WHEATSPUR_TEST_PROPERTIES"
)

// RunControllerIfRequested runs a controller if this process was started as one, and does not return
// then. Tests call it from TestMain.
func RunControllerIfRequested() {
	configPath := os.Getenv(configVariable)
	if configPath == "" {
		return
	}
	go exitWithParent()
	if err := runController(configPath, os.Getenv(propertiesVariable)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(0)
}

// exitWithParent exits when standard input ends. The parent holds its other end:
// if the parent dies without stopping this process, nobody else would.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin) // an error is an end too
	os.Exit(0)
}

// runController runs a controller until a signal stops it.
func runController(configPath, propertiesPath string) error {
	settings, err := config.Load(configPath, propertiesPath)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With(logging.KeyController, settings.Label)
	service := process{controller.New(settings, log)}
	return daemon.Run(service, daemon.Options{DrainLimit: tuning.ShutdownLimit, Log: log, Manager: daemon.SystemdManager{Log: log}})
}

// process adds a reload to a controller, so that it is a daemon.Service.
type process struct{ *controller.Controller }

// Reload does nothing: a test's settings do not change.
func (process) Reload() error { return nil }
