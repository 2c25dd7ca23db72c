package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// scriptedService is a service whose results a test sets.
type scriptedService struct {
	mu          sync.Mutex // guards the next four fields
	ready       bool
	progressErr error
	reloadErr   error
	reloads     int

	drainResult chan error // Drain returns the value received from it
	runResult   chan error // Run returns the value received from it
}

func newScriptedService() *scriptedService {
	return &scriptedService{drainResult: make(chan error, 1), runResult: make(chan error, 1)}
}

func (s *scriptedService) Run(ctx context.Context) error {
	select {
	case err := <-s.runResult:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (s *scriptedService) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *scriptedService) CheckProgress() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progressErr
}

func (s *scriptedService) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloads++
	return s.reloadErr
}

func (s *scriptedService) Drain(ctx context.Context) error {
	select {
	case err := <-s.drainResult:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// update runs change, which sets results, while the daemon runs.
func (s *scriptedService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// recordingManager is a service manager that records its notifications.
type recordingManager struct {
	mu               sync.Mutex
	notifications    []string
	watchdogInterval time.Duration
}

func (m *recordingManager) Notify(state string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifications = append(m.notifications, state)
}

func (m *recordingManager) WatchdogInterval() time.Duration { return m.watchdogInterval }

func (m *recordingManager) recordedNotifications() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.notifications)
}

func (m *recordingManager) clear() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notifications = nil
}

// await waits for a notification that starts with prefix.
func (m *recordingManager) await(t *testing.T, prefix string) {
	t.Helper()
	hasPrefix := func(notification string) bool { return strings.HasPrefix(notification, prefix) }
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		recorded := m.recordedNotifications()
		if slices.ContainsFunc(recorded, hasPrefix) {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("no notification %q among %q", prefix, recorded)
		}
	}
}

// runningDaemon is a daemon started by a test.
type runningDaemon struct {
	signals chan<- os.Signal
	result  <-chan error // of Run
}

// startDaemon starts a daemon. Tests call it in a synctest bubble, so that its tickers and time limits
// use the bubble's fake clock.
func startDaemon(service *scriptedService, manager *recordingManager, drainTimeout time.Duration) runningDaemon {
	signals, result := make(chan os.Signal, signalBuffer), make(chan error, 1)
	options := Options{DrainTimeout: drainTimeout, Log: slog.New(slog.DiscardHandler), Manager: manager, Signals: signals}
	go func() { result <- Run(service, options) }()
	return runningDaemon{signals, result}
}

// wait waits until Run returns and returns its result.
func (d runningDaemon) wait(t *testing.T) error {
	t.Helper()
	select {
	case err := <-d.result:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon did not stop")
		return nil
	}
}

func TestReadinessIsNotifiedOnlyWhenTheServiceIsReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, manager := newScriptedService(), &recordingManager{}
		d := startDaemon(service, manager, time.Second)
		time.Sleep(2 * readyPollInterval)
		synctest.Wait()
		if early := manager.recordedNotifications(); len(early) != 0 {
			t.Fatalf("notifications before the service is ready: %q", early)
		}
		service.update(func() { service.ready = true })
		manager.await(t, "READY=1")
		service.drainResult <- nil
		d.signals <- syscall.SIGTERM
		manager.await(t, "STOPPING=1")
		if err := d.wait(t); err != nil {
			t.Fatal(err)
		}
	})
}

func TestWatchdogIsNotifiedOnlyWhileTheServiceMakesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, manager := newScriptedService(), &recordingManager{watchdogInterval: 20 * time.Millisecond}
		d := startDaemon(service, manager, time.Second)
		manager.await(t, "WATCHDOG=1")
		service.update(func() { service.progressErr = errors.New("passes have stalled") })
		manager.await(t, "STATUS=no progress: passes have stalled")
		manager.clear()
		manager.await(t, "STATUS=no progress")
		if slices.Contains(manager.recordedNotifications(), "WATCHDOG=1") {
			t.Error("watchdog notified without progress")
		}
		service.update(func() { service.progressErr = nil })
		manager.await(t, "WATCHDOG=1")
		service.drainResult <- nil
		d.signals <- syscall.SIGINT
		if err := d.wait(t); err != nil {
			t.Fatal(err)
		}
	})
}

func TestReloadIsNotifiedBeforeAndAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		service, manager := newScriptedService(), &recordingManager{}
		service.ready = true
		d := startDaemon(service, manager, time.Second)
		manager.await(t, "READY=1")
		manager.clear()
		d.signals <- syscall.SIGHUP
		manager.await(t, "RELOADING=1")
		manager.await(t, "READY=1\nSTATUS=serving")
		service.update(func() { service.reloadErr = errors.New("log.level: wrong") })
		d.signals <- syscall.SIGHUP
		manager.await(t, "READY=1\nSTATUS=settings not reloaded: log.level: wrong")
		service.drainResult <- nil
		d.signals <- syscall.SIGTERM
		if err := d.wait(t); err != nil || service.reloads != 2 {
			t.Fatalf("%v, %d reloads", err, service.reloads)
		}
	})
}

func TestIncompleteDrainIsAForcedStop(t *testing.T) {
	failed := errors.New("session not ended")
	for _, c := range []struct {
		name         string
		drainTimeout time.Duration
		secondSignal bool
		drainErr     error // nil: the drain does not end by itself
		cause        error // nil: ErrForcedStop alone
	}{
		{"the drain timeout passes", 30 * time.Millisecond, false, nil, context.DeadlineExceeded},
		{"a second signal comes", time.Minute, true, nil, nil},
		{"the drain fails", time.Minute, false, failed, failed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service, manager := newScriptedService(), &recordingManager{}
				d := startDaemon(service, manager, c.drainTimeout)
				if c.drainErr != nil {
					service.drainResult <- c.drainErr
				}
				d.signals <- syscall.SIGTERM
				if c.secondSignal {
					d.signals <- syscall.SIGHUP // ignored while draining
					d.signals <- syscall.SIGTERM
				}
				if err := d.wait(t); !errors.Is(err, ErrForcedStop) || c.cause != nil && !errors.Is(err, c.cause) {
					t.Errorf("%v, want %v with cause %v", err, ErrForcedStop, c.cause)
				}
			})
		})
	}
}

func TestRunReturnsTheErrorOfAServiceThatEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := errors.New("bind: address in use")
		service := newScriptedService()
		d := startDaemon(service, &recordingManager{}, time.Second)
		service.runResult <- failed
		if err := d.wait(t); !errors.Is(err, failed) {
			t.Fatal(err)
		}
	})
}

func TestStateTransitions(t *testing.T) {
	for _, c := range []struct {
		from  State
		event Event
		to    State
	}{
		{Starting, BecameReady, Serving},
		{Starting, StopRequested, Draining},
		{Serving, StopRequested, Draining},
		{Draining, Drained, Stopped},
		{Draining, StopRequested, Stopped},
		{Serving, ServiceEnded, Stopped},
		{Starting, ServiceEnded, Stopped},
		{Serving, Drained, Serving},
		{Draining, BecameReady, Draining},
		{Stopped, BecameReady, Stopped},
		{Stopped, StopRequested, Stopped},
	} {
		t.Run(fmt.Sprintf("%s in %s", c.event, c.from), func(t *testing.T) {
			if got := c.from.Next(c.event); got != c.to {
				t.Errorf("%s, want %s", got, c.to)
			}
		})
	}
}

// Systemd's protocol: NOTIFY_SOCKET names the socket that receives datagrams, and WATCHDOG_USEC the
// watchdog interval in microseconds.
func TestSystemdNotifyProtocol(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	conn, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	manager := SystemdManager{Log: slog.New(slog.DiscardHandler)}
	t.Setenv("NOTIFY_SOCKET", path)
	t.Setenv("WATCHDOG_USEC", "3000000")
	manager.Notify("READY=1\nSTATUS=serving")
	buffer := make([]byte, 100)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	n, err := conn.Read(buffer)
	if err != nil || string(buffer[:n]) != "READY=1\nSTATUS=serving" {
		t.Fatalf("%q %v", buffer[:n], err)
	}
	if interval := manager.WatchdogInterval(); interval != 3*time.Second {
		t.Fatalf("watchdog interval %v", interval)
	}
	t.Setenv("NOTIFY_SOCKET", "")
	t.Setenv("WATCHDOG_USEC", "")
	manager.Notify("READY=1") // without a manager
	if manager.WatchdogInterval() != 0 {
		t.Fatal("watchdog interval without a manager")
	}
}
