package config

import (
	"errors"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// key is one operator setting: how it is set and its allowed range.
type key struct {
	set func(o *Operator, v string) error
	doc string
}

func number(min, max float64, dst func(*Operator) *float64, doc string) key {
	return key{func(o *Operator, v string) error {
		f, err := strconv.ParseFloat(v, 64)
		if err != nil || !(f >= min && f <= max) {
			return fmt.Errorf("%q is no number between %v and %v", v, min, max)
		}
		*dst(o) = f
		return nil
	}, fmt.Sprintf("number %v..%v; %s", min, max, doc)}
}

func flag(dst func(*Operator) *bool, doc string) key {
	return key{func(o *Operator, v string) error {
		if v != "true" && v != "false" {
			return fmt.Errorf("%q is neither true nor false", v)
		}
		*dst(o) = v == "true"
		return nil
	}, "true or false; " + doc}
}

func whole(min, max int, dst func(*Operator) *int, doc string) key {
	return key{func(o *Operator, v string) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < min || n > max {
			return fmt.Errorf("%q is no whole number between %d and %d", v, min, max)
		}
		*dst(o) = n
		return nil
	}, fmt.Sprintf("whole number %d..%d; %s", min, max, doc)}
}

func span(min, max time.Duration, dst func(*Operator) *time.Duration, doc string) key {
	return key{func(o *Operator, v string) error {
		d, err := time.ParseDuration(v)
		if err != nil || d < min || d > max {
			return fmt.Errorf("%q is no duration between %v and %v (such as 20s)", v, min, max)
		}
		*dst(o) = d
		return nil
	}, fmt.Sprintf("duration %v..%v; %s", min, max, doc)}
}

var keys = map[string]key{
	"log.level": {func(o *Operator, v string) error {
		switch v {
		case "error", "warn", "info", "debug":
			o.LogLevel = v
			return nil
		}
		return fmt.Errorf("%q is none of error, warn, info, debug", v)
	}, "error, warn, info or debug; LOG_LEVEL wins"},
	"roles.advisory":      flag(func(o *Operator) *bool { return &o.RoleAdvisory }, "record proposals, move nothing"),
	"recovery.hold":       flag(func(o *Operator) *bool { return &o.RecoveryHold }, "nothing is stopped, moved or rented while machines have not reported after a start"),
	"recovery.starts":     whole(0, 100000, func(o *Operator) *int { return &o.RecoveryStarts }, "starts of tasks a second and node while it recovers, 0: no bound"),
	"quota.reservations":  flag(func(o *Operator) *bool { return &o.QuotaReservations }, "the leader stores how long teams have waited within their guarantees"),
	"quota.transfers":     flag(func(o *Operator) *bool { return &o.QuotaTransfers }, "nodes give shares of a team's limit that they do not need to one that is short"),
	"roles.expand":        number(0.01, 100, func(o *Operator) *float64 { return &o.RoleExpand }, "batch load that permits a mixed-pressure move"),
	"roles.shrink":        number(0, 0.99, func(o *Operator) *float64 { return &o.RoleShrink }, "most source load of a consolidation"),
	"roles.margin":        number(0, 0.99, func(o *Operator) *float64 { return &o.RoleMargin }, "least drop of the worst ratio"),
	"roles.confirmations": whole(1, 100, func(o *Operator) *int { return &o.RoleConfirm }, "matching proposals before a move"),
	"roles.cooldown":      span(0, time.Hour, func(o *Operator) *time.Duration { return &o.RoleCooldown }, "between batch-to-service moves"),
	"roles.evidence.min":  span(time.Second, time.Hour, func(o *Operator) *time.Duration { return &o.RoleEvidenceMin }, "evidence window with enough arrivals"),
	"roles.evidence.max":  span(time.Second, time.Hour, func(o *Operator) *time.Duration { return &o.RoleEvidenceMax }, "evidence window without"),
	"roles.demand.rise":   number(0, 10, func(o *Operator) *float64 { return &o.RoleDemandRise }, "tolerated rise of short over long demand"),
	"roles.usable":        number(0.05, 1, func(o *Operator) *float64 { return &o.RoleUsable }, "usable share of a service machine"),
	"roles.start.target":  span(time.Second, time.Hour, func(o *Operator) *time.Duration { return &o.RoleStartTarget }, "start-time target of batch work"),
	"fleet.headroom.service": number(0, 5, func(o *Operator) *float64 { return &o.ServiceHeadroom },
		"spare service capacity as a share of what is held"),
	"fleet.headroom.batch": number(0, 5, func(o *Operator) *float64 { return &o.BatchHeadroom },
		"spare batch capacity as a share of what is held"),
	"fleet.idle.spot":     span(time.Second, time.Hour, func(o *Operator) *time.Duration { return &o.IdleSpot }, "before an idle spot machine goes back"),
	"fleet.idle.ordinary": span(time.Second, time.Hour, func(o *Operator) *time.Duration { return &o.IdleOrdinary }, "before an idle ordinary machine goes back"),
	"intake.queue":        whole(1, 10000, func(o *Operator) *int { return &o.IntakeQueue }, "submissions waiting for their durable write"),
	"polls.queue":         whole(1, 100000, func(o *Operator) *int { return &o.PollQueue }, "polls waiting for a read barrier"),
	"retry.after":         whole(1, 30, func(o *Operator) *int { return &o.RetryAfterSecond }, "seconds that refused users are told to wait"),
}

// ParseOperator decodes and checks a properties file.
func ParseOperator(b []byte) (Operator, error) {
	o := DefaultOperator()
	l := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	p, err := l.LoadBytes(b)
	if err != nil {
		return o, err
	}
	names := p.Keys()
	sort.Strings(names)
	for _, name := range names {
		k, ok := keys[name]
		if !ok {
			return o, fmt.Errorf("%s: unknown key", name)
		}
		v, _ := p.Get(name)
		if err := k.set(&o, strings.TrimSpace(v)); err != nil {
			return o, fmt.Errorf("%s: %w", name, err)
		}
	}
	if o.RoleEvidenceMax < o.RoleEvidenceMin {
		return o, errors.New("roles.evidence.max: is less than roles.evidence.min")
	}
	if o.RoleShrink >= o.RoleExpand {
		return o, errors.New("roles.shrink: must be below roles.expand")
	}
	return o, nil
}

// OperatorHelp lists the operator keys with type, range and meaning.
func OperatorHelp() string {
	names := make([]string, 0, len(keys))
	for n := range keys {
		names = append(names, n)
	}
	sort.Strings(names)
	var sb strings.Builder
	for _, n := range names {
		fmt.Fprintf(&sb, "%-24s %s\n", n, keys[n].doc)
	}
	return sb.String()
}
