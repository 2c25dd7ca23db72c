package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// With all allowed connections in use, a further connection is refused at once with a Retry-After
// header, and accepted again once another connection has closed. Guards against users left waiting
// in the accept queue. Uses real TCP connections.
func TestConnectionsBeyondLimitAreRefusedUntilOneCloses(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const limit = 8
	listener := listenOnLoopback(t)
	serveUsersBounded(controller, listener, limit, 2)

	get := func(path string) (*http.Response, net.Conn) {
		t.Helper()
		c, err := net.DialTimeout("tcp4", listener.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("no response: %v", err)
		}
		return resp, c
	}
	var open []net.Conn
	for range limit {
		resp, c := get("/up")
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d within the limit", resp.StatusCode)
		}
		open = append(open, c)
	}
	for range 3 {
		resp, c := get("/up")
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "2" || !resp.Close {
			t.Fatalf("beyond the limit: status %d, Retry-After %q, close %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
		}
		_ = c.Close()
	}
	_ = open[0].Close()
	for deadline := time.Now().Add(5 * time.Second); ; {
		resp, c := get("/up")
		_ = c.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no connection is accepted after one has closed")
		}
	}
	for _, c := range open[1:] {
		_ = c.Close()
	}
}

// If its peers are down, a controller holds the connections of all workers. Guards against idle
// worker connections, held open between heartbeats, that leave none for users and health checks.
func TestConnectionPressureClosesOnlyWorkerConnections(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.Settings.Params.Limits.MaxConnections = 1000
	env.addMachine("h1", "batch")
	for _, tc := range []struct {
		open      int
		wantClose bool
	}{{100, false}, {700, true}} {
		controller.Workers.OpenConnections = func() int { return tc.open }
		if _, _, ctx := sendRequest(controller, "POST", "/checkin", env.heartbeat("h1", 1, controller.fencingToken())); ctx.Response.ConnectionClose() != tc.wantClose {
			t.Errorf("%d open connections: worker connection closed: %v", tc.open, ctx.Response.ConnectionClose())
		}
		if code, _, ctx := sendRequest(controller, "GET", "/up", nil); code != http.StatusOK || ctx.Response.ConnectionClose() {
			t.Errorf("%d open connections: health check status %d", tc.open, code)
		}
	}
}
