package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheatspur/internal/config"
	"wheatspur/internal/fake"
	"wheatspur/wire"
)

func TestMain(m *testing.M) {
	Main()
	os.Exit(m.Run())
}

// Variables that make the race longer than in CI, choose its seed, and leave the
// troubles out:
//
//	WHEATSPUR_RACE_FOR=1h WHEATSPUR_RACE_SEED=7 go test -run TestRaceOfAdmissions/transfers -timeout 90m -v ./internal/testcluster
const (
	raceFor  = "WHEATSPUR_RACE_FOR"
	raceSeed = "WHEATSPUR_RACE_SEED"
	raceCalm = "WHEATSPUR_RACE_CALM"
)

// raceLimits are the GPUs that each team may use at once: less than the
// machines have, so that every team is at its limit most of the time.
var raceLimits = map[string]float64{"x": 7, "y": 5, "z": 11}

// race is users that submit more than the limits allow, and troubles.
type race struct {
	*Cluster
	t       *testing.T
	checker *fake.UsageChecker
	random  *rand.Rand

	mu       sync.Mutex
	runs     map[string]time.Duration // of a job's tasks
	accepted map[string]time.Time
	begun    map[string]bool
	waiting  map[string]int // jobs that were submitted and have not begun, by team
	teams    map[string]string
	waits    *hdrhistogram.Histogram // from acceptance to the first start, in milliseconds
	regained *hdrhistogram.Histogram // from a kill until every team had all of its limit again, in milliseconds
	serial   int
	kills    int
	cuts     int
}

func newRace(t *testing.T, seed uint64, properties string) *race {
	t.Helper()
	r := &race{t: t, checker: fake.NewUsageChecker(raceLimits), random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]time.Duration{},
		accepted: map[string]time.Time{}, begun: map[string]bool{}, waiting: map[string]int{}, teams: map[string]string{}, waits: hdrhistogram.New(1, 600_000, 3), regained: hdrhistogram.New(1, 600_000, 3)}
	var teams []config.Team
	for _, name := range []string{"x", "y", "z"} {
		teams = append(teams, config.Team{Name: name, GPUsMax: raceLimits[name]})
	}
	cluster, err := Start(t.TempDir(), Options{Controllers: 5, Machines: 8, Teams: teams, Properties: properties, Seed: seed, Lease: 6 * time.Second,
		Types:  []wire.MachineType{{Label: "g", CPUs: 64, GPUs: 8, RAMGB: 64, FetchGBPerS: 10, Price: 1, SpotPrice: 1, StartupS: 30, Zones: []string{"z"}}},
		Begins: r.begins,
		Ended:  func(_ *fake.Worker, t *fake.Task) { r.checker.Ends(t.TaskStatus.Task, t.JobID) },
	}, r.checker.Applied)
	if err != nil {
		t.Fatal(err)
	}
	r.Cluster = cluster
	t.Cleanup(cluster.Close)
	return r
}

// begins takes the start of a task and says how long it runs.
func (r *race) begins(w *fake.Worker, t *fake.Task) time.Duration {
	r.checker.Starts(w.Host, t.TaskStatus.Task, t.JobID)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun[t.JobID] {
		return r.runs[t.JobID]
	}
	r.begun[t.JobID] = true
	r.waiting[r.teams[t.JobID]]--
	if at, ok := r.accepted[t.JobID]; ok {
		_ = r.waits.RecordValue(max(1, time.Since(at).Milliseconds()))
	}
	return r.runs[t.JobID]
}

// ask sends a user's request to a controller; 0 if there is no answer.
func (r *race) ask(controller int, method, path string, body any) (int, wire.JobStatus) {
	code, answer := r.Ask(controller, method, path, body)
	var status wire.JobStatus
	_ = wire.Unmarshal(answer, &status)
	return code, status
}

