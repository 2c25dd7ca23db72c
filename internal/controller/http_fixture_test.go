package controller

import (
	"bufio"
	"context"
	"encoding/hex"
	stdflag "flag"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/jobs"
	"wheatspur/internal/membership"
	"wheatspur/internal/peer"
	"wheatspur/internal/store"
	"wheatspur/wire"
)

// This file sends requests to the two ports of controllers, for the tests of responses, pages and
// metrics. It holds all access of those tests to the internals of a controller.

var update = stdflag.Bool("update", false, "rewrite the golden files")

// httpEnv is an environment whose controllers are accessed over HTTP.
type httpEnv struct{ *testEnv }

// newHTTPEnv returns an environment of one controller, a, which is the leader. configure, if not
// nil, changes the settings.
func newHTTPEnv(t *testing.T, configure func(*config.Settings)) *httpEnv {
	t.Helper()
	env := &httpEnv{newTestEnv(t, "a")}
	if configure != nil {
		env.configure = configure
		env.restartController()
		env.refreshMachineTypes()
	}
	return env
}

// restartController replaces the process of the controller a.
func (env *httpEnv) restartController() {
	env.t.Helper()
	env.restartAll("a")
}

// newHTTPEnvWithoutTypes returns an environment of one controller, a, which knows no machine types.
func newHTTPEnvWithoutTypes(t *testing.T) *httpEnv {
	t.Helper()
	env := newHTTPEnv(t, nil)
	env.store = fake.NewStore()
	env.restartController()
	return env
}

// newHTTPPair returns an environment of two controllers, a, which is the leader, and b.
func newHTTPPair(t *testing.T, configure func(*config.Settings)) *httpEnv {
	t.Helper()
	env := &httpEnv{newTestEnv(t, "a")}
	env.configure = configure
	labels := []string{"a", "b"}
	env.store.ExpireLease(env.controllers["a"].Self.Incarnation)
	delete(env.controllers, "a")
	for _, label := range labels {
		env.startController(label, labels)
		for range 6 {
			env.stepMembershipInOrder()
		}
	}
	env.refreshMachineTypes()
	env.runPassesInOrder()
	return env
}

// labels returns the sorted labels of the controllers.
func (env *httpEnv) labels() []string { return slices.Sorted(maps.Keys(env.controllers)) }

// stepMembershipInOrder runs one membership step on every controller, in order of their labels.
func (env *httpEnv) stepMembershipInOrder() {
	env.t.Helper()
	for _, label := range env.labels() {
		env.refreshAll()
		env.stepMembershipOf(label)
	}
	env.refreshAll()
}

// stepMembershipOf runs one membership step on one controller.
func (env *httpEnv) stepMembershipOf(label string) {
	_ = env.controllers[label].election.MembershipStep(context.Background())
}

// runPassesInOrder runs one scheduling pass on every controller, in order of their labels, and
// commits its writes.
func (env *httpEnv) runPassesInOrder() {
	env.t.Helper()
	for _, label := range env.labels() {
		env.runPassOf(label)
		env.refreshAll()
	}
}

// finishTasksInOrder reports that tasks on a machine have exited, and makes the controllers store
// it.
func (env *httpEnv) finishTasksInOrder(machineName string, tasks ...string) {
	env.t.Helper()
	env.finishTasks(machineName, tasks...)
	env.clock.add(2 * time.Second) // releases are collected for tuning.ReleaseBatchDelay before they are stored
	env.runPassesInOrder()
}

// runPassOf runs one scheduling pass on one controller, commits its writes and waits for its direct
// calls.
func (env *httpEnv) runPassOf(label string) {
	controller := env.controllers[label]
	env.runPass(controller)
	controller.awaitDirectCalls()
}

// rewriteMembership stores the same membership again without refreshing the controllers, so that
// their writes that compare its version fail.
func (env *httpEnv) rewriteMembership() {
	env.store.Put(membership.RecordKey, env.store.Keys[membership.RecordKey].Value)
}

