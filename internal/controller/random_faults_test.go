package controller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"wheatspur/internal/config"
	"wheatspur/wire"
)

// storm lets troubles meet as chance has it: the same for the same seed, as far
// as the program does the same.
type storm struct {
	*trial
	r        *rand.Rand
	over     map[string]func() // how troubles end
	until    map[string]time.Time
	ways     []*access // also of former processes
	copies   []wire.Heartbeat
	accepted map[string]time.Time
	final    map[string]string // phases that users were told
	asked    map[string]bool   // jobs whose users asked to cancel them
	n        int
}

func (s *storm) chance(every float64) bool { return s.r.Float64() < 1/every }

func (s *storm) seconds(least, most int) time.Duration {
	return time.Duration(least+s.r.IntN(most-least+1)) * time.Second
}

// trouble begins one, if it is not there, and notes how and when it ends.
func (s *storm) trouble(name string, d time.Duration, begin, end func()) {
	if _, on := s.until[name]; on {
		return
	}
	begin()
	s.until[name], s.over[name] = s.clk.now().Add(d), end
}

// calm ends the troubles whose time is up, or all.
func (s *storm) calm(all bool) {
	for _, name := range slices.Sorted(maps.Keys(s.until)) {
		if all || !s.clk.now().Before(s.until[name]) {
			s.over[name]()
			delete(s.until, name)
			delete(s.over, name)
		}
	}
}

func (s *storm) refuse(label string, on bool) { s.way[label].set(on) }

// blow begins the troubles of one second.
func (s *storm) blow() {
	labels := slices.Sorted(maps.Keys(s.nodes))
	label := labels[s.r.IntN(len(labels))]
	m := s.machines[s.r.IntN(len(s.machines))]
	if s.chance(40) {
		d := s.seconds(2, 25)
		s.trouble("state", d, func() {
			s.refuse(label, true)
			if d > 4*time.Second && s.chance(1.5) {
				s.end(s.nodes[label])
			}
		}, func() { s.refuse(label, false) })
	}
	if s.chance(90) {
		s.calmOne("state")
		s.trouble("outage", s.seconds(3, 80), func() {
			for _, l := range labels {
				s.refuse(l, true)
			}
		}, func() {
			for _, l := range labels {
				s.refuse(l, false)
			}
		})
	}
	if _, out := s.until["outage"]; !out && s.chance(50) {
		s.calmOne("state")
		s.restart(label)
		s.ways = append(s.ways, s.way[label])
	}
	if s.chance(60) {
		s.end(s.nodes[label])
	}
	if s.chance(8) {
		w := s.way[label]
		w.mu.Lock()
		w.late = 1 + s.r.IntN(3)
		w.mu.Unlock()
	}
	if s.chance(12) {
		s.st.Mu.Lock()
		s.st.Lose = 1
		s.st.Mu.Unlock()
	}
	for _, w := range s.ways {
		if s.chance(6) {
			w.carryOut()
		}
	}
	on := func(name string, flag *bool, least, most int) {
		s.trouble(name+m.Host, s.seconds(least, most), func() { *flag = true }, func() { *flag = false })
	}
	if s.chance(25) {
		on("hung", &m.hung, 3, 40)
	}
	if s.chance(25) {
		on("inbound", &m.inboundCut, 3, 50)
	}
	if s.chance(25) {
		on("outbound", &m.outboundCut, 3, 50)
	}
	if s.chance(20) {
		on("holding", &m.holding, 2, 30)
	}
	if s.chance(25) {
		s.trouble("cut"+m.Host, s.seconds(3, 50), func() { m.cut[label] = true }, func() { delete(m.cut, label) })
	}
	for _, m := range s.machines {
		s.copies = append(s.copies, m.last)
	}
	if s.chance(6) {
		r := s.copies[s.r.IntN(len(s.copies))]
		for _, l := range labels {
			c := r
			s.nodes[l].take(&c)
		}
	}
}

func (s *storm) calmOne(name string) {
	if end := s.over[name]; end != nil {
		end()
		delete(s.over, name)
		delete(s.until, name)
	}
}

// told holds an answer about a job against what users were told before.
func (s *storm) told(what, jobID, label string, code int, st wire.JobStatus) {
	s.t.Helper()
	if code == 404 || code == 400 || code == 422 {
		if _, ok := s.accepted[jobID]; ok {
			s.t.Errorf("%s of %s, which is accepted, at %s: %d", what, jobID, label, code)
		}
		return
	}
	if code != 200 && code != 201 {
		return
	}
	if _, ok := s.accepted[jobID]; !ok {
		s.accepted[jobID] = s.clk.now()
	}
	if was, ok := s.final[jobID]; ok && st.State != was {
		s.t.Errorf("%s of %s at %s: %s, told %s before", what, jobID, label, st.State, was)
	}
	if st.State == wire.StateCancelled && !s.asked[jobID] {
		s.t.Errorf("%s is cancelled and its user did not ask", jobID)
	}
	if st.State == wire.StateDone || st.State == wire.StateCancelled {
		s.final[jobID] = st.State
	}
}