// submit submits a job until a controller has accepted it, at one after the
// other.
func (r *race) submit(ctx context.Context, spec wire.JobSpec, runs time.Duration, first int) {
	r.mu.Lock()
	r.runs[spec.ID], r.teams[spec.ID] = runs, spec.Team
	r.waiting[spec.Team]++
	r.mu.Unlock()
	r.checker.Submitted(spec)
	for try := 0; ctx.Err() == nil; try++ {
		if status, _ := r.ask((first+try)%len(r.controllers), "POST", "/work", spec); status == 200 || status == 201 {
			r.mu.Lock()
			r.accepted[spec.ID] = time.Now()
			r.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// job is a job of a few tasks, or now and then as large as its team's limit.
func (r *race) job(team string) (wire.JobSpec, time.Duration) {
	r.serial++
	tasks := 1 + r.random.IntN(4)
	if r.random.IntN(12) == 0 {
		tasks = int(raceLimits[team])
	}
	spec := wire.JobSpec{ID: fmt.Sprintf("wk-%d", r.serial), Class: "c", Team: team, Kind: wire.KindArray, Priority: wire.PriorityNormal,
		Tasks: tasks, CPUs: 1, GPUs: 1, RAMGB: 1, Image: "img", ImageGB: 1, Spot: true, EstimateS: 1}
	return spec, time.Duration(50+r.random.IntN(500)) * time.Millisecond
}

// mostWaiting is how many jobs of a team wait at once: enough that there is
// always one for room that is freed.
const mostWaiting = 12

// users keeps submitting for each team of which not too much waits.
func (r *race) users(ctx context.Context) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(20+r.random.IntN(80)) * time.Millisecond)
		for _, team := range []string{"x", "y", "z"} {
			r.mu.Lock()
			enough := r.waiting[team] >= mostWaiting
			r.mu.Unlock()
			if enough {
				continue
			}
			for range 1 + r.random.IntN(3) { // in the same instant, at different controllers
				spec, runs := r.job(team)
				first := r.random.IntN(len(r.controllers))
				submissions.Go(func() { r.submit(ctx, spec, runs, first) })
			}
		}
	}
}

// pause waits for a while between two times, or until ctx ends.
func pause(ctx context.Context, random *rand.Rand, least, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(least + time.Duration(random.Int64N(int64(most-least)))):
	}
}

// count adds one to a number that other goroutines may read.
func (r *race) count(n *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*n++
}

// killControllers kills one controller after the other.
func (r *race) killControllers(ctx context.Context, random *rand.Rand) {
	var watching sync.WaitGroup
	defer watching.Wait()
	for pause(ctx, random, time.Second, 5*time.Second); ctx.Err() == nil; pause(ctx, random, time.Second, 5*time.Second) {
		i := random.IntN(len(r.controllers))
		if !r.Kill(i) {
			r.t.Errorf("%s had ended by itself", r.Label(i))
		}
		r.count(&r.kills)
		at := time.Now()
		watching.Go(func() { r.watchLimits(ctx, at) })
		pause(ctx, random, 50*time.Millisecond, 1500*time.Millisecond)
		if err := r.StartController(i); err != nil {
			r.t.Error(err)
		}
	}
}