// refreshMachineTypes makes the leader request the machine types from the cloud.
func (env *httpEnv) refreshMachineTypes() {
	env.t.Helper()
	if err := env.leader().leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		env.t.Fatal(err)
	}
	env.refreshAll()
}

// refreshController makes one controller read the latest state from the store.
func (env *httpEnv) refreshController(label string) {
	env.t.Helper()
	if err := env.controllers[label].Syncer.Refresh(context.Background()); err != nil {
		env.t.Fatal(err)
	}
}

// sendStatus sends the status of one controller to another.
func (env *httpEnv) sendStatus(from, to string) {
	env.sendPeerStatus(env.controllers[from], env.controllers[to])
}

// rejectStoreCalls makes the store reject all calls of one controller.
func (env *httpEnv) rejectStoreCalls(label string) {
	link := env.links[label]
	link.mu.Lock()
	defer link.mu.Unlock()
	link.rejecting = true
}

// expireSession expires the session lease of a controller without telling the controller.
func (env *httpEnv) expireSession(label string) {
	env.store.ExpireLease(env.controllers[label].Self.Incarnation)
}

// fencingTokenOf returns the fencing token that a controller knows.
func (env *httpEnv) fencingTokenOf(label string) uint64 { return env.controllers[label].fencingToken() }

// machineOwnedBy returns the n-th machine name, counted from 0, that a controller owns.
func (env *httpEnv) machineOwnedBy(label string, nth int) string {
	for i := 0; ; i++ {
		machineName := fmt.Sprintf("host-%03d", i)
		if owner, _ := env.ownerOf(machineName); owner != env.controllers[label] {
			continue
		}
		if nth == 0 {
			return machineName
		}
		nth--
	}
}

// storeWaitingJobs stores jobs that depend on the given job.
func (env *httpEnv) storeWaitingJobs(count int, dependsOn string) {
	for i := range count {
		spec := arrayJob(fmt.Sprintf("wk-%d", 1000+i), 1)
		spec.DependsOn = []string{dependsOn}
		env.store.Put(jobs.JobKey(spec.ID), wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, Tasks: 1, TasksPerChunk: 70, Spec: &spec}))
	}
	env.refreshAll()
}

// corruptTeamRecord replaces the record of a team's shares by one that cannot be decoded.
func (env *httpEnv) corruptTeamRecord(team string) {
	env.store.Put(jobs.TeamKey(team), wire.Raw{0xff})
	env.refreshAll()
}

// decideRoleSplits makes the leader decide how to split the machines of each type between the
// roles.
func (env *httpEnv) decideRoleSplits() {
	controller := env.leader()
	controller.Lock()
	defer controller.Unlock()
	now := env.clock.now()
	term, machines := controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(now)
	controller.leaderLoop.RecordArrivals(term, now)
	controller.leaderLoop.PlanRoleMoves(term, machines, now)
}

// drainController stops a controller gracefully.
func (env *httpEnv) drainController(label string) {
	env.t.Helper()
	if err := env.controllers[label].Drain(context.Background()); err != nil {
		env.t.Fatal(err)
	}
}

// newStandaloneController returns a controller that has read nothing from the store yet.
func newStandaloneController(t *testing.T) *Controller {
	clock := &fakeClock{t: time.Unix(100000, 0)}
	limiter := store.NewLimiter(1000, 1000, 64, clock.now)
	environment := cluster.NewEnvironment(settings("a", []string{"a"}), slog.New(slog.NewTextHandler(io.Discard, nil)), clock.now, fake.NewStore(), limiter)
	return newController(dependencies{Environment: environment, cloud: fake.NewCloud(machineTypes, true), workerClient: unreachableWorkers{}})
}

