package controller

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"wheatspur/internal/cluster"
	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/internal/jobs"
	"wheatspur/internal/recovery"
	"wheatspur/internal/tuning"
	"wheatspur/wire"
)

// startRate is that of the cold starts: starts a second and node.
const startRate = 20

// allNodes are the nodes of a trial.
var allNodes = []string{"a", "b", "c"}

// coldWorld is a world of three nodes and many machines that are in use.
func coldWorld(t testing.TB, machines int, operator func(*config.Settings)) *trial {
	x := newTrial(t, 0, 0)
	x.operator = operator
	for i := range machines {
		x.join(fmt.Sprintf("host-%03d", i)).ImageTime = 2 * time.Second
	}
	for _, label := range allNodes {
		x.restart(label)
		x.run(6 * time.Second)
	}
	for i := range machines * 3 / 4 {
		jobID := fmt.Sprintf("wk-%d", 1000+i)
		x.runs[jobID] = time.Duration(60+i%200) * time.Second
		x.submit(x.leader(), work(jobID, 4))
	}
	x.run(20 * time.Second)
	return x
}

// log lets what the workers are told from here on be noted.
func (x *trial) log() *fake.OrderLog {
	log := fake.NewOrderLog()
	x.each(func(m *machine) { m.Orders = log })
	return log
}

// stopAll ends the processes of all nodes at the same moment.
func (x *trial) stopAll() {
	for _, n := range x.nodes {
		n.awaitCalls() // else one may reach its machine after the links are repaired
		x.end(n)
	}
	x.nodes = map[string]*Controller{}
}

// alone lets the machines go on without any node.
func (x *trial) alone(d time.Duration) {
	for range int(d / time.Second) {
		x.clk.add(time.Second)
		x.mu.Lock()
		for _, m := range x.machines {
			x.live(m)
		}
		x.mu.Unlock()
	}
}

// startAll begins all nodes anew.
func (x *trial) startAll() {
	for _, label := range allNodes {
		x.restart(label)
	}
}

// runningTasks counts the tasks that run.
func (x *trial) runningTasks() (k int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, m := range x.machines {
		for _, t := range m.Tasks {
			if t.State == wire.TaskRunning {
				k++
			}
		}
	}
	return k
}

// recovered reports whether every node is in ordinary operation.
func (x *trial) recovered() bool {
	for _, n := range x.nodes {
		n.Lock()
		over := n.Recovery.Progress.Done()
		n.Unlock()
		if !over {
			return false
		}
	}
	return true
}

// recoveryBound is how long after the start of all nodes recovery is over: the
// election, the time that machines have to report, and the time without starts
// that wait, or a lease while there are some.
func (x *trial) recoveryBound(starts bool) time.Duration {
	bound := time.Duration(tuning.RecoveryHeartbeats*float64(3*time.Second)) + 8*time.Second
	if starts {
		return bound + lease
	}
	return bound + time.Duration(tuning.RecoveryQuietHeartbeats*float64(3*time.Second))
}

// All nodes go down and come back, also again and again in the middle of
// recovery, for less than a lease and for more. No start is received twice, no
// task that runs is killed, and within a lease none is lost; recovery is over by
// a stated time.
func TestAColdStartKeepsWhatRunsAndRepeatsNothing(t *testing.T) {
	for _, c := range []struct {
		outage   time.Duration
		again    []time.Duration // after the start, nodes go down once more
		keepsAll bool
	}{
		{5 * time.Second, nil, true},
		{20 * time.Second, nil, true},
		{60 * time.Second, nil, false},
		{5 * time.Second, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, true},
		{5 * time.Second, []time.Duration{5 * time.Second, 8 * time.Second}, true},
		{60 * time.Second, []time.Duration{4 * time.Second, 7 * time.Second, 13 * time.Second}, false},
	} {
		t.Run(fmt.Sprint(c.outage, " ", c.again), func(t *testing.T) {
			t.Parallel()
			x := coldWorld(t, 200, func(s *config.Settings) { s.Operator.RecoveryHold, s.Operator.RecoveryStarts = true, startRate })
			before := x.runningTasks()
			if before < 500 {
				t.Fatalf("only %d tasks run", before)
			}
			log := x.log()
			x.stopAll()
			x.alone(c.outage)
			x.startAll()
			for _, after := range c.again {
				x.run(after)
				x.stopAll()
				x.alone(2 * time.Second)
				x.startAll()
			}
			took := time.Duration(0)
			for ; !x.recovered() && took < time.Minute; took += time.Second {
				x.step()
			}
			if bound := x.recoveryBound(!c.keepsAll); took > bound {
				t.Errorf("recovery took %v, the bound is %v", took, bound)
			}
			seen := log.Seen()
			if c.keepsAll && (seen.Starts != 0 || x.sessionsEnded() != 0) {
				t.Errorf("%d starts and %d sessions ended after an outage shorter than the lease", seen.Starts, x.sessionsEnded())
			}
			x.run(90 * time.Second)
			seen = log.Seen()
			if len(seen.Repeated) != 0 || len(seen.Kills) != 0 {
				t.Errorf("%d starts repeated, %d tasks that ran were killed: %v %v", len(seen.Repeated), len(seen.Kills), seen.Repeated, seen.Kills)
			}
			if !c.keepsAll && seen.Starts < 500 {
				t.Errorf("%d starts after an outage longer than the lease", seen.Starts)
			}
			if most, bound := log.Most(5*time.Second), 6*startRate*len(allNodes); most > bound {
				t.Errorf("%d starts in 5 s, the bound is %d", most, bound)
			}
			x.run(400 * time.Second)
			x.checkDone()
		})
	}
}

