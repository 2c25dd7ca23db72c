package testcluster

import (
	"context"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wheatspur/internal/fake"
)

// Variables that make the race longer than in CI, choose its seed, and leave the
// faults out:
//
//	WHEATSPUR_RACE_FOR=1h WHEATSPUR_RACE_SEED=7 go test -run TestQuotaHoldsUnderConcurrentAdmissionsAndFaults/transfers -timeout 90m -v ./internal/testcluster
const (
	durationVariable  = "WHEATSPUR_RACE_FOR"
	seedVariable      = "WHEATSPUR_RACE_SEED"
	faultlessVariable = "WHEATSPUR_RACE_CALM"
)

// raceOptions are what the variables set.
type raceOptions struct {
	duration  time.Duration
	seed      uint64
	faultless bool
}

func raceOptionsFromEnvironment(t *testing.T) raceOptions {
	t.Helper()
	o := raceOptions{duration: 10 * time.Second, seed: 1, faultless: os.Getenv(faultlessVariable) != ""}
	var err error
	if text := os.Getenv(durationVariable); text != "" {
		if o.duration, err = time.ParseDuration(text); err != nil {
			t.Fatal(err)
		}
	}
	if text := os.Getenv(seedVariable); text != "" {
		if o.seed, err = strconv.ParseUint(text, 10, 64); err != nil {
			t.Fatal(err)
		}
	}
	return o
}

// Five controllers admit work of three teams, each with more waiting than its
// limit allows, while controllers are killed and links fail. No limit is
// exceeded, by claims in the store or by tasks on the machines; the limits are
// reached; and everything that was accepted is done in the end.
func TestQuotaHoldsUnderConcurrentAdmissionsAndFaults(t *testing.T) {
	for _, c := range []struct{ name, properties string }{
		{"defaults", ""},
		{"transfers", "quota.transfers=true\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			options := raceOptionsFromEnvironment(t)
			l := newQuotaLoad(t, options.seed, c.properties)
			l.run(options)
			underLoad := l.checker.Usage()
			unfinished := l.awaitAllDone(500 * time.Millisecond)
			seen := l.checker.Usage()
			l.failOnViolations(seen)
			if len(unfinished) > 0 {
				t.Fatalf("%d of %d accepted jobs are not done: %v", len(unfinished), len(l.accepted), unfinished[:min(10, len(unfinished))])
			}
			l.checkLimitsWereTested(seen, options)
			l.log(options, underLoad, seen)
		})
	}
}

// run lets users and faults race for a time, and fails at the first violation.
func (l *quotaLoad) run(options raceOptions) {
	l.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), options.duration)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { l.runUsers(ctx) })
	if !options.faultless {
		for i, inject := range []func(context.Context, *rand.Rand){l.killControllers, l.failStoreLinks, l.cutMachineLinks} {
			all.Go(func() { inject(ctx, rand.New(rand.NewPCG(options.seed, uint64(10+i)))) })
		}
	}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		l.failOnViolations(l.checker.Usage())
	}
	all.Wait()
}

func (l *quotaLoad) failOnViolations(seen fake.Usage) {
	l.t.Helper()
	if len(seen.Violations) > 0 {
		l.t.Fatalf("%d violations: %v", len(seen.Violations), seen.Violations[:min(5, len(seen.Violations))])
	}
}

// checkLimitsWereTested checks that every team reached its limit and that enough
// happened, and that nothing is claimed when all is done.
func (l *quotaLoad) checkLimitsWereTested(seen fake.Usage, options raceOptions) {
	l.t.Helper()
	for team, limit := range teamLimits {
		if seen.Highest[team] < limit {
			l.t.Errorf("%s never had more than %v of %v: its limit was not tested", team, seen.Highest[team], limit)
		}
		if seen.Claimed[team] != 0 {
			l.t.Errorf("%s has claims of %v GPUs when all is done", team, seen.Claimed[team])
		}
	}
	least := 2 * int(options.duration.Seconds())
	if seen.Admitted < least || !options.faultless && (l.kills < 1 || l.linkFaults < 2) {
		l.t.Errorf("%d admissions, %d kills and %d link faults in %v: too few to test anything",
			seen.Admitted, l.kills, l.linkFaults, options.duration)
	}
}

func (l *quotaLoad) log(options raceOptions, underLoad, seen fake.Usage) {
	l.t.Helper()
	l.t.Logf("seed %d, %v: %d jobs, %d admissions, %d starts, %d kills, %d link faults; most claimed %v of %v; wait from acceptance to first start p50 %d ms p90 %d ms p99 %d ms max %d ms",
		options.seed, options.duration, len(l.accepted), seen.Admitted, seen.Started, l.kills, l.linkFaults, seen.Highest, teamLimits,
		l.startDelays.ValueAtQuantile(50), l.startDelays.ValueAtQuantile(90), l.startDelays.ValueAtQuantile(99), l.startDelays.Max())
	l.t.Logf("from a kill until every team had all of its limit again: %d times, p50 %d ms p90 %d ms p99 %d ms max %d ms", l.recoveryDelays.TotalCount(),
		l.recoveryDelays.ValueAtQuantile(50), l.recoveryDelays.ValueAtQuantile(90), l.recoveryDelays.ValueAtQuantile(99), l.recoveryDelays.Max())
	reuse := hdrhistogram.Import(underLoad.Reuse)
	l.t.Logf("mean share of the limit claimed %v; from capacity freed to capacity claimed again p50 %d ms p90 %d ms p99 %d ms max %d ms; %d changes stored",
		underLoad.Share, reuse.ValueAtQuantile(50), reuse.ValueAtQuantile(90), reuse.ValueAtQuantile(99), reuse.Max(), l.storeRevision())
}
