package config

import (
	"errors"
	"fmt"
	"os"
	"time"

	"wheatspur/internal/tuning"
)

// Operator holds what operators may tune in a properties file, by groups of keys;
// propertyByKey says what each means. It is comparable (Reloaded).
type Operator struct {
	LogLevel string

	RoleAdvisory    bool
	RoleExpand      float64
	RoleShrink      float64
	RoleMargin      float64
	RoleConfirm     int
	RoleCooldown    time.Duration
	RoleEvidenceMin time.Duration
	RoleEvidenceMax time.Duration
	RoleDemandRise  float64
	RoleUsable      float64
	RoleStartTarget time.Duration

	ServiceHeadroom float64
	BatchHeadroom   float64
	IdleSpot        time.Duration
	IdleOnDemand    time.Duration

	IntakeQueue       int
	PollQueue         int
	RetryAfterSeconds int

	QuotaTransfers    bool
	QuotaReservations bool

	RecoveryHold   bool
	RecoveryStarts int // a second; 0: no bound
}

// DefaultOperator returns the defaults of package tuning. What has none is off.
func DefaultOperator() Operator {
	return Operator{
		RoleExpand:        tuning.RoleExpand,
		RoleShrink:        tuning.RoleShrink,
		RoleMargin:        tuning.RoleMargin,
		RoleConfirm:       tuning.RoleConfirmations,
		RoleCooldown:      tuning.RoleCooldown,
		RoleEvidenceMin:   tuning.MinRoleEvidence,
		RoleEvidenceMax:   tuning.MaxRoleEvidence,
		RoleDemandRise:    tuning.RoleDemandRise,
		RoleUsable:        tuning.RoleUsable,
		RoleStartTarget:   tuning.RoleStartTarget,
		ServiceHeadroom:   tuning.ServiceHeadroom,
		BatchHeadroom:     tuning.BatchHeadroom,
		IdleSpot:          tuning.IdleSpot,
		IdleOnDemand:      tuning.IdleOnDemand,
		IntakeQueue:       tuning.IntakeQueue,
		PollQueue:         tuning.PollQueue,
		RetryAfterSeconds: tuning.RetryAfter,
	}
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
	operator, err := ParseOperator(text)
	if err != nil {
		return Operator{}, fmt.Errorf("%s: %w", path, err)
	}
	return operator, nil
}

// ErrRestart says that changed properties need a restart.
var ErrRestart = errors.New("changes to keys other than log.level require a restart")

// Reloaded returns what a running process takes over of a changed properties file:
// log.level. If another key has changed, it returns o itself and ErrRestart.
func (o Operator) Reloaded(next Operator) (Operator, error) {
	reloaded := o
	reloaded.LogLevel = next.LogLevel
	if reloaded != next {
		return o, ErrRestart
	}
	return reloaded, nil
}
