package store

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"wheatspur/wire"
)

// newTestClient returns a client of a test server that answers every request with the
// given status and body, and the client's limiter.
func newTestClient(t *testing.T, status int, body []byte) (*Client, *Limiter) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		if _, err := w.Write(body); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	now := time.Now()
	limiter := NewLimiter(100, 100, 1, func() time.Time { return now })
	return NewClient(strings.TrimPrefix(server.URL, "http://"), limiter), limiter
}

func TestClientErrorsByStatus(t *testing.T) {
	ctx := t.Context()
	list := func(c *Client) error { _, err := c.List(ctx, "w/", ""); return err }
	watch := func(c *Client) error { _, err := c.Watch(ctx, "w/", 0, 0); return err }
	compareAndSwap := func(c *Client) error { _, err := c.CompareAndSwap(ctx, ClassClaim, nil, nil); return err }
	grantLease := func(c *Client) error { _, err := c.GrantLease(ctx, time.Second); return err }
	renewLease := func(c *Client) error { return c.RenewLease(ctx, 7) }
	result := func(r wire.TransactionResult) []byte { return wire.MustMarshal(r) }
	for _, c := range []struct {
		name   string
		status int
		body   []byte
		call   func(*Client) error
		want   error
		text   string
	}{
		{"rate limit exceeded", 429, nil, list, ErrRejected, "state service request rejected"},
		{"overloaded", 503, nil, compareAndSwap, ErrRejected, "state service request rejected"},
		{"list: other status", 500, nil, list, ErrMalformed, "malformed state service request: list: status 500"},
		{"watch: revision compacted", 410, nil, watch, ErrCompacted, "watch revision compacted"},
		{"watch: other status", 400, nil, watch, ErrMalformed, "malformed state service request: watch: status 400"},
		{"compare-and-swap: compares failed", 409, result(wire.TransactionResult{FailedCompares: []string{"w/a", "w/b"}}), compareAndSwap,
			ErrConflict, "transaction compare failed: [w/a w/b]"},
		{"compare-and-swap: lease expired", 400, result(wire.TransactionResult{Error: "no such lease"}), compareAndSwap,
			ErrLeaseExpired, "lease expired or revoked"},
		{"compare-and-swap: malformed", 400, result(wire.TransactionResult{Error: "too large"}), compareAndSwap,
			ErrMalformed, "malformed state service request: transaction: status 400 too large"},
		{"compare-and-swap: malformed, without a reason", 400, nil, compareAndSwap,
			ErrMalformed, "malformed state service request: transaction: status 400 "},
		{"compare-and-swap: undecodable response", 200, []byte{0xff}, compareAndSwap,
			ErrOutcomeUnknown, `state service request outcome unknown: cbor: unexpected "break" code`},
		{"grant lease: other status", 400, nil, grantLease, ErrMalformed, "malformed state service request: grant lease: status 400"},
		{"renew lease: expired", 404, nil, renewLease, ErrLeaseExpired, "lease expired or revoked"},
		{"renew lease: other status", 400, nil, renewLease, ErrMalformed,
			"malformed state service request: POST /leases/7/touch: status 400"},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, limiter := newTestClient(t, c.status, c.body)
			err := c.call(client)
			if !errors.Is(err, c.want) || err.Error() != c.text {
				t.Errorf("error %q, want %q", err, c.text)
			}
			if empty := limiter.AvailableWrites(0) == 0; empty != (c.status == 429) {
				t.Errorf("token bucket empty: %v", empty)
			}
		})
	}
}

func TestClientErrorsIncludeDetails(t *testing.T) {
	client, _ := newTestClient(t, 409, wire.MustMarshal(wire.TransactionResult{Revision: 9, FailedCompares: []string{"w/a"}}))
	revision, err := client.CompareAndSwap(t.Context(), ClassClaim, nil, nil)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || !slices.Equal(conflict.FailedCompares, []string{"w/a"}) || revision != 9 {
		t.Errorf("revision %d, error %#v; want 9 and a conflict on w/a", revision, err)
	}
	client, _ = newTestClient(t, 500, nil)
	_, err = client.CompareAndSwap(t.Context(), ClassClaim, nil, nil)
	var statusError *StatusError
	if !errors.As(err, &statusError) || statusError.Status != 500 {
		t.Errorf("error %#v, want a StatusError with 500", err)
	}
}

func TestClientReportsUnknownOutcomeWithItsCause(t *testing.T) {
	client, _ := newTestClient(t, 200, nil)
	client.addr = "127.0.0.1:1" // a port without a listener
	client.http.Addr = client.addr
	err := client.RenewLease(t.Context(), 7)
	if !errors.Is(err, ErrOutcomeUnknown) || !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("error %v, want ErrOutcomeUnknown that wraps the refused connection", err)
	}
}
