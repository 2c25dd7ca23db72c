package controller

import (
	"net/http"
	"testing"

	"wheatspur/internal/golden"
	"wheatspur/internal/peer"
	"wheatspur/wire"
)

// Responses of the peer port to unknown paths, wrong methods and malformed messages.
func TestResponsesOfThePeerPort(t *testing.T) {
	env := newHTTPPair(t, nil)
	client := env.peerClient(t, "a")
	var record transcript
	for _, path := range []string{"/", "/up", "/status", "/metrics", "/work", "/work/wk-1", "/checkin", "/peer", "/peer/", "/peer/status/"} {
		record.sendEach(client, request{"unknown path", "GET", path, nil}, request{"unknown path", "POST", path, nil})
	}
	for _, path := range []string{"/peer/status", "/peer/forward"} {
		for _, method := range methods {
			if method != "POST" {
				record.sendEach(client, request{"wrong method", method, path, nil})
			}
		}
		record.sendEach(client,
			request{"no body", "POST", path, nil},
			request{"short", "POST", path, []byte("short")},
			request{"bad offsets", "POST", path, []byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0}},
			request{"CBOR", "POST", path, map[string]string{"label": "b", "more": "0123456789"}},
		)
	}
	record.sendEach(client,
		request{"a path that is not passed on", "POST", "/peer/forward", forwarded("GET", "/up", nil)},
		request{"reports are not passed on", "POST", "/peer/forward", forwarded("POST", "/checkin", wire.Heartbeat{Machine: "h1", Incarnation: 1})},
		request{"an empty path", "POST", "/peer/forward", forwarded("GET", "", nil)},
		request{"work with a suffix", "POST", "/peer/forward", forwarded("GET", "/workers", nil)},
	)
	unknown := peer.Status{Label: "q", Incarnation: 99, FencingToken: 1, Revision: 1}
	record.sendEach(client, request{"status of a node that is no sibling", "POST", "/peer/status", unknown.Encode()})
	golden.CheckText(t, "peer.golden", record.String(), *update)
}

// Responses to user requests that a peer forwards, also without the store and during a graceful
// stop.
func TestResponsesToForwardedRequests(t *testing.T) {
	env := newHTTPPair(t, nil)
	client := env.peerClient(t, "a")
	var record transcript
	forward := func(name, method, path string, body any) {
		a := client.send(request{name, "POST", "/peer/forward", forwarded(method, path, body)})
		if a.code() != http.StatusOK || a.headers.Get("Content-Type") != "text/plain; charset=utf-8" {
			t.Fatalf("%s: %v", name, a)
		}
		record.add(name, method+" "+path, forwardResponseText(t, a.body))
	}
	forward("new", "POST", "/work", arrayJob("wk-1", 1))
	forward("known", "POST", "/work", arrayJob("wk-1", 1))
	forward("malformed", "POST", "/work", []byte("{"))
	forward("unknown team", "POST", "/work", jobSpecWith(t, "ref", "wk-2", "crew", "nobody"))
	forward("poll", "GET", "/work/wk-1", nil)
	forward("poll of an unknown job", "GET", "/work/wk-77", nil)
	forward("poll of no job id", "GET", "/work/seven", nil)
	forward("cancel", "POST", "/work/wk-1/cancel", nil)
	forward("cancel of an unknown job", "POST", "/work/wk-77/cancel", nil)
	env.store.Unavailable = true
	forward("new, without the state service", "POST", "/work", arrayJob("wk-3", 1))
	forward("poll, without the state service", "GET", "/work/wk-77", nil)
	env.store.Unavailable = false
	env.drainController("a")
	forward("new, at a node that stops", "POST", "/work", arrayJob("wk-4", 1))
	golden.CheckText(t, "peer-forward.golden", record.String(), *update)
}
