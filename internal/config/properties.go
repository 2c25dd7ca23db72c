package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/magiconair/properties"
)

// property is one key of the operators' properties file.
type property struct {
	set func(o *OperatorSettings, value string) error // parses, checks and assigns a value
	doc string                                        // type, range and meaning, as shown in the help
}

func numberProperty(lower, upper float64, field func(*OperatorSettings) *float64, doc string) property {
	return property{func(o *OperatorSettings, value string) error {
		number, err := strconv.ParseFloat(value, 64)
		if err != nil || !(number >= lower && number <= upper) { // also rejects NaN
			return fmt.Errorf("%q is not a number between %v and %v", value, lower, upper)
		}
		*field(o) = number
		return nil
	}, fmt.Sprintf("number %v..%v; %s", lower, upper, doc)}
}

func booleanProperty(field func(*OperatorSettings) *bool, doc string) property {
	return property{func(o *OperatorSettings, value string) error {
		if value != "true" && value != "false" {
			return fmt.Errorf("%q is neither true nor false", value)
		}
		*field(o) = value == "true"
		return nil
	}, "true or false; " + doc}
}

func integerProperty(lower, upper int, field func(*OperatorSettings) *int, doc string) property {
	return property{func(o *OperatorSettings, value string) error {
		number, err := strconv.Atoi(value)
		if err != nil || number < lower || number > upper {
			return fmt.Errorf("%q is not a whole number between %d and %d", value, lower, upper)
		}
		*field(o) = number
		return nil
	}, fmt.Sprintf("whole number %d..%d; %s", lower, upper, doc)}
}

func durationProperty(lower, upper time.Duration, field func(*OperatorSettings) *time.Duration, doc string) property {
	return property{func(o *OperatorSettings, value string) error {
		duration, err := time.ParseDuration(value)
		if err != nil || duration < lower || duration > upper {
			return fmt.Errorf("%q is not a duration between %v and %v (such as 20s)", value, lower, upper)
		}
		*field(o) = duration
		return nil
	}, fmt.Sprintf("duration %v..%v; %s", lower, upper, doc)}
}

func logLevelProperty(doc string) property {
	return property{func(o *OperatorSettings, value string) error {
		switch value {
		case "error", "warn", "info", "debug":
			o.LogLevel = value
			return nil
		}
		return fmt.Errorf("%q is not one of error, warn, info, debug", value)
	}, "error, warn, info or debug; " + doc}
}

