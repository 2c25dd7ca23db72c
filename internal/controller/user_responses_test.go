package controller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/internal/golden"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// methods lists the HTTP methods with which each path is requested.
var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// absent stands for the value of a field that jobSpecWith removes.
type absent struct{}

// jobSpecWith returns the encoded specification of the job wk-1, which is valid, with some fields
// replaced. fields alternates field names and values.
func jobSpecWith(t *testing.T, fields ...any) []byte {
	t.Helper()
	spec := map[string]any{}
	if err := wire.Unmarshal(wire.MustMarshal(arrayJob("wk-1", 1)), &spec); err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(fields); i += 2 {
		name := fields[i].(string)
		if fields[i+1] == (absent{}) {
			delete(spec, name)
		} else {
			spec[name] = fields[i+1]
		}
	}
	return wire.MustMarshal(spec)
}

// submissionOf returns a submission of the job wk-1 with some fields replaced, as by changed.
func submissionOf(t *testing.T, name string, fields ...any) request {
	t.Helper()
	return request{name, "POST", "/work", jobSpecWith(t, fields...)}
}

// Unknown paths get 404, and known paths with a wrong method get 405 with an Allow header.
func TestResponsesToUnknownPathsAndMethods(t *testing.T) {
	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	var record transcript
	for _, path := range []struct{ path, served string }{
		{"/up", "GET"}, {"/status", "GET"}, {"/metrics", "GET"}, {"/work", "POST"}, {"/checkin", "POST"},
		{"/work/wk-1", "GET"}, {"/work/wk-1/cancel", "POST"}, {"/work/", "GET"}, {"/work/cancel", "POST"},
		{"/", ""}, {"/nothing", ""}, {"/up/", ""}, {"/Up", ""}, {"/workers", ""}, {"/peer/status", ""}, {"/peer/forward", ""},
	} {
		for _, method := range methods {
			if method != path.served {
				record.sendEach(client, request{"wrong path or method", method, path.path, nil})
			}
		}
	}
	record.sendEach(client,
		request{"health", "GET", "/up", nil},
		request{"health with a query", "GET", "/up?verbose=1", nil},
		request{"two slashes", "GET", "//up", nil},
		request{"an escaped path", "GET", "/%75p", nil},
		request{"no job id", "GET", "/work/seven", nil},
		request{"an empty job id", "GET", "/work/", nil},
		request{"a job id with a slash", "GET", "/work/wk-1/2", nil},
		request{"cancel as a job id", "POST", "/work/cancel", nil},
		request{"cancel without a job id", "POST", "/work//cancel", nil},
		request{"cancel of no job id", "POST", "/work/seven/cancel", nil},
		request{"poll of an unknown job", "GET", "/work/wk-77", nil},
		request{"cancel of an unknown job", "POST", "/work/wk-77/cancel", nil},
	)
	golden.CheckText(t, "paths.golden", record.String(), *update)
}