// exceedMaxConnections makes a controller count one open connection more than it allows.
func exceedMaxConnections(controller *Controller) {
	controller.Workers.OpenConnections = func() int { return controller.MaxConnections() + 1 }
}

// portClient sends requests to a port of a controller.
type portClient struct {
	t      *testing.T
	dialer interface{ Dial() (net.Conn, error) }
}

// userClient serves a controller's port for users and workers, and returns a client for it.
func (env *httpEnv) userClient(t *testing.T, label string) *portClient {
	return serveUserPort(t, env.controllers[label])
}

// serveUserPort serves a controller's port for users and workers, and returns a client for it.
func serveUserPort(t *testing.T, controller *Controller) *portClient {
	return servePort(t, controller.httpServer(controller.serveUser, 64))
}

// peerClient serves a controller's port for peers, and returns a client for it.
func (env *httpEnv) peerClient(t *testing.T, label string) *portClient {
	controller := env.controllers[label]
	return servePort(t, controller.httpServer(controller.servePeer, 64))
}

func servePort(t *testing.T, s *fasthttp.Server) *portClient {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return &portClient{t, ln}
}

// listenOnLoopback returns a listener that is closed when the test ends.
func listenOnLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// servePeersOn serves a controller's port for peers on a listener.
func servePeersOn(controller *Controller, ln net.Listener) {
	s := controller.httpServer(controller.servePeer, 64)
	go func() { _ = s.Serve(ln) }()
}

// serveUsersBounded serves a controller's port for users and workers on a listener, which allows up
// to limit connections and asks further clients to retry after retryAfterS seconds.
func serveUsersBounded(controller *Controller, ln net.Listener, limit, retryAfterS int) {
	s := controller.httpServer(controller.serveUser, limit)
	bounded := &boundedListener{Listener: ln, limit: int64(limit), retryAfterS: retryAfterS}
	go func() { _ = s.Serve(bounded) }()
}

// serveFullPort serves a port that refuses every connection and asks clients to retry after
// retryAfterS seconds.
func serveFullPort(t *testing.T, retryAfterS int) *portClient {
	t.Helper()
	ln := listenOnLoopback(t)
	full := &boundedListener{Listener: ln, limit: 0, retryAfterS: retryAfterS}
	go func() { _, _ = full.Accept() }()
	return &portClient{t, tcpDialer(ln.Addr().String())}
}

// tcpDialer connects to an address.
type tcpDialer string

func (d tcpDialer) Dial() (net.Conn, error) { return net.Dial("tcp4", string(d)) }

// forwarded returns the encoding of a user request that a peer forwards.
func forwarded(method, path string, body any) []byte {
	r := peer.ForwardRequest{Method: method, Path: path, Body: encodeBody(body)}
	return r.Encode()
}

// forwardResponseText formats the response to a forwarded request.
func forwardResponseText(t *testing.T, body []byte) string {
	t.Helper()
	r, err := peer.DecodeForwardResponse(body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("status %d retry_after %q\n%s", r.Status, r.RetryAfter, bodyText(wire.ContentType, r.Body))
}

// request is a request of a test table. A nil body sends none, a []byte body is sent as it is, and
// any other body is encoded as CBOR.
type request struct {
	name, method, path string
	body               any
}

// encodeBody returns the bytes of a request body.
func encodeBody(body any) []byte {
	switch b := body.(type) {
	case nil:
		return nil
	case []byte:
		return b
	default:
		return wire.MustMarshal(b)
	}
}

// httpResponse is an HTTP response as received over the connection.
type httpResponse struct {
	status  string
	headers textproto.MIMEHeader
	body    []byte
}

// send sends a request and returns its response.
func (client *portClient) send(r request) httpResponse {
	client.t.Helper()
	body := encodeBody(r.body)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n", r.method, r.path)
	if body != nil || r.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return client.sendRaw(head+"\r\n"+string(body), r.method)
}

// sendRaw sends the bytes of a request on a new connection and returns the response.
func (client *portClient) sendRaw(raw, method string) httpResponse {
	client.t.Helper()
	a, err := client.roundTrip(raw, method)
	if err != nil {
		client.t.Errorf("%q: %v", raw[:min(len(raw), 60)], err)
	}
	return a
}

func (client *portClient) roundTrip(raw, method string) (a httpResponse, err error) {
	conn, err := client.dialer.Dial()
	if err != nil {
		return a, err
	}
	defer func() { _ = conn.Close() }() // an error here does not affect what was read
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return a, err
	}
	go func() { _, _ = io.WriteString(conn, raw) }() // the write may fail if the server refuses the connection unread
	r := textproto.NewReader(bufio.NewReader(conn))
	if a.status, err = r.ReadLine(); err != nil {
		return a, err
	}
	if a.headers, err = r.ReadMIMEHeader(); err != nil {
		return a, err
	}
	if method == "HEAD" {
		return a, nil
	}
	length, err := strconv.Atoi(a.headers.Get("Content-Length"))
	if err != nil {
		return a, err
	}
	a.body = make([]byte, length)
	_, err = io.ReadFull(r.R, a.body)
	return a, err
}

