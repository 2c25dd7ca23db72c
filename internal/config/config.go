// Package config reads and checks the platform's settings file (TOML) and the
// operators' own settings (Java-style properties).
package config

import (
	"errors"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
	"github.com/pelletier/go-toml/v2"

	"wheatspur/internal/tuning"
)

// Sibling is another controller node.
type Sibling struct {
	Label    string `toml:"label"`
	Domain   string `toml:"domain"`
	Endpoint string `toml:"endpoint"`
}

// Team has a guarantee and a limit per resource; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is one of the users' aims.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// Limits are those of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Settings is what the platform hands over.
type Settings struct {
	Label      string    `toml:"label"`
	Domain     string    `toml:"domain"`
	Bind       string    `toml:"bind"`
	PeerListen string    `toml:"peer_listen"`
	Siblings   []Sibling `toml:"siblings"`
	Endpoints  struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"endpoints"`
	Params struct {
		Count       int         `toml:"count"`
		Zones       []string    `toml:"zones"`
		TimeBoundMs float64     `toml:"time_bound_ms"`
		Teams       []Team      `toml:"teams"`
		Objectives  []Objective `toml:"objectives"`
		Workers     struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`
		} `toml:"workers"`
		State struct {
			Limits
			// Next holds the limits that the state service will have from some
			// moment on, which nobody tells; what is absent stays as it is.
			Next *Limits `toml:"next"`
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			CPUShare       float64 `toml:"cpu_share"`
			MemMB          float64 `toml:"mem_mb"`
			MaxConnections int     `toml:"max_connections"`
		} `toml:"limits"`
	} `toml:"params"`

	Operator Operator `toml:"-"`
}

// Operator is what operators may tune in a properties file.
type Operator struct {
	LogLevel         string
	RoleAdvisory     bool
	RoleExpand       float64
	RoleShrink       float64
	RoleMargin       float64
	RoleConfirm      int
	RoleCooldown     time.Duration
	RoleEvidenceMin  time.Duration
	RoleEvidenceMax  time.Duration
	RoleDemandRise   float64
	RoleUsable       float64
	RoleStartTarget  time.Duration
	ServiceHeadroom  float64
	BatchHeadroom    float64
	IdleSpot         time.Duration
	IdleOrdinary     time.Duration
	IntakeQueue      int
	PollQueue        int
	RetryAfterSecond int
	QuotaTransfers   bool

	QuotaReservations bool

	RecoveryHold   bool
	RecoveryStarts int // a second; 0: no bound
}

// DefaultOperator returns the defaults of package tuning.
func DefaultOperator() Operator {
	return Operator{
		RoleExpand: tuning.RoleExpand, RoleShrink: tuning.RoleShrink, RoleMargin: tuning.RoleMargin,
		RoleConfirm: tuning.RoleConfirmations, RoleCooldown: tuning.RoleCooldown,
		RoleEvidenceMin: tuning.RoleEvidenceMin, RoleEvidenceMax: tuning.RoleEvidenceMax,
		RoleDemandRise: tuning.RoleDemandRise, RoleUsable: tuning.RoleUsable,
		RoleStartTarget: tuning.RoleStartTarget,
		ServiceHeadroom: tuning.ServiceHeadroom, BatchHeadroom: tuning.BatchHeadroom,
		IdleSpot: tuning.IdleSpot, IdleOrdinary: tuning.IdleOnDemand,
		IntakeQueue: tuning.IntakeQueue, PollQueue: tuning.PollQueue, RetryAfterSecond: tuning.RetryAfter,
	}
}

// Load reads the settings file and, if named, the properties file.
func Load(path, propsPath string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if s.Operator, err = LoadOperator(propsPath); err != nil {
		return nil, err
	}
	return s, nil
}

// LoadOperator reads the properties file; without a name it returns the defaults.
func LoadOperator(path string) (Operator, error) {
	if path == "" {
		return DefaultOperator(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Operator{}, fmt.Errorf("properties: %w", err)
	}
	o, err := ParseOperator(text)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

// ErrRestart says that changed settings need a restart.
var ErrRestart = errors.New("keys other than log.level have changed, which needs a restart")

// Reloaded is the settings with those of a changed properties file that a running
// process can take over: log.level. If another key has changed, it is an error.
func (o Operator) Reloaded(next Operator) (Operator, error) {
	before := o
	before.LogLevel = next.LogLevel
	if before != next {
		return o, ErrRestart
	}
	return next, nil
}

// Parse decodes and checks a settings file; unknown fields are ignored.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		var de *toml.DecodeError
		if errors.As(err, &de) {
			row, col := de.Position()
			key := strings.Join(de.Key(), ".")
			if key != "" {
				key += ": "
			}
			return nil, fmt.Errorf("line %d column %d: %s%s", row, col, key, de.Error())
		}
		return nil, err
	}
	return &s, s.check()
}

// StateLimits are the limits that everything keeps to: the smaller of the
// present ones and those that come at a moment which nobody tells.
func (s *Settings) StateLimits() Limits {
	l, next := s.Params.State.Limits, s.Params.State.Next
	if next == nil {
		return l
	}
	if next.RPS != 0 {
		l.RPS = min(l.RPS, next.RPS)
	}
	if next.WriteRPS != 0 {
		l.WriteRPS = min(l.WriteRPS, next.WriteRPS)
	}
	if next.ValueKB != 0 {
		l.ValueKB = min(l.ValueKB, next.ValueKB)
	}
	if next.TxnOps != 0 {
		l.TxnOps = min(l.TxnOps, next.TxnOps)
	}
	return l
}

// WorkerLease returns the workers' lease.
func (s *Settings) WorkerLease() time.Duration { return Seconds(s.Params.Workers.LeaseS) }

// HeartbeatInterval returns the workers' report interval.
func (s *Settings) HeartbeatInterval() time.Duration { return Seconds(s.Params.Workers.ReportS) }

// RenewalBound is how long after its last fresh read a node may go on answering
// workers with 200: the leases that it renews must end before cancel_s.
func (s *Settings) RenewalBound() time.Duration {
	d := Seconds(s.Params.Workers.CancelS-s.Params.Workers.LeaseS*tuning.DriftFactor) - tuning.CancelMargin
	return max(d, 0)
}

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Params.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}

// Seconds turns a number of seconds into a duration.
func Seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

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
