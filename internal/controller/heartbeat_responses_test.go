package controller

import (
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/golden"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// heartbeatSender builds the heartbeats of one worker, with consecutive sequence numbers.
type heartbeatSender struct {
	machine     string
	incarnation uint64
	token       uint64
	sequence    uint64
}

// next returns the worker's next heartbeat.
func (sender *heartbeatSender) next(name string, tasks ...wire.TaskStatus) request {
	sender.sequence++
	return sender.repeat(name, tasks...)
}

// repeat returns a heartbeat with the sequence number of the previous one.
func (sender *heartbeatSender) repeat(name string, tasks ...wire.TaskStatus) request {
	return request{name, "POST", "/checkin", wire.Heartbeat{Machine: sender.machine, Address: "10.9.9.9:1", MachineType: "g", Zone: "z",
		Incarnation: sender.incarnation, Sequence: sender.sequence, FencingToken: sender.token, Tasks: tasks}}
}

// taskStatus returns the status of a task as a heartbeat reports it.
func taskStatus(name string, attempt uint64, state, cause string) wire.TaskStatus {
	return wire.TaskStatus{Task: name, Attempt: attempt, State: state, ExitCause: cause}
}

// Malformed heartbeats get 400. Unknown fields and malformed task names are accepted.
func TestResponsesToMalformedHeartbeats(t *testing.T) {
	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	heartbeat := func(name string, body any) request { return request{name, "POST", "/checkin", body} }
	var record transcript
	record.sendEach(client,
		heartbeat("no body", nil),
		heartbeat("not CBOR", []byte("{")),
		heartbeat("a list", []int{1}),
		heartbeat("null", []byte{0xf6}),
		heartbeat("an empty map", map[string]any{}),
		heartbeat("no host", wire.Heartbeat{Incarnation: 1, Sequence: 1}),
		heartbeat("no session", wire.Heartbeat{Machine: "h1", Sequence: 1}),
		heartbeat("host is a number", map[string]any{"host": 7, "stint": 1}),
		heartbeat("session is a text", map[string]any{"host": "h1", "stint": "1"}),
		heartbeat("session below 0", map[string]any{"host": "h1", "stint": -1}),
		heartbeat("tasks are a text", map[string]any{"host": "h1", "stint": 1, "shards": "wk-1/0"}),
		heartbeat("bytes after the map", append(wire.MustMarshal(wire.Heartbeat{Machine: "h1", Incarnation: 1}), 0)),
		heartbeat("an unknown field", map[string]any{"host": "h1", "stint": 1, "tally": 1, "colour": "green"}),
		heartbeat("a task that is no task", wire.Heartbeat{Machine: "h2", Incarnation: 1, Sequence: 1, Tasks: []wire.TaskStatus{taskStatus("seven", 1, wire.TaskRunning, "")}}),
	)
	golden.CheckText(t, "heartbeats-malformed.golden", record.String(), *update)
}

// Responses to the heartbeats of a machine from its first incarnation to the next, with the
// commands that they carry.
func TestResponsesToHeartbeats(t *testing.T) {
	env := newHTTPPair(t, nil)
	client := env.userClient(t, "a")
	own := &heartbeatSender{machine: env.machineOwnedBy("a", 0), incarnation: 1}
	other := &heartbeatSender{machine: env.machineOwnedBy("b", 0), incarnation: 1}
	unlisted := &heartbeatSender{machine: env.machineOwnedBy("a", 1), incarnation: 1}
	var record transcript
	record.sendEach(client, unlisted.next("a machine that is not listed"))
	env.addMachine(own.machine, "batch")
	env.addMachine(other.machine, "batch")
	record.sendEach(client,
		own.next("the first, with no token"),
		own.repeat("a copy"),
		other.next("of a machine of the other node"),
	)
	own.token = env.fencingTokenOf("a")
	record.sendEach(client, own.next("with the fencing token"))
	own.token++
	record.sendEach(client, own.next("with a higher fencing token"))
	own.token--
	own.sequence -= 2
	record.sendEach(client, own.next("older than the last"))
	own.sequence++
	record.sendEach(client, own.next("unknown task", taskStatus("wk-99/0", 3, wire.TaskRunning, "")))

	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.runPassesInOrder()
	env.runPassesInOrder()
	env.controllers["a"].awaitDirectCalls()
	record.sendEach(client,
		own.next("a task is claimed"),
		own.next("it is fetched", taskStatus("wk-1/0", 1, wire.TaskPulling, "")),
		own.next("it runs", taskStatus("wk-1/0", 1, wire.TaskRunning, "")),
		own.next("an older attempt beside it", taskStatus("wk-1/0", 1, wire.TaskRunning, ""), taskStatus("wk-2/0", 1, wire.TaskExited, wire.ExitCauseError)),
		own.next("it has ended", taskStatus("wk-1/0", 1, wire.TaskExited, wire.ExitCauseDone)),
	)
	env.runPassesInOrder()
	record.sendEach(client, own.next("its end is stored, the raised token not yet shown", taskStatus("wk-1/0", 1, wire.TaskExited, wire.ExitCauseDone)))
	own.token++
	record.sendEach(client, own.next("the raised token is shown", taskStatus("wk-1/0", 1, wire.TaskExited, wire.ExitCauseDone)))

	env.submit(env.controllers["a"], arrayJob("wk-3", 1))
	env.runPassesInOrder()
	env.runPassesInOrder()
	env.controllers["a"].awaitDirectCalls()
	record.sendEach(client, own.next("a task of another job runs", taskStatus("wk-3/0", 1, wire.TaskRunning, "")))
	if a := client.send(request{"", "POST", "/work/wk-3/cancel", nil}); a.code() != http.StatusOK {
		t.Fatal(a)
	}
	record.sendEach(client,
		own.next("its job is cancelled", taskStatus("wk-3/0", 1, wire.TaskRunning, "")),
		own.next("it saves", taskStatus("wk-3/0", 1, wire.TaskCheckpointing, "")),
		own.next("it was stopped", taskStatus("wk-3/0", 1, wire.TaskExited, wire.ExitCauseStopped)),
	)
	env.runPassesInOrder()

	env.submit(env.controllers["a"], arrayJob("wk-4", 1))
	env.runPassesInOrder()
	env.runPassesInOrder()
	record.sendEach(client, own.next("a third task runs", taskStatus("wk-4/0", 1, wire.TaskRunning, "")))
	env.clock.add(2 * leaseDuration)
	env.refreshAll()
	env.runPassesInOrder()
	record.sendEach(client, own.next("after the lease has ended", taskStatus("wk-4/0", 1, wire.TaskRunning, "")))
	own.incarnation, own.sequence = 2, 0
	record.sendEach(client,
		own.next("a new session"),
		request{"of the former session", "POST", "/checkin", wire.Heartbeat{Machine: own.machine, Incarnation: 1, Sequence: 99, FencingToken: own.token}},
	)
	golden.CheckText(t, "heartbeats.golden", record.String(), *update)
}

// Responses of controllers without the store, with an outdated membership, or with too many open
// connections.
func TestResponsesToHeartbeatsThatRenewNoLease(t *testing.T) {
	var record transcript

	// A controller that cannot reach the store renews leases for a while. Once a renewed lease
	// could outlast a cancellation, it redirects its workers.
	env := newHTTPPair(t, nil)
	client := env.userClient(t, "a")
	sender := &heartbeatSender{machine: env.machineOwnedBy("a", 0), incarnation: 1, token: env.fencingTokenOf("a")}
	env.addMachine(sender.machine, "batch")
	record.sendEach(client, sender.next("with the state service"))
	env.rejectStoreCalls("a")
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	record.sendEach(client, sender.next("without the state service"))
	env.clock.add(cancelBound - leaseDuration)
	record.sendEach(client, sender.next("when a renewed lease could outlast a cancellation"))

	// A peer knows a newer membership, under which it owns the machine.
	env = newHTTPPair(t, nil)
	client = env.userClient(t, "a")
	sender = &heartbeatSender{machine: env.machineOwnedBy("a", 0), incarnation: 1, token: env.fencingTokenOf("a")}
	env.addMachine(sender.machine, "batch")
	env.rejectStoreCalls("a")
	env.expireSession("a")
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	for range 6 {
		env.refreshController("b")
		env.stepMembershipOf("b")
	}
	env.refreshController("b")
	env.sendStatus("b", "a")
	record.sendEach(client, sender.next("beside a newer membership"))
	sender.token = env.fencingTokenOf("b")
	record.sendEach(client, sender.next("with the fencing token of a newer membership"))

	// More connections are open than allowed, so the response closes the worker's connection.
	env = newHTTPEnv(t, nil)
	exceedMaxConnections(env.controllers["a"])
	sender = &heartbeatSender{machine: env.machineOwnedBy("a", 0), incarnation: 1, token: env.fencingTokenOf("a")}
	record.sendEach(env.userClient(t, "a"), sender.next("with many connections open"))
	golden.CheckText(t, "heartbeats-refused.golden", record.String(), *update)
}