// sessionsEnded counts the sessions that machines have ended.
func (x *trial) sessionsEnded() (k int) {
	for _, m := range x.machines {
		k += len(m.sessions)
	}
	return k
}

// checkDone checks that every job is done.
func (x *trial) checkDone() {
	x.t.Helper()
	n := x.leader()
	n.Lock()
	defer n.Unlock()
	for jobID, j := range n.Table.Jobs {
		if j.Phase != jobs.Done {
			x.t.Errorf("%s is %s at the end", jobID, j.Phase)
		}
	}
}

// All nodes go down at the moment when hundreds of claims are stored and no
// worker has heard of them. The starts that this leaves go out at a bounded
// rate, services before arrays, each once.
func TestStartsAfterAnOutageGoOutAtABoundedRate(t *testing.T) {
	const rate = 20
	x := newTrial(t, 0, 0)
	x.operator = func(s *config.Settings) { s.Operator.RecoveryStarts = rate }
	for i := range 200 {
		role := "batch"
		if i%4 == 0 {
			role = "service"
		}
		x.joinAs(fmt.Sprintf("host-%03d", i), role)
	}
	for _, label := range allNodes {
		x.restart(label)
		x.run(6 * time.Second)
	}
	x.each(func(m *machine) { m.inboundCut = true })
	for i := range 100 {
		wk := work(fmt.Sprintf("wk-%d", 1000+i), 4)
		if i%4 == 0 {
			wk = service(wk.ID, 4)
		}
		x.submit(x.leader(), wk)
	}
	for range 6 {
		x.passAll()
	}
	claimed := 0
	for _, j := range x.leader().Table.Open {
		claimed += j.Counts[jobs.Claimed]
	}
	if claimed != 400 || x.runningTasks() != 0 {
		t.Fatalf("%d tasks are claimed, %d run", claimed, x.runningTasks())
	}
	x.stopAll()
	x.each(func(m *machine) { m.inboundCut, m.calls = false, nil })
	x.alone(2 * time.Second)
	log := x.log()
	x.startAll()
	for took := 0; !x.recovered() && took < 120; took++ {
		x.step()
	}
	x.run(10 * time.Second)
	seen := log.Seen()
	if len(seen.Repeated) != 0 || seen.Starts != 400 {
		t.Errorf("%d starts, repeated: %v", seen.Starts, seen.Repeated)
	}
	for _, seconds := range []int{1, 2, 5} {
		// A second's worth may go at once at each node.
		if most, bound := log.Most(time.Duration(seconds)*time.Second), rate*len(allNodes)*(seconds+1); most > bound {
			t.Errorf("%d starts in %d s, the bound is %d", most, seconds, bound)
		}
	}
	// 100 starts of services among 400. An array starts before a service only if
	// its machine has reported before the service's has.
	isService := func(task string) bool { return x.leader().Table.Jobs[strings.Split(task, "/")[0]].Service() }
	early := 0
	for _, task := range seen.Tasks[:len(seen.Tasks)/2] {
		if isService(task) {
			early++
		}
	}
	if early < 80 {
		t.Errorf("only %d services start in the first half", early)
	}
}

// Free machines report later than full ones. While they have not, nothing that
// runs is stopped for work that waits; without recovery.hold it is.
func TestNothingIsStoppedBeforeTheMachinesHaveReported(t *testing.T) {
	for _, hold := range []bool{true, false} {
		x := newTrial(t, 0, 0)
		x.operator = func(s *config.Settings) { s.Operator.RecoveryHold = hold }
		for i := range 12 {
			x.join(fmt.Sprintf("host-%03d", i))
		}
		for _, label := range allNodes {
			x.restart(label)
			x.run(6 * time.Second)
		}
		for i := range 6 {
			x.submit(x.leader(), work(fmt.Sprintf("wk-%d", 1000+i), 4))
		}
		x.run(15 * time.Second)
		log := x.log()
		free := func(m *machine) bool { return len(m.Tasks) == 0 }
		var quiet []*machine
		x.each(func(m *machine) {
			if free(m) {
				quiet = append(quiet, m)
			}
		})
		if len(quiet) < 4 {
			t.Fatalf("%d machines are free", len(quiet))
		}
		urgent := work("wk-1", 4)
		urgent.Priority = wire.PriorityUrgent
		x.stopAll()
		x.alone(3 * time.Second)
		for _, m := range quiet {
			m.outboundCut = true
		}
		x.startAll()
		x.step()
		x.submit(x.nodes["a"], urgent)
		x.run(6 * time.Second)
		for _, m := range quiet {
			m.outboundCut = false
		}
		x.run(20 * time.Second)
		kills := len(log.Seen().Kills)
		if (kills == 0) != hold || x.everywhere("wk-1") != 4 {
			t.Errorf("hold %v: %d tasks that ran were stopped, %d urgent ones run", hold, kills, x.everywhere("wk-1"))
		}
	}
}

