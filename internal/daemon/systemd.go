package daemon

import (
	"log/slog"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"

	"wheatspur/internal/logging"
)

// SystemdManager is the service manager that has started this process, spoken to in
// systemd's notify protocol; without one, nothing is sent.
type SystemdManager struct {
	// Log takes the failures: a manager that can't be reached stops nothing.
	Log *slog.Logger
}

// Notify sends a state.
func (m SystemdManager) Notify(state string) {
	if _, err := sd.SdNotify(false, state); err != nil {
		m.Log.Warn(logging.EventManagerNotNotified, logging.KeyError, err)
	}
}

// Watchdog returns the manager's watchdog interval; 0 without a watchdog.
func (m SystemdManager) Watchdog() time.Duration {
	interval, err := sd.SdWatchdogEnabled(false)
	if err != nil {
		m.Log.Warn(logging.EventWatchdogIntervalUnreadable, logging.KeyError, err)
	}
	return interval
}
