package config

// StoreLimits are the limits of the key-value store.
type StoreLimits struct {
	RPS      float64 `toml:"rps"`       // calls per second
	WriteRPS float64 `toml:"write_rps"` // write calls per second
	ValueKB  float64 `toml:"value_kb"`  // size of a JSON-encoded value
	TxnOps   int     `toml:"txn_ops"`   // operations per transaction
}

// EffectiveStoreLimits returns the limits that the controller observes: for each, the smaller of the
// present value and the one in state.next, which can take effect at any time without notice.
func (s *Settings) EffectiveStoreLimits() StoreLimits {
	present, next := s.Params.State.StoreLimits, s.Params.State.Next
	if next == nil {
		return present
	}
	return StoreLimits{
		RPS:      smallerIfSet(present.RPS, next.RPS),
		WriteRPS: smallerIfSet(present.WriteRPS, next.WriteRPS),
		ValueKB:  smallerIfSet(present.ValueKB, next.ValueKB),
		TxnOps:   smallerIfSet(present.TxnOps, next.TxnOps),
	}
}

// smallerIfSet returns the smaller of a limit's present and next values. A next value of 0 means that
// the limit does not change.
func smallerIfSet[N int | float64](present, next N) N {
	if next == 0 {
		return present
	}
	return min(present, next)
}

// anyNegative reports whether any limit is negative.
func (l *StoreLimits) anyNegative() bool {
	return l.RPS < 0 || l.WriteRPS < 0 || l.ValueKB < 0 || l.TxnOps < 0
}

// ranges returns the ranges of the limits, with prefix before each field's name.
func (l *StoreLimits) ranges(prefix string) []fieldRange {
	return []fieldRange{
		{prefix + "rps", l.RPS, 1, 1e6},
		{prefix + "write_rps", l.WriteRPS, 1, 1e6},
		{prefix + "value_kb", l.ValueKB, 1, 64},
		{prefix + "txn_ops", float64(l.TxnOps), 4, 10000},
	}
}