// The status page is answered at any time, also before a node has read anything.
func TestTheStatusPageIsThereFromTheBeginning(t *testing.T) {
	w := newWorld(t, "a")
	set := settings("b", []string{"a", "b"})
	set.Operator.RecoveryHold, set.Operator.QuotaReservations = true, true
	n := newController(dependencies{Environment: cluster.NewEnvironment(set, w.nodes["a"].Log, w.clk.now, w.st, w.nodes["a"].Limiter), cloud: w.cl, workerClient: unanswered{}})
	code, _, c := ask(n, "GET", "/status", nil)
	if page := string(c.Response.Body()); code != 200 || !strings.Contains(page, `recovery "loading"`) || !strings.Contains(page, "hold true") {
		t.Fatalf("%d %s", code, page)
	}
	if code, _, _ := ask(n, "GET", "/metrics", nil); code != 200 {
		t.Fatalf("metrics: %d", code)
	}
}

// Cold starts at random: machines hang, reboot or stay away, tasks end meanwhile,
// jobs are cancelled in the last second, nodes come back one by one and go down
// again. The rules hold (trial.check), and everything is done in the end.
func TestColdStartsAtRandom(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := rand.New(rand.NewPCG(seed, 3))
			x := coldWorld(t, 30, func(s *config.Settings) {
				s.Operator.RecoveryHold, s.Operator.RecoveryStarts = seed%2 == 0, int(seed%3)*10
			})
			x.patience = lease + 3*time.Second
			for range 3 {
				victim := fmt.Sprintf("wk-%d", 1000+r.IntN(22))
				x.cancelAt(x.leader(), victim)
				x.each(func(m *machine) {
					m.hung, m.outboundCut, m.holding = r.IntN(8) == 0, r.IntN(8) == 0, r.IntN(8) == 0
				})
				x.stopAll()
				x.alone(time.Duration(1+r.IntN(45)) * time.Second)
				for _, i := range r.Perm(len(allNodes)) {
					x.restart(allNodes[i])
					x.run(time.Duration(r.IntN(5)) * time.Second)
					if r.IntN(3) == 0 {
						x.restart(allNodes[i])
					}
				}
				x.run(time.Duration(r.IntN(15)) * time.Second)
				x.each(func(m *machine) { m.hung, m.outboundCut, m.holding = false, false, false })
			}
			x.run(600 * time.Second)
			n := x.leader()
			n.Lock()
			defer n.Unlock()
			for jobID, j := range n.Table.Jobs {
				if !j.Phase.Final() {
					t.Errorf("%s is %s at the end", jobID, j.Phase)
				}
			}
			if n.Recovery.Progress.Phase != recovery.Recovered {
				t.Errorf("the leader is %s at the end", n.Recovery.Progress.Phase)
			}
		})
	}
}

// BenchmarkColdStart measures a start of all nodes after an outage longer than
// the lease, in simulated time: seconds until the last task that a free machine
// could run does, starts that were repeated, the most starts in a second, and
// changes of the state service; in real time, what the nodes' passes take.
//
//	go test -run xxx -bench ColdStart -benchtime 1x ./internal/controller
func BenchmarkColdStart(b *testing.B) {
	for _, machines := range []int{200, 1000, 4000} {
		for _, rate := range []int{0, 100} {
			b.Run(fmt.Sprintf("machines=%d/starts=%d", machines, rate), func(b *testing.B) {
				for range b.N {
					x := coldWorld(b, machines, func(s *config.Settings) { s.Operator.RecoveryHold, s.Operator.RecoveryStarts = rate > 0, rate })
					x.run(60 * time.Second)
					before := x.runningTasks()
					log := x.log()
					x.stopAll()
					x.alone(lease + 5*time.Second)
					changes := x.st.Revision
					x.startAll()
					recovered, again := 0, 0
					for second := 1; second <= 120; second++ {
						x.step()
						if recovered == 0 && x.recovered() {
							recovered = second
						}
						if again == 0 && x.runningTasks() >= before*9/10 {
							again = second
						}
					}
					seen := log.Seen()
					b.ReportMetric(float64(before), "tasks")
					b.ReportMetric(float64(recovered), "recovered-s")
					b.ReportMetric(float64(again), "90%-running-s")
					b.ReportMetric(float64(len(seen.Repeated)), "repeated")
					b.ReportMetric(float64(len(seen.Kills)), "kills")
					b.ReportMetric(float64(log.Most(time.Second)), "most-starts/s")
					b.ReportMetric(float64(x.st.Revision-changes), "changes")
				}
			})
		}
	}
}
