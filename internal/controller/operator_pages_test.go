package controller

import (
	"net/http"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/golden"
	"wheatspur/wire"
)

// httpWorker is a scripted worker that sends its heartbeats to one controller over HTTP.
type httpWorker struct {
	fake.Worker
	controller string
}

// newWorker returns a worker on the nth machine, counted from 0, that a controller owns. Tasks of
// the job wk-10 end after a second, others never.
func (env *httpEnv) newWorker(label string, nth int) *httpWorker {
	return &httpWorker{controller: label, Worker: fake.Worker{Machine: env.machineOwnedBy(label, nth), Address: "10.9.9.9:1", MachineType: "g", Zone: "z",
		Incarnation: 1, Tasks: map[string]*fake.Task{}, OnTaskStart: func(_ *fake.Worker, task *fake.Task) time.Duration {
			if task.JobID == "wk-10" {
				return time.Second
			}
			return 0
		}}}
}

// sendHeartbeat sends the worker's next heartbeat and carries out the commands in the response.
func (w *httpWorker) sendHeartbeat(env *httpEnv, client *portClient) {
	client.t.Helper()
	now := env.clock.now()
	w.Advance(now)
	a := client.send(request{"", "POST", "/checkin", w.NextHeartbeat()})
	var r wire.HeartbeatResponse
	if err := wire.Unmarshal(a.body, &r); a.code() != http.StatusOK || err != nil {
		client.t.Fatalf("heartbeat of %s: %v", w.Machine, a)
	}
	if w.RenewLease(now, r) {
		w.Execute(now, r.Commands)
	}
}

// newBusyPair returns a pair of controllers with machines of both roles, teams with limits and
// guarantees, and jobs in every state: done, running, pending because no machine has room or the
// team is at its limit, waiting for dependencies, cancelled, and cancelled along with a dependency.
func newBusyPair(t *testing.T) *httpEnv {
	t.Helper()
	env := newHTTPPair(t, func(s *config.Settings) {
		s.Params.Teams = []config.Team{
			{Name: "x", GPUsMax: 8},
			{Name: "y", CPUs: 16, GPUs: 6, CPUsMax: 32, GPUsMax: 8},
			{Name: "z"},
		}
		s.Operator.QuotaReservations = true
	})
	workers := []*httpWorker{env.newWorker("a", 0), env.newWorker("b", 0), env.newWorker("a", 1)}
	ports := map[string]*portClient{"a": env.userClient(t, "a"), "b": env.userClient(t, "b")}
	runCycles := func() {
		for range 3 {
			env.clock.add(time.Second)
			env.refreshAll()
			for _, w := range workers {
				w.sendHeartbeat(env, ports[w.controller])
			}
			env.sendStatus("a", "b")
			env.sendStatus("b", "a")
			env.runPassesInOrder()
		}
	}
	for i, role := range []string{"batch", "batch", "service"} {
		env.addMachine(workers[i].Machine, role)
	}
	runCycles()
	submit := func(spec wire.JobSpec, team string, dependsOn ...string) {
		spec.Team, spec.DependsOn = team, dependsOn
		env.submit(env.controllers["a"], spec)
	}
	submit(arrayJob("wk-10", 1), "x")
	runCycles()
	runCycles()
	submit(arrayJob("wk-11", 3), "x")
	submit(serviceJob("wk-12", 2), "y")
	runCycles()
	submit(arrayJob("wk-13", 9), "x")
	wholeMachine := serviceJob("wk-14", 1)
	wholeMachine.CPUs, wholeMachine.GPUs, wholeMachine.RAMGB = 8, 4, 64
	submit(wholeMachine, "y")
	submit(serviceJob("wk-15", 1), "z")
	submit(arrayJob("wk-16", 1), "x", "wk-11", "wk-10", "wk-13")
	submit(arrayJob("wk-17", 1), "y", "wk-16")
	runCycles()
	runCycles()
	submit(arrayJob("wk-18", 1), "z", "wk-11")
	submit(arrayJob("wk-19", 1), "z", "wk-18")
	submit(arrayJob("wk-20", 1), "z", "wk-19")
	if a := ports["a"].send(request{"", "POST", "/work/wk-18/cancel", nil}); a.code() != http.StatusOK {
		t.Fatal(a)
	}
	env.refreshAll()
	env.decideRoleSplits()
	return env
}

