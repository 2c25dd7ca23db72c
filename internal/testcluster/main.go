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

// Environment variables that make the test binary run as a controller.
const (
	configVariable     = "WHEATSPUR_TEST_CONFIG"
	propertiesVariable = "WHEATSPUR_TEST_PROPERTIES"
)

// RunControllerIfRequested runs a controller and exits if the environment variables request it, and
// returns otherwise. Tests call it from TestMain.
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

// exitWithParent exits when standard input ends. The parent process holds the other end of it, so the
// controller also exits if the parent dies without stopping it.
func exitWithParent() {
	_, _ = io.Copy(io.Discard, os.Stdin) // an error means that the input ended, too
	os.Exit(0)
}

// runController runs a controller until a signal stops it.
func runController(configPath, propertiesPath string) error {
	settings, err := config.Load(configPath, propertiesPath)
	if err != nil {
		return err
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With(logging.KeyController, settings.Label)
	service := controllerService{controller.New(settings, log)}
	return daemon.Run(service, daemon.Options{DrainTimeout: tuning.ShutdownTimeout, Log: log, Manager: daemon.SystemdManager{Log: log}})
}

// controllerService adds Reload to a controller to implement daemon.Service.
type controllerService struct{ *controller.Controller }

// Reload does nothing, because the settings of a test do not change.
func (controllerService) Reload() error { return nil }
