package daemon

import (
	"log/slog"
	"time"

	sd "github.com/coreos/go-systemd/v22/daemon"
)

// HostManager is the service manager that has started this process, after its
// published notify protocol; without one, nothing is told.
type HostManager struct{ Log *slog.Logger }

// Tell sends a state.
func (m HostManager) Tell(state string) {
	if _, err := sd.SdNotify(false, state); err != nil {
		m.Log.Warn("service manager not told", "err", err)
	}
}

// Watchdog is how often the manager wants to hear from this process.
func (m HostManager) Watchdog() time.Duration {
	every, err := sd.SdWatchdogEnabled(false)
	if err != nil {
		m.Log.Warn("watchdog interval not read", "err", err)
	}
	return every
}
