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

// This file drives controllers by requests to their two ports, for the tests of
// answers, pages and metrics. What those tests need of a controller's inside stands
// here and nowhere else in them.

var update = stdflag.Bool("update", false, "rewrite the golden texts")

// httpEnv is an environment whose controllers are asked over HTTP.
type httpEnv struct{ *testEnv }

// newHTTPEnv returns an environment of the controller a, which leads. change alters
// the settings; nil: nothing.
func newHTTPEnv(t *testing.T, change func(*config.Settings)) *httpEnv {
	t.Helper()
	env := &httpEnv{newTestEnv(t, "a")}
	if change != nil {
		env.configure = change
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

// newHTTPEnvWithoutTypes returns an environment of the controller a, which knows no
// machine types.
func newHTTPEnvWithoutTypes(t *testing.T) *httpEnv {
	t.Helper()
	env := newHTTPEnv(t, nil)
	env.store = fake.NewStore()
	env.restartController()
	return env
}

// newHTTPPair returns an environment of the controllers a, which leads, and b.
func newHTTPPair(t *testing.T, change func(*config.Settings)) *httpEnv {
	t.Helper()
	env := &httpEnv{newTestEnv(t, "a")}
	env.configure = change
	labels := []string{"a", "b"}
	env.store.Expire(env.controllers["a"].Self.Incarnation)
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

// labels are the names of the controllers, in order.
func (env *httpEnv) labels() []string { return slices.Sorted(maps.Keys(env.controllers)) }

// stepMembershipInOrder gives every controller, in order, a step of its membership.
func (env *httpEnv) stepMembershipInOrder() {
	env.t.Helper()
	for _, label := range env.labels() {
		env.refreshAll()
		env.stepMembershipOf(label)
	}
	env.refreshAll()
}

// stepMembershipOf gives one controller a step of its membership.
func (env *httpEnv) stepMembershipOf(label string) {
	_ = env.controllers[label].election.MembershipStep(context.Background())
}

// runPassesInOrder lets every controller, in order, make its decisions and store them.
func (env *httpEnv) runPassesInOrder() {
	env.t.Helper()
	for _, label := range env.labels() {
		env.runPassOf(label)
		env.refreshAll()
	}
}

// finishTasksInOrder lets tasks on a machine end, and stores their ends.
func (env *httpEnv) finishTasksInOrder(machineName string, tasks ...string) {
	env.t.Helper()
	env.finishTasks(machineName, tasks...)
	env.clock.add(2 * time.Second) // ends are gathered for a while
	env.runPassesInOrder()
}

// runPassOf lets one controller make its decisions and store them.
func (env *httpEnv) runPassOf(label string) {
	controller := env.controllers[label]
	env.runPass(controller)
	controller.awaitDirectCalls()
}

// rewriteMembership stores the membership once more, unseen: writes that compare its
// version fail.
func (env *httpEnv) rewriteMembership() {
	env.store.Put(membership.RecordKey, env.store.Keys[membership.RecordKey].Value)
}

// refreshMachineTypes lets the leader ask the cloud for the types of machines.
func (env *httpEnv) refreshMachineTypes() {
	env.t.Helper()
	if err := env.leader().leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		env.t.Fatal(err)
	}
	env.refreshAll()
}

// refreshController lets one controller read what is stored.
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

// rejectStoreCalls lets the store reject all calls of one controller.
func (env *httpEnv) rejectStoreCalls(label string) {
	link := env.links[label]
	link.mu.Lock()
	defer link.mu.Unlock()
	link.rejecting = true
}

// expireSession expires the session of a controller; its process does not notice.
func (env *httpEnv) expireSession(label string) {
	env.store.Expire(env.controllers[label].Self.Incarnation)
}

// fencingTokenOf is the fencing token that a controller knows.
func (env *httpEnv) fencingTokenOf(label string) uint64 { return env.controllers[label].fencingToken() }

// machineOwnedBy is the n-th machine name that a controller owns.
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

// storeWaitingJobs stores jobs that wait for a job.
func (env *httpEnv) storeWaitingJobs(number int, dependsOn string) {
	for i := range number {
		spec := arrayJob(fmt.Sprintf("wk-%d", 1000+i), 1)
		spec.DependsOn = []string{dependsOn}
		env.store.Put(jobs.JobKey(spec.ID), wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, Tasks: 1, ChunkSize: 70, Spec: &spec}))
	}
	env.refreshAll()
}

// corruptTeamRecord stores a record of a team's shares that can't be read.
func (env *httpEnv) corruptTeamRecord(team string) {
	env.store.Put(jobs.TeamKey(team), wire.Raw{0xff})
	env.refreshAll()
}

// decideRoleSplits lets the leader decide how the machines of each type are split
// between the roles.
func (env *httpEnv) decideRoleSplits() {
	controller := env.leader()
	controller.Lock()
	defer controller.Unlock()
	now := env.clock.now()
	state, machines := controller.leaderLoop.CurrentTerm(), controller.MachineIndex.RefreshMachines(now)
	controller.leaderLoop.RecordArrivals(state, now)
	controller.leaderLoop.PlanRoleMoves(state, machines, now)
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
	clk := &fakeClock{t: time.Unix(100000, 0)}
	limiter := store.NewLimiter(1000, 1000, 64, clk.now)
	environment := cluster.NewEnvironment(settings("a", []string{"a"}), slog.New(slog.NewTextHandler(io.Discard, nil)), clk.now, fake.NewStore(), limiter)
	return newController(dependencies{Environment: environment, cloud: fake.NewCloud(machineTypes, true), workerClient: unreachableWorkers{}})
}