// watchLimits notes how long after a moment every team has all of its limit again.
func (r *race) watchLimits(ctx context.Context, at time.Time) {
	for !r.checker.FullSince(at) {
		if ctx.Err() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.regained.RecordValue(max(1, time.Since(at).Milliseconds()))
}

// cutStore lets the link of one controller to the state service fail at a time.
func (r *race) cutStore(ctx context.Context, random *rand.Rand) {
	faults := []fake.Faults{{Refuse: true}, {Cut: true}, {Lost: 0.5}, {Late: 0.5}, {Lost: 0.2, Late: 0.2, Delay: 30 * time.Millisecond}}
	for pause(ctx, random, 300*time.Millisecond, 2*time.Second); ctx.Err() == nil; pause(ctx, random, 300*time.Millisecond, 2*time.Second) {
		link := r.State(random.IntN(len(r.controllers)))
		link.Set(faults[random.IntN(len(faults))])
		r.count(&r.cuts)
		pause(ctx, random, 500*time.Millisecond, 4*time.Second)
		link.Set(fake.Faults{})
	}
}

// cutMachines lets one machine not reach one controller at a time.
func (r *race) cutMachines(ctx context.Context, random *rand.Rand) {
	for pause(ctx, random, 300*time.Millisecond, 2*time.Second); ctx.Err() == nil; pause(ctx, random, 300*time.Millisecond, 2*time.Second) {
		link := r.Machines[random.IntN(len(r.Machines))].Link(r.Label(random.IntN(len(r.controllers))))
		link.Set(fake.Faults{Cut: true})
		r.count(&r.cuts)
		pause(ctx, random, 500*time.Millisecond, 8*time.Second)
		link.Set(fake.Faults{})
	}
}

// unfinished lists accepted jobs that no controller calls done.
func (r *race) unfinished() (out []string) {
	r.mu.Lock()
	jobIDs := make([]string, 0, len(r.accepted))
	for jobID := range r.accepted {
		jobIDs = append(jobIDs, jobID)
	}
	r.mu.Unlock()
	for i, jobID := range jobIDs {
		if status, answer := r.ask(i%len(r.controllers), "GET", "/work/"+jobID, nil); status != 200 || answer.State != wire.StateDone {
			out = append(out, fmt.Sprintf("%s (%d %s)", jobID, status, answer.State))
		}
	}
	return out
}

// changes is how many transactions the state service has applied.
func (r *race) changes() uint64 {
	r.Store.Mu.Lock()
	defer r.Store.Mu.Unlock()
	return r.Store.Revision
}

// Five controllers admit work of three teams, each with more waiting than its
// limit allows, while controllers are killed and links fail. No limit is
// exceeded, by claims in the state service or by tasks on the machines; the
// limits are reached; and everything that was accepted is done in the end.
func TestRaceOfAdmissions(t *testing.T) {
	t.Run("defaults", func(t *testing.T) { raceOfAdmissions(t, "") })
	t.Run("transfers", func(t *testing.T) { raceOfAdmissions(t, "quota.transfers=true\n") })
}

func raceOfAdmissions(t *testing.T, properties string) {
	t.Helper()
	length, seed := 10*time.Second, uint64(1)
	if text := os.Getenv(raceFor); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil {
			t.Fatal(err)
		}
		length = d
	}
	if text := os.Getenv(raceSeed); text != "" {
		n, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		seed = n
	}
	calm := os.Getenv(raceCalm) != ""
	r := newRace(t, seed, properties)
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { r.users(ctx) })
	for i, trouble := range []func(context.Context, *rand.Rand){r.killControllers, r.cutStore, r.cutMachines} {
		if calm {
			break
		}
		all.Go(func() { trouble(ctx, rand.New(rand.NewPCG(seed, uint64(10+i)))) })
	}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		if seen := r.checker.Seen(); len(seen.Faults) > 0 {
			t.Fatalf("%d faults: %v", len(seen.Faults), seen.Faults[:min(5, len(seen.Faults))])
		}
	}
	all.Wait()
	busy := r.checker.Seen()
	left := r.unfinished()
	for deadline := time.Now().Add(60 * time.Second); len(left) > 0 && time.Now().Before(deadline); left = r.unfinished() {
		time.Sleep(500 * time.Millisecond)
	}
	seen := r.checker.Seen()
	if len(seen.Faults) > 0 {
		t.Fatalf("%d faults: %v", len(seen.Faults), seen.Faults[:min(5, len(seen.Faults))])
	}
	if len(left) > 0 {
		t.Fatalf("%d of %d accepted jobs are not done: %v", len(left), len(r.accepted), left[:min(10, len(left))])
	}
	for team, limit := range raceLimits {
		if seen.Highest[team] < limit {
			t.Errorf("%s never had more than %v of %v: its limit was not tested", team, seen.Highest[team], limit)
		}
		if seen.Claimed[team] != 0 {
			t.Errorf("%s has claims of %v GPUs when all is done", team, seen.Claimed[team])
		}
	}
	if least := int(length.Seconds()); seen.Admitted < 2*least || !calm && (r.kills < 1 || r.cuts < 2) {
		t.Errorf("%d admissions, %d kills and %d cuts in %v: too few to test anything", seen.Admitted, r.kills, r.cuts, length)
	}
	t.Logf("seed %d, %v: %d jobs, %d admissions, %d starts, %d kills, %d cuts; most claimed %v of %v; wait from acceptance to first start p50 %d ms p90 %d ms p99 %d ms max %d ms",
		seed, length, len(r.accepted), seen.Admitted, seen.Started, r.kills, r.cuts, seen.Highest, raceLimits,
		r.waits.ValueAtQuantile(50), r.waits.ValueAtQuantile(90), r.waits.ValueAtQuantile(99), r.waits.Max())
	t.Logf("from a kill until every team had all of its limit again: %d times, p50 %d ms p90 %d ms p99 %d ms max %d ms", r.regained.TotalCount(),
		r.regained.ValueAtQuantile(50), r.regained.ValueAtQuantile(90), r.regained.ValueAtQuantile(99), r.regained.Max())
	reuse := hdrhistogram.Import(busy.Reuse)
	t.Logf("mean share of the limit claimed %v; from room freed to room used p50 %d ms p90 %d ms p99 %d ms max %d ms; %d changes stored",
		busy.Share, reuse.ValueAtQuantile(50), reuse.ValueAtQuantile(90), reuse.ValueAtQuantile(99), reuse.Max(), r.changes())
}
