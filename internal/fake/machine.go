package fake

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"wheatspur/wire"
)

// Machine runs a worker over HTTP: it reports to the controllers and takes
// direct calls.
type Machine struct {
	worker  *Worker
	mu      *sync.Mutex // guards the worker; machines that are watched together share it
	nodes   []Node
	links   map[string]*Link // to each node, by label
	lease   time.Duration
	report  time.Duration
	client  *fasthttp.Client
	current int // node that it reports to
}

// Node is where a controller takes reports.
type Node struct{ Label, Address string }

// machineTick is how often a machine looks whether something is due, and the
// least time between its reports.
const machineTick = 40 * time.Millisecond

// reportTimeout is how long a worker waits for the answer to a report.
const reportTimeout = 4 * time.Second

// tryNext is the pause before the next node is tried.
const tryNext = 200 * time.Millisecond

// NewMachine returns a machine for a worker, whose times are those of the
// settings. mu guards the worker.
func NewMachine(w *Worker, mu *sync.Mutex, nodes []Node, seed uint64, report, lease time.Duration) *Machine {
	links := map[string]*Link{}
	for i, n := range nodes {
		links[n.Label] = NewLink(seed + uint64(i))
	}
	w.Session, w.Tasks, w.Renewed = 1, map[string]*Task{}, time.Now()
	return &Machine{worker: w, mu: mu, nodes: nodes, links: links, lease: lease, report: report,
		client: &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
}

// Link is the machine's way to a node.
func (m *Machine) Link(label string) *Link { return m.links[label] }

// Serve takes direct calls until the listener is closed.
func (m *Machine) Serve(l net.Listener) error {
	return serve(l, NewLink(0), func(c *fasthttp.RequestCtx) {
		m.mu.Lock()
		defer m.mu.Unlock()
		status, report := 200, wire.Heartbeat{}
		if c.IsPost() {
			var r wire.CommandRequest
			if err := wire.Unmarshal(c.PostBody(), &r); err != nil {
				c.SetStatusCode(400)
				return
			}
			status, report = m.worker.Take(time.Now(), r)
		} else {
			report = m.worker.Report()
		}
		c.SetStatusCode(status)
		c.SetBody(wire.MustMarshal(report))
	})
}

// Run lets the machine live until ctx ends.
func (m *Machine) Run(ctx context.Context) error {
	var reported time.Time
	for ctx.Err() == nil {
		m.mu.Lock()
		now := time.Now()
		if now.Sub(m.worker.Renewed) > m.lease {
			m.worker.EndSession(now)
		}
		changed := m.worker.Advance(now)
		m.mu.Unlock()
		if changed || now.Sub(reported) >= m.report {
			reported = now
			m.tell(ctx)
		}
		rest(ctx, machineTick)
	}
	return nil
}

// tell sends a report and follows the answer.
func (m *Machine) tell(ctx context.Context) {
	m.mu.Lock()
	sent, session := time.Now(), m.worker.Session
	report := m.worker.Report()
	m.mu.Unlock()
	node := m.nodes[m.current]
	status, body := m.post(node, wire.MustMarshal(report))
	switch status {
	case 200:
		var r wire.HeartbeatResponse
		m.mu.Lock()
		defer m.mu.Unlock()
		if wire.Unmarshal(body, &r) == nil && m.worker.Session == session && m.worker.Answered(sent, r) {
			m.worker.CarryOut(time.Now(), r.Commands)
		}
		return
	case 421:
		var r wire.Redirect
		if wire.Unmarshal(body, &r) == nil && m.follow(r.Node) {
			return
		}
	}
	m.current = (m.current + 1) % len(m.nodes)
	rest(ctx, tryNext)
}

// follow turns to a node that was named; false if it is the present one or not
// known.
func (m *Machine) follow(label string) bool {
	for i, n := range m.nodes {
		if n.Label == label && i != m.current {
			m.current = i
			return true
		}
	}
	return false
}

// post sends a report over the link to a node; 0 if there is no answer.
func (m *Machine) post(n Node, body []byte) (int, []byte) {
	f := m.links[n.Label].next()
	time.Sleep(f.delay)
	if f.cut || f.refuse {
		return 0, nil
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + n.Address + "/checkin")
	req.SetBody(body)
	if err := m.client.DoTimeout(req, resp, reportTimeout); err != nil || f.lost {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// rest waits, or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