// users do what users do in one second.
func (s *storm) users() {
	labels := slices.Sorted(maps.Keys(s.nodes))
	s.r.Shuffle(len(labels), func(a, b int) { labels[a], labels[b] = labels[b], labels[a] })
	if s.chance(7) {
		s.n++
		wk := work(fmt.Sprintf("wk-%d", s.n), 1+s.r.IntN(6))
		s.runs[wk.ID] = s.seconds(4, 45)
		for _, l := range labels[:1+s.r.IntN(len(labels))] {
			code, st, _ := ask(s.nodes[l], "POST", "/work", wk)
			s.told("submission", wk.ID, l, code, st)
		}
	}
	jobIDs := slices.Sorted(maps.Keys(s.accepted))
	if len(jobIDs) == 0 {
		return
	}
	if jobID := jobIDs[len(jobIDs)-1-s.r.IntN(min(len(jobIDs), 6))]; s.chance(9) {
		s.asked[jobID] = true
		l := labels[0]
		code, st, _ := ask(s.nodes[l], "POST", "/work/"+jobID+"/cancel", nil)
		s.told("cancellation", jobID, l, code, st)
		s.mu.Lock()
		if _, ok := s.confirmed[jobID]; !ok && code == 200 && st.State == wire.StateCancelled {
			s.confirmed[jobID] = s.clk.now()
		}
		s.mu.Unlock()
		for _, l := range labels {
			code, st, _ := ask(s.nodes[l], "GET", "/work/"+jobID, nil)
			s.told("question", jobID, l, code, st)
		}
	}
	if s.chance(10) {
		jobID := jobIDs[s.r.IntN(len(jobIDs))]
		for _, l := range labels {
			code, st, _ := ask(s.nodes[l], "GET", "/work/"+jobID, nil)
			s.told("question", jobID, l, code, st)
		}
	}
}

// Troubles meet at random, for minutes: the rules hold at any moment, and once
// all is over every accepted job that was not cancelled is done, nothing of the
// others is left, and the team's whole limit is free.
func TestTroublesAtRandom(t *testing.T) {
	const minutes, seeds = 5, 16
	var over atomic.Int64 // jobs whose end users were told
	t.Cleanup(func() {
		// How many a single seed has accepted depends on what the nodes refuse.
		if over.Load() < 12*seeds {
			t.Errorf("%d jobs are over: nothing is tested", over.Load())
		}
	})
	for seed := range uint64(seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			x := newTrial(t, 2, 16)
			s := &storm{trial: x, r: rand.New(rand.NewPCG(seed, 1)), over: map[string]func(){}, until: map[string]time.Time{},
				accepted: map[string]time.Time{}, final: map[string]string{}, asked: map[string]bool{}}
			if seed%2 == 1 {
				x.transfers()
				x.operator = func(s *config.Settings) { s.Operator.QuotaTransfers = true }
			}
			for _, m := range x.machines {
				m.ImageTime = time.Duration(s.r.IntN(4)) * time.Second
			}
			for _, l := range slices.Sorted(maps.Keys(x.nodes)) {
				s.ways = append(s.ways, x.way[l])
			}
			// A start that is held, or an image under way on a machine that does not
			// hear, may come as late as the machine's lease ends.
			s.patience = lease + 3*time.Second
			for range minutes * 60 {
				s.calm(false)
				s.blow()
				s.users()
				s.step()
				for _, n := range s.nodes {
					checkView(t, n)
				}
			}
			s.calm(true)
			for _, w := range s.ways {
				w.carryOut()
				w.late = 0
			}
			s.run(240 * time.Second)
			for jobID := range s.accepted {
				for _, l := range slices.Sorted(maps.Keys(s.nodes)) {
					code, st, _ := ask(s.nodes[l], "GET", "/work/"+jobID, nil)
					s.told("question", jobID, l, code, st)
					if code != 200 || st.State != wire.StateDone && st.State != wire.StateCancelled {
						t.Errorf("%s at the end at %s: %d %+v", jobID, l, code, st)
					}
				}
			}
			n := s.leader()
			n.Lock()
			used, claims := n.Table.ResourcesByTeam["x"], len(n.Table.ClaimsByMachine)
			n.Unlock()
			if used.GPUs > 1e-6 || claims != 0 {
				t.Errorf("claims of %v are left on %d machines\n%s", used, claims, x)
			}
			over.Add(int64(len(s.final)))
		})
	}
}
