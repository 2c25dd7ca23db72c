package cloud

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wheatspur/wire"
)

var t0 = time.Unix(1000, 0)

// newTestClient returns a client of a test server that serves handler.
func newTestClient(t *testing.T, callsPerSecond float64, now func() time.Time, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(strings.TrimPrefix(server.URL, "http://"), callsPerSecond, now)
}

func respond(t *testing.T, w http.ResponseWriter, status int, body []byte) {
	t.Helper()
	w.WriteHeader(status)
	if _, err := w.Write(body); err != nil {
		t.Error(err)
	}
}

func TestErrorsDistinguishNoCapacityFromUnavailable(t *testing.T) {
	names := wire.MustMarshal(wire.MachineNames{Machines: []string{"m1"}})
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		want   error
		text   string
	}{
		{"success", http.StatusOK, names, nil, ""},
		{"no capacity", http.StatusConflict, wire.MustMarshal(wire.ErrorResponse{Error: "no capacity"}), ErrNoCapacity, "no capacity"},
		{"rate limit exceeded", http.StatusTooManyRequests, wire.MustMarshal(wire.ErrorResponse{Error: "slow down"}), ErrUnavailable, "cloud call failed: status 429 slow down"},
		{"error without a text", http.StatusServiceUnavailable, nil, ErrUnavailable, "cloud call failed: status 503 "},
		{"undecodable", http.StatusOK, []byte{0xff}, ErrUnavailable, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := newTestClient(t, 10, func() time.Time { return t0 }, func(w http.ResponseWriter, _ *http.Request) {
				respond(t, w, c.status, c.body)
			})
			machines, err := client.ScaleOut(wire.ScaleOutRequest{Name: "r", Count: 1})
			if !errors.Is(err, c.want) {
				t.Fatalf("error %v, want %v", err, c.want)
			}
			if c.text != "" && err.Error() != c.text {
				t.Errorf("text %q, want %q", err, c.text)
			}
			if c.want == nil && (len(machines) != 1 || machines[0] != "m1") {
				t.Errorf("machines %v, want [m1]", machines)
			}
		})
	}
}

func TestRateLimitAllowsBurstOfOneSecond(t *testing.T) {
	now := t0
	var calls atomic.Int32
	client := newTestClient(t, 2, func() time.Time { return now }, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		respond(t, w, http.StatusOK, wire.MustMarshal(wire.MachineNames{}))
	})
	callUntilRateLimited := func() int32 {
		t.Helper()
		before := calls.Load()
		for range 10 {
			if err := client.Terminate([]string{"m1"}); err != nil {
				if !errors.Is(err, ErrUnavailable) {
					t.Fatal(err)
				}
				return calls.Load() - before
			}
		}
		t.Fatal("the rate limit rejected none of 10 calls")
		return 0
	}
	for _, c := range []struct {
		wait time.Duration
		want int32
	}{{0, 2}, {0, 0}, {500 * time.Millisecond, 1}, {time.Hour, 2}} {
		now = now.Add(c.wait)
		if got := callUntilRateLimited(); got != c.want {
			t.Fatalf("%d calls after %s, want %d", got, c.wait, c.want)
		}
	}
}

func TestListMachinesReadsAllPages(t *testing.T) {
	pages := map[string]wire.MachinePage{
		"":    {Machines: []wire.Machine{{Name: "m1"}, {Name: "m 2"}}, Truncated: true},
		"m 2": {Machines: []wire.Machine{{Name: "m3"}}, Truncated: true},
		"m3":  {},
	}
	var failing atomic.Bool
	client := newTestClient(t, 10, func() time.Time { return t0 }, func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		if query.Get("page") != fmt.Sprint(ListPageSize) {
			t.Errorf("page size %q", query.Get("page"))
		}
		if failing.Load() && query.Get("after") == "m 2" {
			respond(t, w, http.StatusInternalServerError, nil)
			return
		}
		respond(t, w, http.StatusOK, wire.MustMarshal(pages[query.Get("after")]))
	})
	machines, err := client.ListMachines()
	if err != nil || len(machines) != 3 || machines[2].Name != "m3" {
		t.Fatalf("machines %v, error %v", machines, err)
	}
	// A partial list must not be returned: the machines missing from it would seem to
	// be gone.
	failing.Store(true)
	if machines, err := client.ListMachines(); !errors.Is(err, ErrUnavailable) || machines != nil {
		t.Fatalf("after a failed page: machines %v, error %v", machines, err)
	}
}

func TestFailedCallWrapsItsCause(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	client := NewClient(addr, 10, func() time.Time { return t0 })
	if _, err := client.MachineTypes(); !errors.Is(err, ErrUnavailable) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("error %v, want ErrUnavailable that wraps ECONNREFUSED", err)
	}
}
