package daemon

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// scripted is a service whose parts a test sets.
type scripted struct {
	mu       sync.Mutex
	ready    bool
	progress error
	reload   error
	reloads  int
	drain    chan error // Drain returns what comes from it
	end      chan error // so does Run
}

func newScripted() *scripted {
	return &scripted{drain: make(chan error, 1), end: make(chan error, 1)}
}

func (s *scripted) Run(ctx context.Context) error {
	select {
	case err := <-s.end:
		return err
	case <-ctx.Done():
		return nil
	}
}

func (s *scripted) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (s *scripted) Progress() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress
}

func (s *scripted) Reload() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reloads++
	return s.reload
}

func (s *scripted) Drain(ctx context.Context) error {
	select {
	case err := <-s.drain:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *scripted) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// recorder is a service manager that notes what it is told.
type recorder struct {
	mu    sync.Mutex
	told  []string
	every time.Duration
}

func (r *recorder) Tell(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, state)
}

func (r *recorder) Watchdog() time.Duration { return r.every }

// heard waits until the manager was told something that begins like this.
func (r *recorder) heard(t *testing.T, begin string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		r.mu.Lock()
		ok := slices.ContainsFunc(r.told, func(s string) bool { return strings.HasPrefix(s, begin) })
		told := slices.Clone(r.told)
		r.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the manager was not told %q but %q", begin, told)
		}
	}
}

func (r *recorder) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = nil
}

// start runs a daemon and returns its signals and outcome.
func start(s *scripted, r *recorder, limit time.Duration) (chan<- os.Signal, <-chan error) {
	signals, out := make(chan os.Signal, 4), make(chan error, 1)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	go func() { out <- Run(s, Options{DrainLimit: limit, Log: log, Manager: r, Signals: signals}) }()
	return signals, out
}

// outcome waits for a daemon's end.
func outcome(t *testing.T, out <-chan error) error {
	t.Helper()
	select {
	case err := <-out:
		return err
	case <-time.After(10 * time.Second):
		t.Fatal("the daemon does not end")
		return nil
	}
}

func TestReadinessComesOnceTheServiceServes(t *testing.T) {
	s, r := newScripted(), &recorder{}
	signals, out := start(s, r, time.Second)
	time.Sleep(2 * pollEvery)
	r.mu.Lock()
	early := len(r.told)
	r.mu.Unlock()
	if early != 0 {
		t.Fatal("ready before it serves")
	}
	s.set(func() { s.ready = true })
	r.heard(t, "READY=1")
	s.drain <- nil
	signals <- syscall.SIGTERM
	r.heard(t, "STOPPING=1")
	if err := outcome(t, out); err != nil {
		t.Fatal(err)
	}
}

func TestTheWatchdogIsFedByProgressAlone(t *testing.T) {
	s, r := newScripted(), &recorder{every: 20 * time.Millisecond}
	signals, out := start(s, r, time.Second)
	r.heard(t, "WATCHDOG=1")
	s.set(func() { s.progress = errors.New("passes stand still") })
	r.heard(t, "STATUS=no progress: passes stand still")
	r.clear()
	r.heard(t, "STATUS=no progress")
	r.mu.Lock()
	fed := slices.Contains(r.told, "WATCHDOG=1")
	r.mu.Unlock()
	if fed {
		t.Error("fed without progress")
	}
	s.set(func() { s.progress = nil })
	r.heard(t, "WATCHDOG=1")
	s.drain <- nil
	signals <- syscall.SIGINT
	if err := outcome(t, out); err != nil {
		t.Fatal(err)
	}
}

func TestAReloadIsToldBeforeAndAfter(t *testing.T) {
	s, r := newScripted(), &recorder{}
	s.ready = true
	signals, out := start(s, r, time.Second)
	r.heard(t, "READY=1")
	r.clear()
	signals <- syscall.SIGHUP
	r.heard(t, "RELOADING=1")
	r.heard(t, "READY=1\nSTATUS=serving")
	s.set(func() { s.reload = errors.New("log.level: wrong") })
	signals <- syscall.SIGHUP
	r.heard(t, "READY=1\nSTATUS=settings not reloaded: log.level: wrong")
	s.drain <- nil
	signals <- syscall.SIGTERM
	if err := outcome(t, out); err != nil || s.reloads != 2 {
		t.Fatalf("%v, %d reloads", err, s.reloads)
	}
}

func TestStopsThatDoNotWait(t *testing.T) {
	for name, c := range map[string]struct {
		limit time.Duration
		again bool
		drain error
	}{
		"the time is over":  {30 * time.Millisecond, false, nil},
		"a second signal":   {time.Minute, true, nil},
		"it could not tell": {time.Minute, false, errors.New("session not ended")},
	} {
		s, r := newScripted(), &recorder{}
		signals, out := start(s, r, c.limit)
		if c.drain != nil {
			s.drain <- c.drain
		}
		signals <- syscall.SIGTERM
		if c.again {
			signals <- syscall.SIGHUP // changes nothing
			signals <- syscall.SIGTERM
		}
		if err := outcome(t, out); !errors.Is(err, ErrForced) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestAServiceThatEndsByItself(t *testing.T) {
	failed := errors.New("bind: address in use")
	s, r := newScripted(), &recorder{}
	_, out := start(s, r, time.Second)
	s.end <- failed
	if err := outcome(t, out); !errors.Is(err, failed) {
		t.Fatal(err)
	}
}

func TestStates(t *testing.T) {
	for _, c := range []struct {
		from State
		e    Event
		to   State
	}{
		{Starting, BecameReady, Serving}, {Starting, StopRequested, Draining}, {Serving, StopRequested, Draining}, {Draining, Drained, Stopped},
		{Draining, StopRequested, Stopped}, {Serving, Ended, Stopped}, {Starting, Ended, Stopped}, {Serving, Drained, Serving},
		{Draining, BecameReady, Draining}, {Stopped, BecameReady, Stopped}, {Stopped, StopRequested, Stopped},
	} {
		if got := c.from.Next(c.e); got != c.to {
			t.Errorf("%s in %s: %s, want %s", c.e, c.from, got, c.to)
		}
	}
}

// The published protocol: datagrams to the socket that the environment names, the
// watchdog's interval in microseconds.
func TestTheHostsManagerIsTold(t *testing.T) {
	path := filepath.Join(t.TempDir(), "notify")
	conn, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	m := HostManager{slog.New(slog.NewTextHandler(io.Discard, nil))}
	t.Setenv("NOTIFY_SOCKET", path)
	t.Setenv("WATCHDOG_USEC", "3000000")
	m.Tell("READY=1\nSTATUS=serving")
	buf := make([]byte, 100)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	n, err := conn.Read(buf)
	if err != nil || string(buf[:n]) != "READY=1\nSTATUS=serving" {
		t.Fatalf("%q %v", buf[:n], err)
	}
	if every := m.Watchdog(); every != 3*time.Second {
		t.Fatalf("watchdog every %v", every)
	}
	t.Setenv("NOTIFY_SOCKET", "")
	t.Setenv("WATCHDOG_USEC", "")
	m.Tell("READY=1") // nobody listens
	if m.Watchdog() != 0 {
		t.Fatal("a watchdog without a manager")
	}
}
