package controller

import (
	"testing"
	"time"

	"wheatspur/internal/golden"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// reporter is a worker that sends heartbeats, numbered in order.
type reporter struct {
	host     string
	session  uint64
	token    uint64
	sequence uint64
}

// next is the worker's next heartbeat.
func (r *reporter) next(name string, tasks ...wire.TaskStatus) request {
	r.sequence++
	return r.again(name, tasks...)
}

// again is a heartbeat with the number of the last one.
func (r *reporter) again(name string, tasks ...wire.TaskStatus) request {
	return request{name, "POST", "/checkin", wire.Heartbeat{Machine: r.host, Address: "10.9.9.9:1", MachineType: "g", Zone: "z",
		Incarnation: r.session, Sequence: r.sequence, FencingToken: r.token, Tasks: tasks}}
}

// task is a task in a heartbeat.
func task(name string, attempt uint64, state, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: state, ExitCause: cause}
}

// Heartbeats that are refused before anything is looked up.
func TestAnswersToMalformedHeartbeats(t *testing.T) {
	c := newCluster(t, nil)
	p := c.user(t, "a")
	report := func(name string, body any) request { return request{name, "POST", "/checkin", body} }
	var s transcript
	s.askEach(p,
		report("no body", nil),
		report("not CBOR", []byte("{")),
		report("a list", []int{1}),
		report("null", []byte{0xf6}),
		report("an empty map", map[string]any{}),
		report("no host", wire.Heartbeat{Incarnation: 1, Sequence: 1}),
		report("no session", wire.Heartbeat{Machine: "h1", Sequence: 1}),
		report("host is a number", map[string]any{"host": 7, "stint": 1}),
		report("session is a text", map[string]any{"host": "h1", "stint": "1"}),
		report("session below 0", map[string]any{"host": "h1", "stint": -1}),
		report("tasks are a text", map[string]any{"host": "h1", "stint": 1, "shards": "wk-1/0"}),
		report("bytes after the map", append(wire.MustMarshal(wire.Heartbeat{Machine: "h1", Incarnation: 1}), 0)),
		report("an unknown field", map[string]any{"host": "h1", "stint": 1, "tally": 1, "colour": "green"}),
		report("a task that is no task", wire.Heartbeat{Machine: "h2", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{task("seven", 1, wire.TaskRunning, "")}}),
	)
	golden.Text(t, "heartbeats-malformed.golden", s.String(), *update)
}

// Heartbeats of a machine from its first to the end of its session, with the
// commands that they are answered with.
func TestAnswersToHeartbeats(t *testing.T) {
	c := newPair(t, nil)
	p := c.user(t, "a")
	own := &reporter{host: c.hostOf("a", 0), session: 1}
	other := &reporter{host: c.hostOf("b", 0), session: 1}
	unlisted := &reporter{host: c.hostOf("a", 1), session: 1}
	var s transcript
	s.askEach(p, unlisted.next("a machine that is not listed"))
	c.addHost(own.host, "batch")
	c.addHost(other.host, "batch")
	s.askEach(p,
		own.next("the first, with no token"),
		own.again("a copy"),
		other.next("of a machine of the other node"),
	)
	own.token = c.token("a")
	s.askEach(p, own.next("with the fencing token"))
	own.token++
	s.askEach(p, own.next("with a higher fencing token"))
	own.token--
	own.sequence -= 2
	s.askEach(p, own.next("older than the last"))
	own.sequence++
	s.askEach(p, own.next("unknown task", task("wk-99/0", 3, wire.TaskRunning, "")))

	c.submit(c.nodes["a"], work("wk-1", 1))
	c.round()
	c.round()
	s.askEach(p,
		own.next("a task is claimed"),
		own.next("it is fetched", task("wk-1/0", 1, wire.TaskPulling, "")),
		own.next("it runs", task("wk-1/0", 1, wire.TaskRunning, "")),
		own.next("an older attempt beside it", task("wk-1/0", 1, wire.TaskRunning, ""), task("wk-2/0", 1, wire.TaskExited, wire.ExitCauseError)),
		own.next("it has ended", task("wk-1/0", 1, wire.TaskExited, wire.ExitCauseDone)),
	)
	c.round()
	s.askEach(p, own.next("its end is stored", task("wk-1/0", 1, wire.TaskExited, wire.ExitCauseDone)))

	c.submit(c.nodes["a"], work("wk-3", 1))
	c.round()
	c.round()
	s.askEach(p, own.next("a task of another job runs", task("wk-3/0", 1, wire.TaskRunning, "")))
	if a := p.ask(request{"", "POST", "/work/wk-3/cancel", nil}); a.code() != 200 {
		t.Fatal(a)
	}
	s.askEach(p,
		own.next("its job is cancelled", task("wk-3/0", 1, wire.TaskRunning, "")),
		own.next("it saves", task("wk-3/0", 1, wire.TaskCheckpointing, "")),
		own.next("it was stopped", task("wk-3/0", 1, wire.TaskExited, wire.ExitCauseStopped)),
	)
	c.round()

	c.submit(c.nodes["a"], work("wk-4", 1))
	c.round()
	c.round()
	s.askEach(p, own.next("a third task runs", task("wk-4/0", 1, wire.TaskRunning, "")))
	c.clk.add(2 * lease)
	c.sync()
	c.round()
	s.askEach(p, own.next("after the lease has ended", task("wk-4/0", 1, wire.TaskRunning, "")))
	own.session, own.sequence = 2, 0
	s.askEach(p,
		own.next("a new session"),
		request{"of the former session", "POST", "/checkin", wire.Heartbeat{Machine: own.host, Incarnation: 1, Sequence: 99, FencingToken: own.token}},
	)
	golden.Text(t, "heartbeats.golden", s.String(), *update)
}

// Heartbeats at nodes that may not, or should not, renew a lease.
func TestAnswersToHeartbeatsThatRenewNoLease(t *testing.T) {
	var s transcript

	// A node without the state service answers for a while, and then sends its
	// workers on.
	c := newPair(t, nil)
	p := c.user(t, "a")
	r := &reporter{host: c.hostOf("a", 0), session: 1, token: c.token("a")}
	c.addHost(r.host, "batch")
	s.askEach(p, r.next("with the state service"))
	c.cutOff("a")
	c.clk.add(tuning.StoreStaleAfter + time.Second)
	s.askEach(p, r.next("without the state service"))
	c.clk.add(cancel - lease)
	s.askEach(p, r.next("when a renewed lease could outlast a cancellation"))

	// A sibling knows a newer membership, which gives the machine to it.
	c = newPair(t, nil)
	p = c.user(t, "a")
	r = &reporter{host: c.hostOf("a", 0), session: 1, token: c.token("a")}
	c.addHost(r.host, "batch")
	c.cutOff("a")
	c.endSession("a")
	c.clk.add(tuning.StoreStaleAfter + time.Second)
	for range 6 {
		c.refresh("b")
		c.stepOf("b")
	}
	c.refresh("b")
	c.tellStatus("b", "a")
	s.askEach(p, r.next("beside a newer membership"))
	r.token = c.token("b")
	s.askEach(p, r.next("with the fencing token of a newer membership"))

	// So many connections are open that a worker should not hold one.
	c = newCluster(t, nil)
	crowded(c.nodes["a"])
	r = &reporter{host: c.hostOf("a", 0), session: 1, token: c.token("a")}
	s.askEach(c.user(t, "a"), r.next("with many connections open"))
	golden.Text(t, "heartbeats-refused.golden", s.String(), *update)
}