// code returns the status code of the response, or 0 if the status line has none.
func (a httpResponse) code() int {
	code, _ := strconv.Atoi(strings.Fields(a.status + " 0 0")[1])
	return code
}

// String formats the status line, the headers sorted by name, and the body.
func (a httpResponse) String() string {
	var b strings.Builder
	fmt.Fprintln(&b, a.status)
	for _, name := range slices.Sorted(maps.Keys(a.headers)) {
		value := strings.Join(a.headers[name], ", ")
		if name == "Date" {
			value = "(now)"
		}
		fmt.Fprintf(&b, "%s: %s\n", name, value)
	}
	b.WriteString(bodyText(a.headers.Get("Content-Type"), a.body))
	return b.String()
}

// bodyText formats a body: CBOR in diagnostic notation, text unchanged, and other bytes in
// hexadecimal.
func bodyText(contentType string, body []byte) string {
	if len(body) == 0 {
		return ""
	}
	if contentType == wire.ContentType {
		text, err := cbor.Diagnose(body)
		if err != nil {
			return fmt.Sprintf("not CBOR: %x\n", body)
		}
		return text + "\n"
	}
	for _, b := range body {
		if b < ' ' && b != '\n' && b != '\t' {
			return hex.EncodeToString(body) + "\n"
		}
	}
	return strings.TrimSuffix(string(body), "\n") + "\n"
}

// transcript collects requests and their responses for comparison with a golden file.
type transcript struct{ strings.Builder }

// add appends a request and its outcome.
func (s *transcript) add(name, request, outcome string) {
	s.WriteString("## " + name + "\n")
	if request != "" {
		s.WriteString(request + "\n")
	}
	s.WriteString(outcome)
	s.WriteByte('\n')
}

// sendEach sends requests one after the other and appends their responses.
func (s *transcript) sendEach(client *portClient, list ...request) {
	client.t.Helper()
	for _, r := range list {
		s.add(r.name, r.method+" "+r.path, client.send(r).String())
	}
}

// concurrentRequests is the number of requests that sendAll sends at once. It is lower than the
// number of connections that a port allows.
const concurrentRequests = 32

// sendAll sends requests concurrently in batches, so that they share reads of the store, and appends
// their responses in order.
func (s *transcript) sendAll(client *portClient, list ...request) {
	client.t.Helper()
	for batch := range slices.Chunk(list, concurrentRequests) {
		answers := make([]httpResponse, len(batch))
		var group sync.WaitGroup
		for i, r := range batch {
			group.Go(func() { answers[i] = client.send(r) })
		}
		group.Wait()
		for i, r := range batch {
			s.add(r.name, r.method+" "+r.path, answers[i].String())
		}
	}
}