// Responses to malformed and unusual HTTP requests, to bodies over the size limit, and on a port
// that has no room for another connection.
func TestResponsesToUnreadableRequests(t *testing.T) {
	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	large := make([]byte, wire.MaxBody+1)
	var record transcript
	record.sendEach(client,
		request{"a submission over the limit", "POST", "/work", large},
		request{"a submission at the limit", "POST", "/work", large[:wire.MaxBody]},
		request{"a report over the limit", "POST", "/checkin", large},
		request{"a cancellation over the limit", "POST", "/work/wk-1/cancel", large},
	)
	for _, raw := range []struct{ name, text string }{
		{"no HTTP", "hello\r\n\r\n"},
		{"a header too large", "GET /up HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("x", 8192) + "\r\n\r\n"},
		{"a length that is no number", "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n"},
		{"HTTP/1.0", "GET /up HTTP/1.0\r\nHost: x\r\n\r\n"},
		{"a connection to be closed", "GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"},
		{"a body in chunks", "POST /work HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n\r\n"},
	} {
		record.add(raw.name, "", client.sendRaw(raw.text, "").String())
	}
	record.add("no room for another connection", "", serveFullPort(t, 7).sendRaw("", "").String())
	golden.CheckText(t, "unreadable.golden", record.String(), *update)
}

// Every malformed submission gets 400 with the reason.
func TestResponsesToMalformedSubmissions(t *testing.T) {
	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	duplicateKey := []byte("\xa2\x63ref\x64wk-1\x63ref\x64wk-1")
	requests := []request{
		{"no body", "POST", "/work", nil},
		{"not CBOR", "POST", "/work", []byte("{")},
		{"JSON", "POST", "/work", []byte(`{"ref":"wk-1"}`)},
		{"a list", "POST", "/work", []int{1}},
		{"a text", "POST", "/work", "wk-1"},
		{"null", "POST", "/work", []byte{0xf6}},
		{"an empty map", "POST", "/work", map[string]any{}},
		{"a field twice", "POST", "/work", duplicateKey},
		{"bytes after the map", "POST", "/work", append(jobSpecWith(t), 0)},
		{"cut short", "POST", "/work", wire.MustMarshal(arrayJob("wk-1", 1))[:100]},
		{"number as a key", "POST", "/work", map[int]int{1: 2}},
	}
	required := []string{"ref", "cohort", "crew", "shape", "rank", "shards", "cpus", "cards", "ram_gb", "bundle", "image_gb",
		"together", "apart", "windfall", "reckon_s", "stake_s", "stash_s"}
	for _, name := range required {
		requests = append(requests, submissionOf(t, name+" missing", name, absent{}), submissionOf(t, name+" null", name, nil))
	}
	for _, name := range []string{"ref", "cohort", "crew", "shape", "rank", "bundle", "plot"} {
		requests = append(requests, submissionOf(t, name+" is a number", name, 7))
	}
	for _, name := range []string{"shards", "cpus", "cards", "ram_gb", "image_gb", "reckon_s", "stake_s", "stash_s", "due_s", "together", "apart", "windfall"} {
		requests = append(requests, submissionOf(t, name+" is a text", name, "7"))
	}
	requests = append(requests,
		submissionOf(t, "shards is a fraction", "shards", 1.5),
		submissionOf(t, "rigs is a text", "rigs", "g"),
		submissionOf(t, "rigs holds a number", "rigs", []any{7}),
		submissionOf(t, "awaits is a text", "awaits", "wk-2"),
		submissionOf(t, "awaits is a number", "awaits", 7),
		submissionOf(t, "awaits is a map", "awaits", map[string]any{"wk-2": true}),
		submissionOf(t, "awaits holds a number", "awaits", []any{7}),
		submissionOf(t, "awaits holds null", "awaits", []any{"wk-2", nil}),
	)
	for _, ref := range []string{"", "x", "wk-", "wk-1x", " wk-1", "WK-1", "wk--1", "wk-1234567890123456789"} {
		requests = append(requests, submissionOf(t, fmt.Sprintf("ref %q", ref), "ref", ref))
	}
	long := func(n int) string { return strings.Repeat("x", n) }
	requests = append(requests,
		submissionOf(t, "cohort empty", "cohort", ""),
		submissionOf(t, "cohort too long", "cohort", long(201)),
		submissionOf(t, "crew empty", "crew", ""),
		submissionOf(t, "crew too long", "crew", long(101)),
		submissionOf(t, "shape unknown", "shape", "ring"),
		submissionOf(t, "shape empty", "shape", ""),
		submissionOf(t, "rank unknown", "rank", "first"),
		submissionOf(t, "shards 0", "shards", 0),
		submissionOf(t, "shards -1", "shards", -1),
		submissionOf(t, "shards 100001", "shards", wire.MaxTasks+1),
		submissionOf(t, "bundle empty", "bundle", ""),
		submissionOf(t, "bundle too long", "bundle", long(201)),
		submissionOf(t, "too many rigs", "rigs", make([]string, 33)),
		submissionOf(t, "a rig empty", "rigs", []string{"g", ""}),
		submissionOf(t, "a rig too long", "rigs", []string{long(101)}),
		submissionOf(t, "plot empty", "plot", ""),
		submissionOf(t, "plot too long", "plot", long(101)),
	)
	nan, inf := []byte{0xf9, 0x7e, 0x00}, []byte{0xf9, 0x7c, 0x00}
	for _, name := range []string{"cpus", "cards", "ram_gb", "image_gb", "reckon_s", "stake_s", "stash_s", "due_s"} {
		requests = append(requests,
			submissionOf(t, name+" below 0", name, -0.5),
			submissionOf(t, name+" too large", name, 1e9+1),
			submissionOf(t, name+" not a number", name, wire.Raw(nan)),
			submissionOf(t, name+" infinite", name, wire.Raw(inf)),
		)
	}
	var record transcript
	record.sendAll(client, requests...)
	golden.CheckText(t, "malformed.golden", record.String(), *update)
}

// Well-formed submissions of jobs that can never run get 422. Unusual submissions of jobs that
// can run are accepted.
func TestResponsesToValidatedSubmissions(t *testing.T) {
	env := newHTTPEnv(t, func(s *config.Settings) {
		s.Params.Teams = append(s.Params.Teams, config.Team{Name: "y", CPUsMax: 4})
	})
	client := env.userClient(t, "a")
	long := func(n int) string { return strings.Repeat("x", n) }
	types := []string{"g"}
	for range 31 {
		types = append(types, long(100))
	}
	var record transcript
	record.sendEach(client,
		submissionOf(t, "a service", "ref", "wk-90", "shape", "standing", "rank", "critical"),
		submissionOf(t, "an array", "ref", "wk-91"),
	)
	record.sendAll(client,
		submissionOf(t, "unknown team", "crew", "nobody"),
		submissionOf(t, "unknown machine type", "rigs", []string{"q"}),
		submissionOf(t, "unknown zone", "plot", "q"),
		submissionOf(t, "too many CPUs for a machine", "cpus", 9),
		submissionOf(t, "too many GPUs for a machine", "cards", 5),
		submissionOf(t, "too much memory for a machine", "ram_gb", 65),
		submissionOf(t, "a gang that one write can't claim", "shape", "gang", "shards", 71),
		submissionOf(t, "a gang beyond the team's GPUs", "shape", "gang", "shards", 9),
		submissionOf(t, "a service beyond the team's GPUs", "shape", "standing", "shards", 9),
		submissionOf(t, "a task beyond the team's CPUs", "crew", "y", "cpus", 5),
		submissionOf(t, "a service beyond the team's CPUs", "crew", "y", "shape", "standing", "shards", 5),
		submissionOf(t, "a description too large to store", "rigs", types, "cohort", long(200), "bundle", long(200)),
		submissionOf(t, "awaits no job", "awaits", []string{"seven"}),
		submissionOf(t, "awaits a long name", "awaits", []string{long(50)}),
		submissionOf(t, "awaits itself", "awaits", []string{"wk-1"}),
		submissionOf(t, "awaits what was never accepted", "awaits", []string{"wk-91", "wk-777"}),
		submissionOf(t, "awaits a service", "awaits", []string{"wk-90"}),
	)
	record.sendEach(client,
		submissionOf(t, "an unknown field", "ref", "wk-2", "colour", "green"),
		submissionOf(t, "nulls where they may be", "ref", "wk-3", "rigs", nil, "plot", nil, "due_s", nil, "awaits", nil),
		submissionOf(t, "optional fields absent", "ref", "wk-4", "rigs", absent{}, "plot", absent{}, "due_s", absent{}, "awaits", absent{}),
		submissionOf(t, "a deadline", "ref", "wk-5", "due_s", 0),
		submissionOf(t, "an array beyond the team's GPUs", "ref", "wk-6", "shards", 9),
		submissionOf(t, "the most tasks", "ref", "wk-7", "shards", wire.MaxTasks),
		submissionOf(t, "texts at their limits", "ref", "wk-8", "cohort", long(200), "bundle", long(200)),
		submissionOf(t, "the longest job id", "ref", "wk-123456789012345678"),
		submissionOf(t, "a whole number as a fraction", "ref", "wk-9", "cpus", 1, "ram_gb", 0.5),
		submissionOf(t, "a gang", "ref", "wk-10", "shape", "gang", "shards", 8),
		submissionOf(t, "awaits an array", "ref", "wk-11", "awaits", []string{"wk-91", "wk-91"}),
		submissionOf(t, "awaits nothing", "ref", "wk-12", "awaits", []string{}),
	)
	golden.CheckText(t, "checked.golden", record.String(), *update)
}

// Responses to repeated submissions, polls and cancellations in every state of a job.
func TestResponsesOverTheJobLifecycle(t *testing.T) {
	env := newHTTPEnv(t, nil)
	client := env.userClient(t, "a")
	var record transcript
	poll := func(name, jobID string) request { return request{name, "GET", "/work/" + jobID, nil} }
	cancelOf := func(name, jobID string) request { return request{name, "POST", "/work/" + jobID + "/cancel", nil} }
	record.sendEach(client,
		submissionOf(t, "new", "shards", 2),
		submissionOf(t, "the same again", "shards", 2),
		submissionOf(t, "the same id, another job", "shards", 7, "cohort", "other"),
		request{"the same id, malformed", "POST", "/work", map[string]any{"ref": "wk-1"}},
		submissionOf(t, "the same id, impossible", "crew", "nobody"),
		submissionOf(t, "the same id, awaits what was never accepted", "awaits", []string{"wk-777"}),
		poll("queued", "wk-1"),
		poll("by an escaped path", "%77k-1"),
		submissionOf(t, "awaits it", "ref", "wk-2", "awaits", []string{"wk-1"}),
		poll("waiting", "wk-2"),
	)
	env.addMachine("h1", "batch")
	env.acknowledgeToken("h1", 1)
	env.runPassesInOrder()
	record.sendEach(client, poll("running", "wk-1"), submissionOf(t, "the same again while it runs", "shards", 2))
	env.finishTasksInOrder("h1", "wk-1/0")
	record.sendEach(client, poll("one task done", "wk-1"))
	env.finishTasksInOrder("h1", "wk-1/1")
	env.runPassesInOrder()
	record.sendEach(client,
		poll("done", "wk-1"),
		cancelOf("cancel of a done job", "wk-1"),
		submissionOf(t, "the same again when it is done", "shards", 2),
		poll("what awaited it", "wk-2"),
		submissionOf(t, "awaits a done job", "ref", "wk-3", "awaits", []string{"wk-1"}),
		submissionOf(t, "awaits an open job", "ref", "wk-4", "awaits", []string{"wk-3"}),
		cancelOf("cancel", "wk-3"),
		cancelOf("cancel again", "wk-3"),
		poll("cancelled", "wk-3"),
		poll("cancelled with another", "wk-4"),
		cancelOf("cancel of a job that was cancelled with another", "wk-4"),
		submissionOf(t, "the same again when it is cancelled", "ref", "wk-3"),
		submissionOf(t, "awaits a cancelled job", "ref", "wk-5", "awaits", []string{"wk-3"}),
		poll("cancelled from the first", "wk-5"),
		cancelOf("cancel of a running job", "wk-2"),
		request{"cancel with a body", "POST", "/work/wk-2/cancel", []byte("{")},
	)
	env.store.LoseResponses = 1
	record.sendEach(client, submissionOf(t, "a submission whose write gets no answer", "ref", "wk-6"))
	env.store.LoseResponses = 1
	record.sendEach(client, cancelOf("a cancellation whose write gets no answer", "wk-6"))
	golden.CheckText(t, "jobs.golden", record.String(), *update)
}

// Responses while the store rejects calls: right after the last read, 2.2 s later, shortly before
// the store is considered unavailable, and a minute later.
func TestResponsesDuringAStoreOutage(t *testing.T) {
	var record transcript
	for _, outage := range []struct {
		name string
		age  time.Duration
	}{{"read a moment ago", 0}, {"read 2.2 s ago", 2200 * time.Millisecond}, {"read a minute ago", time.Minute}} {
		env := newHTTPEnv(t, nil)
		client := env.userClient(t, "a")
		env.submit(env.controllers["a"], arrayJob("wk-1", 1))
		env.submit(env.controllers["a"], arrayJob("wk-2", 1))
		if a := client.send(request{"", "POST", "/work/wk-2/cancel", nil}); a.code() != http.StatusOK {
			t.Fatal(a)
		}
		env.refreshController("a")
		env.store.Unavailable = true
		env.clock.add(outage.age)
		for _, r := range []request{
			{"health", "GET", "/up", nil},
			{"poll", "GET", "/work/wk-1", nil},
			{"poll of a cancelled job", "GET", "/work/wk-2", nil},
			{"poll of an unknown job", "GET", "/work/wk-77", nil},
			{"poll of no job id", "GET", "/work/seven", nil},
			{"cancel", "POST", "/work/wk-1/cancel", nil},
			{"cancel of a cancelled job", "POST", "/work/wk-2/cancel", nil},
			{"cancel of an unknown job", "POST", "/work/wk-77/cancel", nil},
			submissionOf(t, "new", "ref", "wk-3"),
			submissionOf(t, "known", "ref", "wk-1"),
			submissionOf(t, "known and cancelled", "ref", "wk-2"),
			submissionOf(t, "malformed", "ref", "wk-4", "shards", 0),
			{"malformed without a job id", "POST", "/work", []byte("{")},
			submissionOf(t, "unknown team", "ref", "wk-5", "crew", "nobody"),
			submissionOf(t, "awaits another", "ref", "wk-6", "awaits", []string{"wk-1"}),
		} {
			r.name = outage.name + ": " + r.name
			record.sendEach(client, r)
		}
	}
	golden.CheckText(t, "outage.golden", record.String(), *update)
}

// Responses of controllers that refuse submissions: before the first read of the store, before the
// machine types are known, during a graceful stop, and, for jobs with dependencies only, while a
// member runs an older version.
func TestResponsesOfControllersThatRefuseSubmissions(t *testing.T) {
	var record transcript
	sendInState := func(state string, client *portClient, list ...request) {
		for _, r := range list {
			r.name = state + ": " + r.name
			record.sendEach(client, r)
		}
	}
	requests := []request{
		{"health", "GET", "/up", nil},
		{"poll", "GET", "/work/wk-1", nil},
		{"cancel", "POST", "/work/wk-1/cancel", nil},
		submissionOf(t, "submission", "ref", "wk-2"),
		{"malformed submission", "POST", "/work", []byte("{")},
		{"report", "POST", "/checkin", wire.Heartbeat{Machine: "h1", Incarnation: 1, Sequence: 1}},
		{"malformed report", "POST", "/checkin", []byte("{")},
		{"wrong method", "PUT", "/work", nil},
		{"unknown path", "POST", "/nothing", nil},
	}
	sendInState("nothing read", serveUserPort(t, newStandaloneController(t)), requests...)

	env := newHTTPEnvWithoutTypes(t)
	sendInState("types not known", env.userClient(t, "a"), requests...)

	env = newHTTPPair(t, nil)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.storeSessionVersion("b", true)
	sendInState("beside an older version", env.userClient(t, "a"),
		submissionOf(t, "submission", "ref", "wk-2"),
		submissionOf(t, "awaits another", "ref", "wk-3", "awaits", []string{"wk-1"}),
		submissionOf(t, "awaits what was never accepted", "ref", "wk-4", "awaits", []string{"wk-777"}),
	)

	env = newHTTPEnv(t, nil)
	env.submit(env.controllers["a"], arrayJob("wk-1", 1))
	env.drainController("a")
	sendInState("stopping", env.userClient(t, "a"), requests...)
	golden.CheckText(t, "refusing.golden", record.String(), *update)
}

// With room for one submission in the intake queue, one of two concurrent submissions is refused
// at once.
func TestResponseToASubmissionBeyondTheIntakeQueue(t *testing.T) {
	env := newHTTPEnv(t, func(s *config.Settings) { s.Operator.IntakeQueue = 1 })
	client := env.userClient(t, "a")
	responses := make(chan httpResponse, 2)
	env.store.Mu.Lock() // blocks the write of the admitted submission
	for _, ref := range []string{"wk-1", "wk-2"} {
		r := submissionOf(t, "", "ref", ref)
		go func() { responses <- client.send(r) }()
	}
	refusal := <-responses
	env.store.Mu.Unlock()
	if a := <-responses; a.code() != http.StatusCreated {
		t.Errorf("the admitted submission: %v", a)
	}
	var record transcript
	record.add("one too many", "POST /work", refusal.String())
	golden.CheckText(t, "queue.golden", record.String(), *update)
}

// A controller that cannot reach the store forwards user requests to a peer that can.
func TestResponsesToRequestsForwardedToAPeer(t *testing.T) {
	ln := listenOnLoopback(t)
	env := newHTTPPair(t, func(s *config.Settings) {
		for i := range s.Siblings {
			s.Siblings[i].Endpoint = ln.Addr().String()
		}
	})
	servePeersOn(env.controllers["b"], ln)
	env.submit(env.controllers["b"], arrayJob("wk-1", 1))
	env.rejectStoreCalls("a")
	env.clock.add(tuning.StoreStaleAfter + time.Second)
	env.refreshController("b")
	env.sendStatus("b", "a")
	client := env.userClient(t, "a")
	var record transcript
	record.sendEach(client,
		request{"health", "GET", "/up", nil},
		submissionOf(t, "new", "ref", "wk-2"),
		submissionOf(t, "known", "ref", "wk-2"),
		submissionOf(t, "malformed", "ref", "wk-3", "shards", 0),
		submissionOf(t, "unknown team", "ref", "wk-3", "crew", "nobody"),
		request{"poll", "GET", "/work/wk-1", nil},
		request{"poll of an unknown job", "GET", "/work/wk-77", nil},
		request{"cancel", "POST", "/work/wk-1/cancel", nil},
		request{"cancel of an unknown job", "POST", "/work/wk-77/cancel", nil},
	)
	env.store.Unavailable = true
	record.sendEach(client, submissionOf(t, "refused by the sibling", "ref", "wk-4"))
	golden.CheckText(t, "forwarded.golden", record.String(), *update)
}