// propertyByKey holds every property by its key in the file. The command's help shows the texts.
var propertyByKey = map[string]property{
	"log.level": logLevelProperty("LOG_LEVEL wins"),
	"roles.advisory": booleanProperty(
		func(o *OperatorSettings) *bool { return &o.RoleAdvisory },
		"record proposals, move nothing"),
	"recovery.hold": booleanProperty(
		func(o *OperatorSettings) *bool { return &o.RecoveryHold },
		"nothing is stopped, moved or rented while machines have not reported after a start"),
	"recovery.starts": integerProperty(0, 100000,
		func(o *OperatorSettings) *int { return &o.RecoveryStarts },
		"starts of tasks a second and node while it recovers, 0: no bound"),
	"quota.reservations": booleanProperty(
		func(o *OperatorSettings) *bool { return &o.QuotaReservations },
		"the leader stores how long teams have waited within their guarantees"),
	"quota.transfers": booleanProperty(
		func(o *OperatorSettings) *bool { return &o.QuotaTransfers },
		"nodes give shares of a team's limit that they do not need to one that is short"),
	"roles.expand": numberProperty(0.01, 100,
		func(o *OperatorSettings) *float64 { return &o.RoleExpand },
		"batch load that permits a mixed-pressure move"),
	"roles.shrink": numberProperty(0, 0.99,
		func(o *OperatorSettings) *float64 { return &o.RoleShrink },
		"most source load of a consolidation"),
	"roles.margin": numberProperty(0, 0.99,
		func(o *OperatorSettings) *float64 { return &o.RoleMargin },
		"least drop of the worst ratio"),
	"roles.confirmations": integerProperty(1, 100,
		func(o *OperatorSettings) *int { return &o.RoleConfirmations },
		"matching proposals before a move"),
	"roles.cooldown": durationProperty(0, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.RoleCooldown },
		"between batch-to-service moves"),
	"roles.evidence.min": durationProperty(time.Second, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.MinRoleEvidence },
		"evidence window with enough arrivals"),
	"roles.evidence.max": durationProperty(time.Second, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.MaxRoleEvidence },
		"evidence window without"),
	"roles.demand.rise": numberProperty(0, 10,
		func(o *OperatorSettings) *float64 { return &o.RoleDemandRise },
		"tolerated rise of short over long demand"),
	"roles.usable": numberProperty(0.05, 1,
		func(o *OperatorSettings) *float64 { return &o.RoleUsableShare },
		"usable share of a service machine"),
	"roles.start.target": durationProperty(time.Second, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.RoleStartTarget },
		"start-time target of batch work"),
	"fleet.headroom.service": numberProperty(0, 5,
		func(o *OperatorSettings) *float64 { return &o.ServiceHeadroom },
		"spare service capacity as a share of what is held"),
	"fleet.headroom.batch": numberProperty(0, 5,
		func(o *OperatorSettings) *float64 { return &o.BatchHeadroom },
		"spare batch capacity as a share of what is held"),
	"fleet.idle.spot": durationProperty(time.Second, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.SpotIdleTimeout },
		"before an idle spot machine goes back"),
	"fleet.idle.ordinary": durationProperty(time.Second, time.Hour,
		func(o *OperatorSettings) *time.Duration { return &o.OnDemandIdleTimeout },
		"before an idle ordinary machine goes back"),
	"intake.queue": integerProperty(1, 10000,
		func(o *OperatorSettings) *int { return &o.IntakeQueue },
		"submissions waiting for their durable write"),
	"polls.queue": integerProperty(1, 100000,
		func(o *OperatorSettings) *int { return &o.PollQueue },
		"polls waiting for a read barrier"),
	"retry.after": integerProperty(1, 30,
		func(o *OperatorSettings) *int { return &o.RetryAfterSeconds },
		"seconds that refused users are told to wait"),
}

// ParseOperatorSettings decodes and checks a properties file. If several keys are invalid, the error
// names the first in alphabetical order.
func ParseOperatorSettings(text []byte) (OperatorSettings, error) {
	operator := DefaultOperatorSettings()
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	parsed, err := loader.LoadBytes(text)
	if err != nil {
		return operator, err
	}
	for _, key := range slices.Sorted(slices.Values(parsed.Keys())) {
		p, ok := propertyByKey[key]
		if !ok {
			return operator, fmt.Errorf("%s: unknown key", key)
		}
		value, _ := parsed.Get(key) // present, since key comes from Keys
		if err := p.set(&operator, strings.TrimSpace(value)); err != nil {
			return operator, fmt.Errorf("%s: %w", key, err)
		}
	}
	return operator, operator.check()
}

// check checks the constraints between properties.
func (o OperatorSettings) check() error {
	if o.MaxRoleEvidence < o.MinRoleEvidence {
		return errors.New("roles.evidence.max: must not be less than roles.evidence.min")
	}
	if o.RoleShrink >= o.RoleExpand {
		return errors.New("roles.shrink: must be below roles.expand")
	}
	return nil
}

// OperatorHelp returns the help text of the properties: each key with its type, range and meaning.
func OperatorHelp() string {
	var help strings.Builder
	for _, key := range slices.Sorted(maps.Keys(propertyByKey)) {
		fmt.Fprintf(&help, "%-24s %s\n", key, propertyByKey[key].doc)
	}
	return help.String()
}