// The status pages of the leader and of a controller that does not lead: of the whole cluster, of
// each job and of each team, and with a damaged record of a team's quota shares.
func TestStatusPages(t *testing.T) {
	env := newBusyPair(t)
	var record transcript
	for _, label := range []string{"a", "b"} {
		client := env.userClient(t, label)
		page := func(name, query string) {
			record.sendEach(client, request{"node " + label + ": " + name, "GET", "/status" + query, nil})
		}
		page("whole", "")
		for _, jobID := range []string{"wk-10", "wk-11", "wk-12", "wk-13", "wk-14", "wk-15", "wk-16", "wk-17", "wk-18", "wk-19", "wk-20", "wk-77", "seven"} {
			page("job "+jobID, "?job="+jobID)
		}
		for _, team := range []string{"x", "y", "z", "q"} {
			page("team "+team, "?team="+team)
		}
		page("both are named", "?team=x&job=wk-10")
		page("neither is named", "?job=&team=")
		page("another query", "?verbose=1")
	}
	env.corruptTeamRecord("x")
	record.sendEach(env.userClient(t, "a"), request{"damaged shares", "GET", "/status?team=x", nil})
	golden.CheckText(t, "status.golden", record.String(), *update)
}

// The status page before the first read of the store, while a member runs an older version, with
// more rows than it shows, during a store outage, and during a graceful stop.
func TestStatusPagesInUnusualStates(t *testing.T) {
	var record transcript
	page := func(name string, client *portClient) { record.sendEach(client, request{name, "GET", "/status", nil}) }
	page("before the first read", serveUserPort(t, newStandaloneController(t)))

	env := newHTTPPair(t, nil)
	env.storeSessionVersion("b", true)
	page("beside an older version", env.userClient(t, "a"))

	env = newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	env.submit(env.controllers["a"], serviceJob("wk-1", 1))
	env.storeWaitingJobs(52, "wk-1")
	page("more rows than are shown", client)
	if a := client.send(request{"", "POST", "/work/wk-1/cancel", nil}); a.code() != http.StatusOK {
		t.Fatal(a)
	}
	page("more rows of cancelled jobs than are shown", client)
	env.store.Unavailable = true
	env.clock.add(time.Minute)
	page("without the state service", client)
	env.store.Unavailable = false
	env.refreshController("a")
	env.drainController("a")
	page("stopping", client)
	golden.CheckText(t, "status-unusual.golden", record.String(), *update)
}

// The metrics pages of both controllers: every metric with its help text, type, labels and values.
func TestMetricsPages(t *testing.T) {
	env := newBusyPair(t)
	var record transcript
	for _, label := range []string{"a", "b"} {
		client := env.userClient(t, label)
		for _, r := range []request{
			{"", "GET", "/up", nil}, {"", "GET", "/nothing", nil}, {"", "PUT", "/work", nil}, {"", "GET", "/work/wk-10", nil},
			{"", "POST", "/work", []byte("{")}, {"", "POST", "/work/wk-77/cancel", nil}, {"", "POST", "/checkin", []byte("{")},
		} {
			client.send(r)
		}
		record.sendEach(client, request{"node " + label, "GET", "/metrics", nil})
	}
	golden.CheckText(t, "metrics.golden", record.String(), *update)
}

// The metrics page before the first read of the store, after failed writes, during a graceful stop,
// and with metrics that can't be gathered because a team is configured twice.
func TestMetricsPagesInUnusualStates(t *testing.T) {
	var record transcript
	page := func(name string, client *portClient) { record.sendEach(client, request{name, "GET", "/metrics", nil}) }
	page("before the first read", serveUserPort(t, newStandaloneController(t)))

	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	env.addMachine("h1", "batch")
	for _, failure := range []struct {
		name, jobID string
		inject      func()
	}{
		{"refused", "wk-1", func() { env.store.Unavailable = true }},
		{"in conflict", "wk-2", func() { env.rewriteMembership() }},
		{"without an answer", "wk-3", func() { env.store.LoseResponses = 1 }},
	} {
		env.acknowledgeToken("h1", 1)
		env.submit(env.controllers["a"], arrayJob(failure.jobID, 1))
		failure.inject()
		env.runPassOf("a")
		page("a claim "+failure.name, client)
		record.sendEach(client, request{"a team after a claim " + failure.name, "GET", "/status?team=x", nil})
		env.store.Unavailable = false
		env.refreshAll()
	}
	env.drainController("a")
	client.send(request{"", "POST", "/work", []byte("{")})
	page("stopping", client)

	env = newHTTPEnv(t, func(s *config.Settings) { s.Params.Teams = append(s.Params.Teams, s.Params.Teams[0]) })
	page("a team twice", env.userClient(t, "a"))
	golden.CheckText(t, "metrics-unusual.golden", record.String(), *update)
}
