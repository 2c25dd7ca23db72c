package controller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Over real connections: workers hold as many as there is room for; a user beyond them
// is refused at once with a time to come back, and gets in as soon as one closes.
// Guards against users that wait in the accept queue.
func TestConnectionsBeyondTheLimitAreRefusedAtOnceUntilOneCloses(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	const most = 8
	ln := listenOnLoopback(t)
	serveUsersBounded(controller, ln, most, 2)

	get := func(path string) (*http.Response, net.Conn) {
		t.Helper()
		c, err := net.DialTimeout("tcp4", ln.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("no answer: %v", err)
		}
		return resp, c
	}
	var held []net.Conn
	for range most {
		resp, c := get("/up")
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("%d within the limit", resp.StatusCode)
		}
		held = append(held, c)
	}
	for range 3 {
		resp, c := get("/up")
		if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "2" || !resp.Close {
			t.Fatalf("beyond the limit: %d, Retry-After %q, close %v", resp.StatusCode, resp.Header.Get("Retry-After"), resp.Close)
		}
		_ = c.Close()
	}
	_ = held[0].Close()
	for deadline := time.Now().Add(5 * time.Second); ; {
		resp, c := get("/up")
		_ = c.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("a place that came free is not used")
		}
	}
	for _, c := range held[1:] {
		_ = c.Close()
	}
}

// With its peers down a controller holds the connections of all workers. Guards
// against workers that, between their heartbeats, keep users and health checks out.
func TestManyOpenConnectionsCloseThoseOfWorkersNotUsers(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.Settings.Params.Limits.MaxConnections = 1000
	env.addMachine("h1", "batch")
	for _, tc := range []struct {
		open  int
		close bool
	}{{100, false}, {700, true}} {
		controller.Workers.OpenConnections = func() int { return tc.open }
		if _, _, ctx := sendRequest(controller, "POST", "/checkin", env.heartbeat("h1", 1, controller.fencingToken())); ctx.Response.ConnectionClose() != tc.close {
			t.Errorf("%d open connections: a worker's is closed %v", tc.open, ctx.Response.ConnectionClose())
		}
		if code, _, ctx := sendRequest(controller, "GET", "/up", nil); code != http.StatusOK || ctx.Response.ConnectionClose() {
			t.Errorf("%d open connections: health check %d", tc.open, code)
		}
	}
}
