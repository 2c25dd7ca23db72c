package daemon

import (
	"log/slog"
	"time"

	"wheatspur/internal/logging"

	sd "github.com/coreos/go-systemd/v22/daemon"
)

// HostManager is the service manager that has started this process, spoken to in
// systemd's notify protocol; without one, nothing is sent.
type HostManager struct {
	// Log takes the failures: a manager that can't be reached stops nothing.
	Log *slog.Logger
}

// Tell sends a state.
func (m HostManager) Tell(state string) {
	if _, err := sd.SdNotify(false, state); err != nil {
		m.Log.Warn(logging.EventManagerNotNotified, logging.KeyError, err)
	}
}

// Watchdog returns the manager's watchdog interval; 0 without a watchdog.
func (m HostManager) Watchdog() time.Duration {
	interval, err := sd.SdWatchdogEnabled(false)
	if err != nil {
		m.Log.Warn(logging.EventWatchdogIntervalUnreadable, logging.KeyError, err)
	}
	return interval
}
