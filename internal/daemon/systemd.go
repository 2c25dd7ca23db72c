package daemon

import (
	"log/slog"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"

	"wheatspur/internal/logging"
)

// SystemdManager notifies the service manager that started this process by systemd's notify protocol.
// Without such a manager it sends nothing.
type SystemdManager struct {
	// Log receives failures, which are not returned: an unreachable manager must not stop the service.
	Log *slog.Logger
}

// Notify sends a state to the manager.
func (m SystemdManager) Notify(state string) {
	if _, err := sd.SdNotify(false, state); err != nil {
		m.Log.Warn(logging.EventServiceManagerNotNotified, logging.KeyError, err)
	}
}

// WatchdogInterval returns the manager's watchdog interval, or 0 without a watchdog.
func (m SystemdManager) WatchdogInterval() time.Duration {
	interval, err := sd.SdWatchdogEnabled(false)
	if err != nil {
		m.Log.Warn(logging.EventWatchdogIntervalUnreadable, logging.KeyError, err)
	}
	return interval
}