// exceedMaxConnections makes a controller count more open connections than it allows.
func exceedMaxConnections(controller *Controller) {
	controller.Workers.OpenConnections = func() int { return controller.MaxConnections() + 1 }
}

// portClient sends requests to a port of a controller.
type portClient struct {
	t  *testing.T
	ln interface{ Dial() (net.Conn, error) }
}

// userClient serves a controller's port for users and workers, and returns a client of
// it.
func (env *httpEnv) userClient(t *testing.T, label string) *portClient {
	return serveUserPort(t, env.controllers[label])
}

// serveUserPort serves a controller's port for users and workers, and returns a client
// of it.
func serveUserPort(t *testing.T, controller *Controller) *portClient {
	return servePort(t, controller.httpServer(controller.serveUser, 64))
}

// peerClient serves a controller's port for peers, and returns a client of it.
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

// serveUsersBounded serves a controller's port for users and workers on a listener
// with room for so many connections; those beyond are asked to retry after so many
// seconds.
func serveUsersBounded(controller *Controller, ln net.Listener, most, retryAfterS int) {
	s := controller.httpServer(controller.serveUser, most)
	bounded := &boundedListener{Listener: ln, limit: int64(most), retryAfterS: retryAfterS}
	go func() { _ = s.Serve(bounded) }()
}

// serveFullPort serves a port that has no room for another connection and asks those
// it refuses to retry after so many seconds.
func serveFullPort(t *testing.T, after int) *portClient {
	t.Helper()
	ln := listenOnLoopback(t)
	full := &boundedListener{Listener: ln, limit: 0, retryAfterS: after}
	go func() { _, _ = full.Accept() }()
	return &portClient{t, dialer(ln.Addr().String())}
}

// dialer connects to an address.
type dialer string

func (d dialer) Dial() (net.Conn, error) { return net.Dial("tcp4", string(d)) }

// forwarded returns a user's request as a peer forwards it.
func forwarded(method, path string, body any) []byte {
	r := peer.ForwardRequest{Method: method, Path: path, Body: encoded(body)}
	return r.Encode()
}

// replyText shows the answer to a request that was passed on.
func replyText(t *testing.T, body []byte) string {
	t.Helper()
	r, err := peer.DecodeForwardResponse(body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("status %d retry_after %q\n%s", r.Status, r.RetryAfter, bodyText(wire.ContentType, r.Body))
}

// request is a request in a table; a nil body is none, bytes are sent as they
// are, and anything else is encoded as CBOR.
type request struct {
	name, method, path string
	body               any
}

// encoded is the body of a request.
func encoded(body any) []byte {
	switch b := body.(type) {
	case nil:
		return nil
	case []byte:
		return b
	default:
		return wire.MustMarshal(b)
	}
}

// answer is the answer to a request as it came over the connection.
type answer struct {
	status  string
	headers textproto.MIMEHeader
	body    []byte
}

// send sends a request.
func (client *portClient) send(r request) answer {
	client.t.Helper()
	body := encoded(r.body)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n", r.method, r.path)
	if body != nil || r.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return client.sendRaw(head+"\r\n"+string(body), r.method)
}

// sendRaw sends the bytes of a request on a connection of its own.
func (client *portClient) sendRaw(raw, method string) answer {
	client.t.Helper()
	a, err := client.roundTrip(raw, method)
	if err != nil {
		client.t.Errorf("%q: %v", raw[:min(len(raw), 60)], err)
	}
	return a
}

func (client *portClient) roundTrip(raw, method string) (a answer, err error) {
	conn, err := client.ln.Dial()
	if err != nil {
		return a, err
	}
	defer func() { _ = conn.Close() }() // what was read counts
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return a, err
	}
	go func() { _, _ = io.WriteString(conn, raw) }() // who refuses need not read it
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

// code is the status code of an answer.
func (a answer) code() int {
	code, _ := strconv.Atoi(strings.Fields(a.status + " 0 0")[1])
	return code
}

// String shows an answer: status, headers by name, body.
func (a answer) String() string {
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

// bodyText shows a body: CBOR in diagnostic notation, text as it is, and other
// bytes in hex.
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

// transcript collects requests and their answers for a golden text.
type transcript struct{ strings.Builder }

// add enters a request and what came of it.
func (s *transcript) add(name, request, outcome string) {
	s.WriteString("## " + name + "\n")
	if request != "" {
		s.WriteString(request + "\n")
	}
	s.WriteString(outcome)
	s.WriteByte('\n')
}

// sendEach sends requests one after the other.
func (s *transcript) sendEach(client *portClient, list ...request) {
	client.t.Helper()
	for _, r := range list {
		s.add(r.name, r.method+" "+r.path, client.send(r).String())
	}
}

// concurrentRequests is how many requests sendAll sends at once: fewer than a port
// serves.
const concurrentRequests = 32

// sendAll sends requests, some at once: they share reads of the store.
func (s *transcript) sendAll(client *portClient, list ...request) {
	client.t.Helper()
	for some := range slices.Chunk(list, concurrentRequests) {
		answers := make([]answer, len(some))
		var g sync.WaitGroup
		for i, r := range some {
			g.Go(func() { answers[i] = client.send(r) })
		}
		g.Wait()
		for i, r := range some {
			s.add(r.name, r.method+" "+r.path, answers[i].String())
		}
	}
}
