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

// This file drives nodes by requests to their two ports, for the tests of
// answers, pages and metrics. What those tests need of a node's inside stands
// here and nowhere else in them.

var update = stdflag.Bool("update", false, "rewrite the golden texts")

// portCluster is a world whose nodes are asked over HTTP.
type portCluster struct{ *world }

// newCluster returns a cluster of the node a, which leads. change alters the
// settings; nil: nothing.
func newCluster(t *testing.T, change func(*config.Settings)) *portCluster {
	t.Helper()
	c := &portCluster{newWorld(t, "a")}
	if change != nil {
		c.operator = change
		c.restart()
		c.readTypes()
	}
	return c
}

// restart replaces the process of the node a.
func (c *portCluster) restart() {
	c.t.Helper()
	c.again("a")
}

// newWithoutTypes returns a cluster of the node a, which nobody has told the types
// of machines.
func newWithoutTypes(t *testing.T) *portCluster {
	t.Helper()
	c := newCluster(t, nil)
	c.st = fake.NewStore()
	c.restart()
	return c
}

// newPair returns a cluster of the nodes a, which leads, and b.
func newPair(t *testing.T, change func(*config.Settings)) *portCluster {
	t.Helper()
	c := &portCluster{newWorld(t, "a")}
	c.operator = change
	labels := []string{"a", "b"}
	c.st.Expire(c.nodes["a"].Self.Incarnation)
	delete(c.nodes, "a")
	for _, label := range labels {
		c.start(label, labels)
		for range 6 {
			c.step()
		}
	}
	c.readTypes()
	c.round()
	return c
}

// labels are the names of the nodes, in order.
func (c *portCluster) labels() []string { return slices.Sorted(maps.Keys(c.nodes)) }

// step gives every node, in order, a step of its membership.
func (c *portCluster) step() {
	c.t.Helper()
	for _, label := range c.labels() {
		c.sync()
		c.stepOf(label)
	}
	c.sync()
}

// stepOf gives one node a step of its membership.
func (c *portCluster) stepOf(label string) {
	_ = c.nodes[label].election.MembershipStep(context.Background())
}

// round lets every node, in order, make its decisions and store them.
func (c *portCluster) round() {
	c.t.Helper()
	for _, label := range c.labels() {
		c.passOnce(label)
		c.sync()
	}
}

// finishAll lets tasks on a machine end, and stores their ends.
func (c *portCluster) finishAll(host string, tasks ...string) {
	c.t.Helper()
	c.finish(host, tasks...)
	c.clk.add(2 * time.Second) // ends are gathered for a while
	c.round()
}

// passOnce lets one node make its decisions and store them.
func (c *portCluster) passOnce(label string) {
	n := c.nodes[label]
	c.pass(n)
	n.awaitCalls()
}

// changeMembership stores the membership once more, unseen: writes that are
// guarded by the one before fail.
func (c *portCluster) changeMembership() {
	c.st.Put(membership.Key, c.st.Keys[membership.Key].Value)
}

