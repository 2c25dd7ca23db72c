// Package daemon runs a service under the machine's service manager. It handles the process's signals
// and lifecycle: it notifies the manager of readiness, sends watchdog keep-alives while the service
// makes progress, reloads settings on SIGHUP, and drains on SIGTERM or SIGINT. Without a service
// manager it does the same and sends no notifications. What the service does, and which settings it
// can reload, is up to the service.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"

	"wheatspur/internal/logging"
)

// State is the state of a daemon.
type State string

// States of a daemon.
const (
	Starting State = "starting" // the service runs and is not ready yet
	Serving  State = "serving"
	Draining State = "draining" // the service accepts no new work and finishes what is in flight
	Stopped  State = "stopped"
)

// Event changes a daemon's state.
type Event string

// Events of a daemon.
const (
	BecameReady   Event = "became ready"
	StopRequested Event = "stop requested" // by a signal
	Drained       Event = "drained"        // Drain of the service returned; its context ends at the drain timeout
	ServiceEnded  Event = "ended"          // Run of the service returned without a stop request
)

// Next returns the state after an event. It defines all transitions; any other event leaves the state
// unchanged.
func (s State) Next(e Event) State {
	switch {
	case s == Starting && e == BecameReady:
		return Serving
	case (s == Starting || s == Serving) && e == StopRequested:
		return Draining
	case s == Draining && (e == Drained || e == StopRequested):
		return Stopped // a second signal cuts the drain short
	case e == ServiceEnded:
		return Stopped
	}
	return s
}

// Service is what a daemon runs.
type Service interface {
	// Run serves until ctx is done.
	Run(ctx context.Context) error
	// Ready reports whether the service can serve requests.
	Ready() bool
	// CheckProgress returns nil while the service's loops make progress, and otherwise an error
	// that names what has stalled.
	CheckProgress() error
	// Reload applies all changed settings, or none and returns an error.
	Reload() error
	// Drain stops accepting new work and returns when the work in flight has finished or ctx is done.
	Drain(ctx context.Context) error
}

// Manager is the service manager.
type Manager interface {
	// Notify sends a state by the manager's notification protocol.
	Notify(state string)
	// WatchdogInterval returns the time without a keep-alive after which the manager considers the
	// service hung, or 0 without a watchdog.
	WatchdogInterval() time.Duration
}

// Options configure a daemon.
type Options struct {
	DrainTimeout time.Duration // time limit of Drain
	Log          *slog.Logger
	Manager      Manager
	Signals      <-chan os.Signal // nil: signals sent to the process
}

// ErrForcedStop is returned if the daemon stopped before the drain was complete.
var ErrForcedStop = errors.New("stopped before work in flight had finished")

// readyPollInterval is the interval between readiness checks until the service is ready.
const readyPollInterval = 200 * time.Millisecond

// signalBuffer is the capacity of the signal channel. Package os/signal drops signals that do not fit.
const signalBuffer = 4

// statusPrefix starts the line of a notification that carries a human-readable status.
const statusPrefix = "STATUS="

// daemon is a running service. Only the goroutine that called Run uses its fields.
type daemon struct {
	Options
	service Service
	state   State
}

// Run runs the service until it ends or a signal stops it. It returns nil after a complete drain,
// ErrForcedStop if it stopped before the drain was complete, and otherwise the service's error.
func Run(service Service, o Options) error {
	if o.Signals == nil {
		signals := make(chan os.Signal, signalBuffer)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		defer signal.Stop(signals)
		o.Signals = signals
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	runResult := make(chan error, 1)
	go func() { runResult <- service.Run(ctx) }()
	d := &daemon{Options: o, service: service, state: Starting}
	if ended, err := d.serve(runResult); ended {
		return err
	}
	err := d.drain()
	stop()
	return errors.Join(err, <-runResult)
}

// serve returns when a stop is requested or the service ends by itself. In the latter case ended is
// true and err is the result of the service's Run.
func (d *daemon) serve(runResult <-chan error) (ended bool, err error) {
	var watchdog <-chan time.Time
	if interval := d.Manager.WatchdogInterval(); interval > 0 {
		ticker := time.NewTicker(interval / 2) // as sd_watchdog_enabled(3) recommends
		defer ticker.Stop()
		watchdog = ticker.C
	}
	readyPoll := time.NewTicker(readyPollInterval)
	defer readyPoll.Stop()
	for {
		select {
		case err := <-runResult:
			d.apply(ServiceEnded)
			return true, err
		case <-readyPoll.C:
			if d.service.Ready() {
				readyPoll.Stop()
				d.apply(BecameReady)
				d.notify(sd.SdNotifyReady, "serving")
			}
		case <-watchdog:
			d.notifyWatchdog()
		case sig := <-d.Signals:
			if sig == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.Log.Info(logging.EventStopRequested, logging.KeySignal, sig.String())
			d.apply(StopRequested)
			return false, nil
		}
	}
}

// apply applies an event to the state and logs a state change.
func (d *daemon) apply(e Event) {
	if next := d.state.Next(e); next != d.state {
		d.Log.Info(logging.EventDaemonStateChanged, logging.KeyState, string(next), logging.KeyPrevious, string(d.state))
		d.state = next
	}
}

// notify sends a state and a status text to the manager.
func (d *daemon) notify(state, status string) {
	d.Manager.Notify(state + "\n" + statusPrefix + status)
}

// notifyWatchdog sends a keep-alive if the service makes progress. The manager restarts a process that
// sends none, so one that is alive but stalled is restarted too.
func (d *daemon) notifyWatchdog() {
	if err := d.service.CheckProgress(); err != nil {
		d.Log.Error(logging.EventNoProgress, logging.KeyError, err)
		d.Manager.Notify(statusPrefix + "no progress: " + err.Error())
		return
	}
	d.Manager.Notify(sd.SdNotifyWatchdog)
}

// reload applies changed settings and notifies the manager before and after.
func (d *daemon) reload() {
	d.Manager.Notify(sd.SdNotifyReloading)
	status := "serving"
	if err := d.service.Reload(); err != nil {
		d.Log.Error(logging.EventReloadFailed, logging.KeyError, err)
		status = "settings not reloaded: " + err.Error()
	} else {
		d.Log.Info(logging.EventSettingsReloaded)
	}
	d.notify(sd.SdNotifyReady, status)
}

// drain drains the service and returns when its Drain, whose context ends at the drain timeout, has
// returned or a second stop signal arrives.
func (d *daemon) drain() error {
	d.notify(sd.SdNotifyStopping, "draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.DrainTimeout)
	defer cancel()
	started := time.Now()
	drainResult := make(chan error, 1) // buffered, because nothing receives from it after a second signal
	go func() { drainResult <- d.service.Drain(ctx) }()
	for {
		select {
		case err := <-drainResult:
			d.apply(Drained)
			d.Log.Info(logging.EventDrainFinished, logging.KeyDuration, time.Since(started).Round(time.Millisecond), logging.KeyError, err)
			if err != nil {
				return fmt.Errorf("%w: %w", ErrForcedStop, err)
			}
			return nil
		case sig := <-d.Signals:
			if sig == syscall.SIGHUP {
				continue // settings are no longer reloaded
			}
			d.apply(StopRequested)
			d.Log.Info(logging.EventStoppedImmediately, logging.KeySignal, sig.String())
			return ErrForcedStop
		}
	}
}
