package controller

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/peer"
	"wheatspur/internal/placement"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// The status code of the response to each kind of user request.
func TestStatusCodesOfUserRequests(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	valid := arrayJob("wk-1", 2)
	unknownTeam := valid
	unknownTeam.Team = "nobody"
	tooLarge := valid
	tooLarge.ID, tooLarge.CPUs = "wk-2", 99
	longDescription := valid
	longDescription.ID = "wk-5"
	for range 32 {
		longDescription.MachineTypes = append(longDescription.MachineTypes, "g"+strings.Repeat("x", 99))
	}
	longDescription.Class, longDescription.Image = strings.Repeat("c", 200), strings.Repeat("b", 200)
	negative := valid
	negative.ID, negative.GPUs = "wk-3", -1
	for _, tc := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"new job", "POST", "/work", valid, http.StatusCreated},
		{"known job", "POST", "/work", valid, http.StatusOK},
		{"known job, malformed now", "POST", "/work", map[string]any{"ref": "wk-1"}, http.StatusOK},
		{"known job, impossible now", "POST", "/work", unknownTeam, http.StatusOK},
		{"not CBOR", "POST", "/work", []byte("{"), http.StatusBadRequest},
		{"not a map", "POST", "/work", []int{1}, http.StatusBadRequest},
		{"a field missing", "POST", "/work", map[string]any{"ref": "wk-9"}, http.StatusBadRequest},
		{"out of range", "POST", "/work", negative, http.StatusBadRequest},
		{"too large to store", "POST", "/work", longDescription, http.StatusUnprocessableEntity},
		{"fits no machine", "POST", "/work", tooLarge, http.StatusUnprocessableEntity},
		{"more than the team's limit", "POST", "/work", serviceJob("wk-4", 9), http.StatusUnprocessableEntity},
		{"poll", "GET", "/work/wk-1", nil, http.StatusOK},
		{"unknown job", "GET", "/work/wk-77", nil, http.StatusNotFound},
		{"no job id", "GET", "/work/x", nil, http.StatusNotFound},
		{"cancel unknown", "POST", "/work/wk-77/cancel", nil, http.StatusNotFound},
		{"unknown path", "GET", "/nothing", nil, http.StatusNotFound},
		{"wrong method", "GET", "/work", nil, http.StatusMethodNotAllowed},
		{"health", "GET", "/up", nil, http.StatusOK},
	} {
		if code, _, _ := sendRequest(controller, tc.method, tc.path, tc.body); code != tc.want {
			t.Errorf("%s: %d, want %d", tc.name, code, tc.want)
		}
	}
}

// A controller that does not know the machine types can't tell whether a job fits, and answers 503,
// never 422.
func TestSubmissionsAreRefusedBeforeMachineTypesAreKnown(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	controller.MachineTypeList = nil
	code, _, response := sendRequest(controller, "POST", "/work", arrayJob("wk-1", 1))
	if code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Fatalf("%d without machine types", code)
	}
}

// During a store outage polls of final states are answered, because these can't change any more. Other
// polls and submissions get 503, and submissions a Retry-After header.
func TestOnlyFinalStatesAreAnsweredDuringAStoreOutage(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.submit(controller, arrayJob("wk-1", 1))
	env.submit(controller, arrayJob("wk-2", 1))
	if code, _, _ := sendRequest(controller, "POST", "/work/wk-2/cancel", nil); code != http.StatusOK {
		t.Fatal(code)
	}
	env.store.Unavailable = true
	env.clock.add(time.Minute)
	for path, want := range map[string]int{"/work/wk-1": http.StatusServiceUnavailable, "/work/wk-2": http.StatusOK, "/work/wk-99": http.StatusServiceUnavailable, "/up": http.StatusOK} {
		if code, _, _ := sendRequest(controller, "GET", path, nil); code != want {
			t.Errorf("GET %s: %d, want %d", path, code, want)
		}
	}
	if code, _, response := sendRequest(controller, "POST", "/work", arrayJob("wk-3", 1)); code != http.StatusServiceUnavailable || len(response.Response.Header.Peek("Retry-After")) == 0 {
		t.Errorf("a submission during an outage: %d", code)
	}
}

// A controller that cannot reach the store is unhealthy only if a peer can, or if it receives nothing
// from any peer either. Guards against a controller that is cut off and refuses every request, but
// attracts all users as the healthy one with the fewest connections.
func TestHealthDependsOnPeersThatReachTheStore(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	env.store.Unavailable = true
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	env.sendPeerStatus(b, a)
	if !isHealthy(a) {
		t.Fatal("unhealthy though no controller reaches the store")
	}
	// The status of its peer is no longer current, so the controller counts as cut off.
	env.clock.add(tuning.PeerFresh + time.Second)
	if isHealthy(a) {
		t.Fatal("healthy though cut off from the store and the peers")
	}
	env.store.Unavailable = false
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	env.sendPeerStatus(b, a)
	if isHealthy(a) || !isHealthy(b) {
		t.Fatalf("controller that is cut off: healthy %v, its peer: healthy %v", isHealthy(a), isHealthy(b))
	}
}

// A controller that cannot reach the store forwards user requests to a peer that can, so that users
// get the usual responses.
func TestRequestsAreForwardedToAPeerThatReachesTheStore(t *testing.T) {
	env := newTestEnv(t, "a", "b")
	a, b := env.controllers["a"], env.controllers["b"]
	ln := listenOnLoopback(t)
	servePeersOn(b, ln)
	a.Peers.Siblings["b"].Client = peer.NewClient(ln.Addr().String())
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	if err := b.Syncer.ReadBarrier(time.Second); err != nil {
		t.Fatal(err)
	}
	env.sendPeerStatus(b, a)
	a.Store = nil // any use of the store by this controller would panic
	if code, _, _ := sendRequest(a, "POST", "/work", arrayJob("wk-1", 1)); code != http.StatusCreated {
		t.Fatalf("submission: %d", code)
	}
	if code, status, _ := sendRequest(a, "POST", "/work/wk-1/cancel", nil); code != http.StatusOK || status.State != wire.StateCancelled {
		t.Fatalf("cancellation: %d %+v", code, status)
	}
	if code, _, _ := sendRequest(a, "GET", "/work/wk-2", nil); code != http.StatusNotFound {
		t.Fatalf("poll of an unknown job: %d", code)
	}
}

// The status page shows the leader and the pending jobs with the reason. The metrics show the leader,
// the pending tasks and the counts of responses.
func TestStatusAndMetricsShowLeaderAndPendingJobs(t *testing.T) {
	env := newTestEnv(t, "a")
	controller := env.controllers["a"]
	env.submit(controller, serviceJob("wk-1", 1))
	env.runPasses()
	_, _, response := sendRequest(controller, "GET", "/status", nil)
	if body := string(response.Response.Body()); !strings.Contains(body, "leader a") || !strings.Contains(body, "waiting wk-1 tasks 1 because "+placement.ReasonNoRoom) {
		t.Fatalf("status:\n%s", body)
	}
	_, _, response = sendRequest(controller, "GET", "/metrics", nil)
	body := string(response.Response.Body())
	for _, want := range []string{"wheatspur_leader 1", "wheatspur_tasks_without_place 1", `wheatspur_answers_total{request="submission",status="201"} 1`} {
		if !strings.Contains(body, want) {
			t.Errorf("metrics lack %s:\n%s", want, body)
		}
	}
}