// readTypes lets the leader ask the cloud for the types of machines.
func (c *portCluster) readTypes() {
	c.t.Helper()
	if err := c.leader().leaderLoop.RefreshMachineTypes(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	c.sync()
}

// refresh lets one node read what is stored.
func (c *portCluster) refresh(label string) {
	c.t.Helper()
	if err := c.nodes[label].Syncer.Refresh(context.Background()); err != nil {
		c.t.Fatal(err)
	}
}

// tellStatus sends the status of one node to another.
func (c *portCluster) tellStatus(from, to string) { c.exchange(c.nodes[from], c.nodes[to]) }

// cutOff refuses a node alone the state service.
func (c *portCluster) cutOff(label string) {
	way := c.way[label]
	way.mu.Lock()
	defer way.mu.Unlock()
	way.refuse = true
}

// endSession ends the session of a node in the state service; its process does
// not notice.
func (c *portCluster) endSession(label string) { c.st.Expire(c.nodes[label].Self.Incarnation) }

// token is the fencing token that a node knows.
func (c *portCluster) token(label string) uint64 { return c.nodes[label].membershipToken() }

// hostOf is the n-th machine name that a node owns.
func (c *portCluster) hostOf(label string, nth int) string {
	for i := 0; ; i++ {
		host := fmt.Sprintf("host-%03d", i)
		if owner, _ := c.owner(host); owner != c.nodes[label] {
			continue
		}
		if nth == 0 {
			return host
		}
		nth--
	}
}

// waitingJobs stores jobs that wait for a job.
func (c *portCluster) waitingJobs(number int, dependsOn string) {
	for i := range number {
		spec := work(fmt.Sprintf("wk-%d", 1000+i), 1)
		spec.DependsOn = []string{dependsOn}
		c.st.Put(jobs.JobKey(spec.ID), wire.MustMarshal(jobs.Record{Phase: jobs.Waiting, Tasks: 1, ChunkSize: 70, Spec: &spec}))
	}
	c.sync()
}

// damageTeam stores a record of a team's shares that can't be read.
func (c *portCluster) damageTeam(team string) {
	c.st.Put(jobs.TeamKey(team), wire.Raw{0xff})
	c.sync()
}

// decideSplits lets the leader decide how the machines of each type are split
// between the roles.
func (c *portCluster) decideSplits() {
	n := c.leader()
	n.Lock()
	defer n.Unlock()
	now := c.clk.now()
	l, machines := n.leaderLoop.CurrentLeaderState(), n.MachineIndex.RefreshMachines(now)
	n.leaderLoop.RecordArrivals(l, now)
	n.leaderLoop.MoveRoles(l, machines, now)
}

// drain stops a node cleanly.
func (c *portCluster) drain(label string) {
	c.t.Helper()
	if err := c.nodes[label].Drain(context.Background()); err != nil {
		c.t.Fatal(err)
	}
}

// newUnread returns a node that has read nothing from the state service yet.
func newUnread(t *testing.T) *Controller {
	clk := &clock{t: time.Unix(100000, 0)}
	limiter := store.NewLimiter(1000, 1000, 64, clk.now)
	environment := cluster.NewEnvironment(settings("a", []string{"a"}), slog.New(slog.NewTextHandler(io.Discard, nil)), clk.now, fake.NewStore(), limiter)
	return newController(dependencies{Environment: environment, cloud: fake.NewCloud(machineTypes, true), workerClient: unanswered{}})
}

// crowded makes a node take connections of users and workers for many.
func crowded(n *Controller) { n.Workers.OpenConnections = func() int { return n.MaxConnections() + 1 } }

// port is a port of a node.
type port struct {
	t  *testing.T
	ln interface{ Dial() (net.Conn, error) }
}

// user opens a node's port for users and workers.
func (c *portCluster) user(t *testing.T, label string) *port { return userPort(t, c.nodes[label]) }

// userPort opens a node's port for users and workers.
func userPort(t *testing.T, n *Controller) *port { return servePort(t, n.httpServer(n.serveUser, 64)) }

// peer opens a node's port for the other nodes.
func (c *portCluster) peer(t *testing.T, label string) *port {
	n := c.nodes[label]
	return servePort(t, n.httpServer(n.servePeer, 64))
}

func servePort(t *testing.T, s *fasthttp.Server) *port {
	t.Helper()
	ln := fasthttputil.NewInmemoryListener()
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = ln.Close() })
	return &port{t, ln}
}

// servePeers serves a node's port for the other nodes on loopback.
func (c *portCluster) servePeers(label string, ln net.Listener) {
	n := c.nodes[label]
	s := n.httpServer(n.servePeer, 64)
	go func() { _ = s.Serve(ln) }()
}

// fullPort is a port that has no room for a connection more; who is refused
// should come back after so many seconds.
func fullPort(t *testing.T, after int) *port {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	full := &boundedListener{Listener: ln, max: 0, retryAfterS: after}
	go func() { _, _ = full.Accept() }()
	t.Cleanup(func() { _ = ln.Close() })
	return &port{t, dialer(ln.Addr().String())}
}

// dialer connects to an address.
type dialer string

func (d dialer) Dial() (net.Conn, error) { return net.Dial("tcp4", string(d)) }

// forwarded is a user's request as another node passes it on.
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

// ask sends a request.
func (p *port) ask(r request) answer {
	p.t.Helper()
	body := encoded(r.body)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\n", r.method, r.path)
	if body != nil || r.method == "POST" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return p.send(head+"\r\n"+string(body), r.method)
}

// send sends the bytes of a request on a connection of its own.
func (p *port) send(raw, method string) answer {
	p.t.Helper()
	a, err := p.exchange(raw, method)
	if err != nil {
		p.t.Errorf("%q: %v", raw[:min(len(raw), 60)], err)
	}
	return a
}

func (p *port) exchange(raw, method string) (a answer, err error) {
	conn, err := p.ln.Dial()
	if err != nil {
		return a, err
	}
	defer conn.Close()
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
	fmt.Fprintf(s, "## %s\n", name)
	if request != "" {
		fmt.Fprintln(s, request)
	}
	s.WriteString(outcome)
	s.WriteByte('\n')
}

// askEach sends requests one after the other.
func (s *transcript) askEach(p *port, list ...request) {
	p.t.Helper()
	for _, r := range list {
		s.add(r.name, r.method+" "+r.path, p.ask(r).String())
	}
}

// askedAtOnce is how many requests askAll sends at once: fewer than a port serves.
const askedAtOnce = 32

// askAll sends requests, some at once: they share what is read from the state
// service.
func (s *transcript) askAll(p *port, list ...request) {
	p.t.Helper()
	for some := range slices.Chunk(list, askedAtOnce) {
		answers := make([]answer, len(some))
		var g sync.WaitGroup
		for i, r := range some {
			g.Go(func() { answers[i] = p.ask(r) })
		}
		g.Wait()
		for i, r := range some {
			s.add(r.name, r.method+" "+r.path, answers[i].String())
		}
	}
}
