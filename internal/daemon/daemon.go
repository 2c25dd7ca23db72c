// Package daemon runs a service under the machine's service manager. It owns the
// process's signals and lifecycle: it notifies the manager of readiness, feeds
// the manager's watchdog from the service's own progress, reloads settings on
// SIGHUP, and drains on SIGTERM or SIGINT. Without a service manager it does the
// same and notifies nobody. What the service does, and which settings can be
// reloaded, is the service's concern.
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
	Starting State = "starting" // the service runs and can't serve yet
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
	Drained       Event = "drained"        // or the drain limit has passed
	Ended         Event = "ended"          // the service returned by itself
)

// Next returns the state after an event. All transitions are here; an event that
// a state doesn't expect changes nothing.
func (s State) Next(e Event) State {
	switch {
	case s == Starting && e == BecameReady:
		return Serving
	case (s == Starting || s == Serving) && e == StopRequested:
		return Draining
	case s == Draining && (e == Drained || e == StopRequested):
		return Stopped // a second signal cuts the drain short
	case e == Ended:
		return Stopped
	}
	return s
}

// Service is what a daemon runs.
type Service interface {
	// Run serves until ctx ends.
	Run(ctx context.Context) error
	// Ready reports whether requests are served.
	Ready() bool
	// Progress returns nil while the service's loops make progress, else what
	// has stalled.
	Progress() error
	// Reload applies changed settings: all of them, or none and an error.
	Reload() error
	// Drain accepts no new work and returns when what is in flight has finished
	// or ctx has ended.
	Drain(ctx context.Context) error
}

// Manager is the service manager.
type Manager interface {
	// Notify sends a state in the manager's notify protocol.
	Notify(state string)
	// Watchdog returns the interval in which the manager expects a keep-alive,
	// else takes the service for hung; 0 without a watchdog.
	Watchdog() time.Duration
}

// Options configure a daemon.
type Options struct {
	DrainLimit time.Duration // longest time that Drain may take
	Log        *slog.Logger
	Manager    Manager
	Signals    <-chan os.Signal // nil: those of the process
}

// ErrForced is the error of a stop that did not wait until the drain was complete.
var ErrForced = errors.New("stopped before all that was under way had ended")

// readyPollInterval is the time between two checks of readiness until the service
// is ready.
const readyPollInterval = 200 * time.Millisecond

// signalBuffer is how many signals may wait for the daemon: the os/signal package
// drops what does not fit.
const signalBuffer = 4

// statusPrefix begins the line of a notification that people read.
const statusPrefix = "STATUS="

// daemon is a running service. Its fields belong to the goroutine of Run.
type daemon struct {
	Options
	service Service
	state   State
}

// Run runs the service until it ends or a signal stops it. It returns nil after a
// complete drain, ErrForced after a stop that did not wait for one, else the
// service's error.
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

// serve returns when a stop is requested, or when the service has ended by itself:
// then ended is true, and err is what Run of the service returned.
func (d *daemon) serve(runResult <-chan error) (ended bool, err error) {
	var watchdog <-chan time.Time
	if interval := d.Manager.Watchdog(); interval > 0 {
		ticker := time.NewTicker(interval / 2) // as sd_watchdog_enabled(3) recommends
		defer ticker.Stop()
		watchdog = ticker.C
	}
	readyPoll := time.NewTicker(readyPollInterval)
	defer readyPoll.Stop()
	for {
		select {
		case err := <-runResult:
			d.apply(Ended)
			return true, err
		case <-readyPoll.C:
			if d.service.Ready() {
				readyPoll.Stop()
				d.apply(BecameReady)
				d.notify(sd.SdNotifyReady, "serving")
			}
		case <-watchdog:
			d.feedWatchdog()
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

// apply changes the state after an event and logs the change.
func (d *daemon) apply(e Event) {
	if next := d.state.Next(e); next != d.state {
		d.Log.Info(logging.EventDaemonStateChanged, logging.KeyState, string(next), logging.KeyPrevious, string(d.state))
		d.state = next
	}
}

// notify sends the manager a state with a status text.
func (d *daemon) notify(state, status string) {
	d.Manager.Notify(state + "\n" + statusPrefix + status)
}

// feedWatchdog sends a keep-alive if the service makes progress. Guards against a
// process that is alive and does nothing: without a keep-alive the manager
// restarts it.
func (d *daemon) feedWatchdog() {
	if err := d.service.Progress(); err != nil {
		d.Log.Error(logging.EventNoProgress, logging.KeyError, err)
		d.Manager.Notify(statusPrefix + "no progress: " + err.Error())
		return
	}
	d.Manager.Notify(sd.SdNotifyWatchdog)
}

// reload applies changed settings, and notifies the manager before and after.
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

// drain lets the service finish what is in flight, within the drain limit and
// until a second signal.
func (d *daemon) drain() error {
	d.notify(sd.SdNotifyStopping, "draining")
	ctx, cancel := context.WithTimeout(context.Background(), d.DrainLimit)
	defer cancel()
	started := time.Now()
	drainResult := make(chan error, 1) // buffered: after a second signal nobody receives
	go func() { drainResult <- d.service.Drain(ctx) }()
	for {
		select {
		case err := <-drainResult:
			d.apply(Drained)
			d.Log.Info(logging.EventDrainFinished, logging.KeyDuration, time.Since(started).Round(time.Millisecond), logging.KeyError, err)
			if err != nil {
				return fmt.Errorf("%w: %w", ErrForced, err)
			}
			return nil
		case sig := <-d.Signals:
			if sig == syscall.SIGHUP {
				continue // settings are not reloaded any more
			}
			d.apply(StopRequested)
			d.Log.Info(logging.EventStoppedImmediately, logging.KeySignal, sig.String())
			return ErrForced
		}
	}
}
