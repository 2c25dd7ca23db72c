// Package daemon runs a service under the host's service manager: it says when
// the service is ready, feeds the manager's watchdog from the service's own
// progress, reloads settings on SIGHUP, and stops cleanly on SIGTERM or SIGINT.
// Without a service manager it does the same and tells nobody.
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
)

// State is the state of a daemon.
type State string

// States of a daemon.
const (
	Starting State = "starting" // runs, and can't serve yet
	Serving  State = "serving"
	Draining State = "draining" // takes nothing new, ends what is under way
	Stopped  State = "stopped"
)

// Event changes a daemon's state.
type Event string

// Events of a daemon.
const (
	BecameReady   Event = "became ready"
	StopRequested Event = "stop requested" // by a signal
	Drained       Event = "drained"        // also when the time for it is over
	Ended         Event = "ended"          // the service ended by itself
)

// Next is the one function that changes a daemon's state.
func (s State) Next(e Event) State {
	switch {
	case s == Starting && e == BecameReady:
		return Serving
	case (s == Starting || s == Serving) && e == StopRequested:
		return Draining
	case s == Draining && (e == Drained || e == StopRequested):
		return Stopped // a second signal does not wait
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
	// Progress is nil while the service's loops go on.
	Progress() error
	// Reload takes over changed settings: all of them, or none and an error.
	Reload() error
	// Drain takes nothing new and returns when what is under way has ended, or
	// ctx has.
	Drain(ctx context.Context) error
}

// Manager is the service manager.
type Manager interface {
	// Tell sends a state in the manager's notify protocol.
	Tell(state string)
	// Watchdog is how often it wants to hear from the service; 0: never.
	Watchdog() time.Duration
}

// Options of a daemon.
type Options struct {
	DrainLimit time.Duration // for Drain
	Log        *slog.Logger
	Manager    Manager
	Signals    <-chan os.Signal // nil: those of the process
}

// ErrForced says that a stop did not wait for what was under way.
var ErrForced = errors.New("stopped before all that was under way had ended")

// pollEvery is how often readiness is looked at until it is there.
const pollEvery = 200 * time.Millisecond

// daemon is a running service.
type daemon struct {
	Options
	service Service
	state   State
}

// Run runs the service until it ends or a signal stops it. It returns nil after a
// clean stop, ErrForced after one that did not wait, else the service's error.
func Run(service Service, o Options) error {
	if o.Signals == nil {
		signals := make(chan os.Signal, 4)
		signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
		defer signal.Stop(signals)
		o.Signals = signals
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- service.Run(ctx) }()
	d := &daemon{Options: o, service: service, state: Starting}
	if err, over := d.serve(ended); over {
		return err
	}
	err := d.drain()
	stop()
	return errors.Join(err, <-ended)
}

// serve goes on until a stop is asked for, or the service has ended: over.
func (d *daemon) serve(ended <-chan error) (err error, over bool) {
	var ready, watchdog <-chan time.Time
	if every := d.Manager.Watchdog(); every > 0 {
		ticker := time.NewTicker(every / 2)
		defer ticker.Stop()
		watchdog = ticker.C
	}
	poll := time.NewTicker(pollEvery)
	defer poll.Stop()
	ready = poll.C
	for {
		select {
		case err := <-ended:
			d.apply(Ended)
			return err, true
		case <-ready:
			if d.service.Ready() {
				poll.Stop()
				ready = nil
				d.apply(BecameReady)
				d.Manager.Tell("READY=1\nSTATUS=serving")
			}
		case <-watchdog:
			d.feedWatchdog()
		case s := <-d.Signals:
			if s == syscall.SIGHUP {
				d.reload()
				continue
			}
			d.Log.Info("stop requested", "signal", s.String())
			d.apply(StopRequested)
			return nil, false
		}
	}
}

// apply enters an event.
func (d *daemon) apply(e Event) {
	if next := d.state.Next(e); next != d.state {
		d.Log.Info("daemon", "state", string(next), "after", string(d.state))
		d.state = next
	}
}

// feedWatchdog tells the manager that the service goes on, if it does. Guards
// against a process that is there and does nothing.
func (d *daemon) feedWatchdog() {
	if err := d.service.Progress(); err != nil {
		d.Log.Error("no progress", "err", err)
		d.Manager.Tell("STATUS=no progress: " + err.Error())
		return
	}
	d.Manager.Tell("WATCHDOG=1")
}

// reload takes over changed settings, and tells the manager before and after.
func (d *daemon) reload() {
	d.Manager.Tell("RELOADING=1")
	status := "serving"
	if err := d.service.Reload(); err != nil {
		d.Log.Error("settings not reloaded, those of before stay", "err", err)
		status = "settings not reloaded: " + err.Error()
	} else {
		d.Log.Info("settings reloaded")
	}
	d.Manager.Tell("READY=1\nSTATUS=" + status)
}

// drain ends what is under way, within the limit and until a second signal.
func (d *daemon) drain() error {
	d.Manager.Tell("STOPPING=1\nSTATUS=draining")
	ctx, stop := context.WithTimeout(context.Background(), d.DrainLimit)
	defer stop()
	drained := make(chan error, 1)
	begun := time.Now()
	go func() { drained <- d.service.Drain(ctx) }()
	for {
		select {
		case err := <-drained:
			d.apply(Drained)
			d.Log.Info("drained", "took", time.Since(begun).Round(time.Millisecond), "err", err)
			if err != nil {
				return fmt.Errorf("%w: %v", ErrForced, err)
			}
			return nil
		case s := <-d.Signals:
			if s == syscall.SIGHUP {
				continue
			}
			d.apply(StopRequested)
			d.Log.Info("stopped at once", "signal", s.String())
			return ErrForced
		}
	}
}
