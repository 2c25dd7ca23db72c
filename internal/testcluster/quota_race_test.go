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

// Environment variables that set a longer duration of the load than in CI, set its seed, and turn off
// the faults:
//
//	WHEATSPUR_RACE_FOR=1h WHEATSPUR_RACE_SEED=7 go test -run TestQuotaHoldsUnderConcurrentAdmissionsAndFaults/transfers -timeout 90m -v ./internal/testcluster
const (
	durationVariable = "WHEATSPUR_RACE_FOR"
	seedVariable     = "WHEATSPUR_RACE_SEED"
	noFaultsVariable = "WHEATSPUR_RACE_CALM"
)

// raceOptions are the settings from the environment variables.
type raceOptions struct {
	duration time.Duration
	seed     uint64
	noFaults bool
}

func raceOptionsFromEnvironment(t *testing.T) raceOptions {
	t.Helper()
	o := raceOptions{duration: 10 * time.Second, seed: 1, noFaults: os.Getenv(noFaultsVariable) != ""}
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

// Five controllers admit jobs of three teams, each of which has more work waiting than its limit
// allows, while controllers are killed and links fail. Neither the claims in the store nor the tasks
// on the machines may exceed a limit. Every team must reach its limit, and every accepted job must
// complete.
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
			usage := l.checker.Usage()
			l.failOnViolations(usage)
			if len(unfinished) > 0 {
				t.Fatalf("%d of %d accepted jobs are not done: %v", len(unfinished), len(l.acceptedAt), unfinished[:min(10, len(unfinished))])
			}
			l.checkLimitsWereTested(usage, options)
			l.log(options, underLoad, usage)
		})
	}
}

// run submits jobs and injects faults concurrently, and fails the test at the first violation.
func (l *quotaLoad) run(options raceOptions) {
	l.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), options.duration)
	defer cancel()
	var goroutines sync.WaitGroup
	goroutines.Go(func() { l.runUsers(ctx) })
	if !options.noFaults {
		for i, inject := range []func(context.Context, *rand.Rand){l.killControllers, l.failStoreLinks, l.cutMachineLinks} {
			goroutines.Go(func() { inject(ctx, rand.New(rand.NewPCG(options.seed, uint64(10+i)))) })
		}
	}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		l.failOnViolations(l.checker.Usage())
	}
	goroutines.Wait()
}

func (l *quotaLoad) failOnViolations(usage fake.Usage) {
	l.t.Helper()
	if len(usage.Violations) > 0 {
		l.t.Fatalf("%d violations: %v", len(usage.Violations), usage.Violations[:min(5, len(usage.Violations))])
	}
}

// checkLimitsWereTested checks that every team reached its limit, that there were enough admissions and
// faults, and that no claims are left after all jobs are done.
func (l *quotaLoad) checkLimitsWereTested(usage fake.Usage, options raceOptions) {
	l.t.Helper()
	for team, limit := range teamLimits {
		if usage.PeakClaimed[team] < limit {
			l.t.Errorf("team %s claimed at most %v of its limit %v, so the limit was not tested", team, usage.PeakClaimed[team], limit)
		}
		if usage.Claimed[team] != 0 {
			l.t.Errorf("team %s still claims %v GPUs after all jobs are done", team, usage.Claimed[team])
		}
	}
	minAdmissions := 2 * int(options.duration.Seconds())
	if usage.StoredClaims < minAdmissions || !options.noFaults && (l.kills < 1 || l.linkFaults < 2) {
		l.t.Errorf("%d admissions, %d kills and %d link faults in %v are too few for a meaningful test",
			usage.StoredClaims, l.kills, l.linkFaults, options.duration)
	}
}

func (l *quotaLoad) log(options raceOptions, underLoad, usage fake.Usage) {
	l.t.Helper()
	l.t.Logf("seed %d, %v: %d jobs, %d admissions, %d task starts, %d kills, %d link faults; highest claims %v of limits %v; delay from acceptance to first start p50 %d ms p90 %d ms p99 %d ms max %d ms",
		options.seed, options.duration, len(l.acceptedAt), usage.StoredClaims, usage.Started, l.kills, l.linkFaults, usage.PeakClaimed, teamLimits,
		l.startDelays.ValueAtQuantile(50), l.startDelays.ValueAtQuantile(90), l.startDelays.ValueAtQuantile(99), l.startDelays.Max())
	l.t.Logf("delay from a kill until every team has claimed all of its limit again: %d samples, p50 %d ms p90 %d ms p99 %d ms max %d ms", l.recoveryDelays.TotalCount(),
		l.recoveryDelays.ValueAtQuantile(50), l.recoveryDelays.ValueAtQuantile(90), l.recoveryDelays.ValueAtQuantile(99), l.recoveryDelays.Max())
	reuse := hdrhistogram.Import(underLoad.ReuseDelayMs)
	l.t.Logf("mean claimed share of the limits %v; delay from freed capacity to claimed capacity p50 %d ms p90 %d ms p99 %d ms max %d ms; %d store transactions",
		underLoad.MeanClaimedShare, reuse.ValueAtQuantile(50), reuse.ValueAtQuantile(90), reuse.ValueAtQuantile(99), reuse.Max(), l.storeRevision())
}
