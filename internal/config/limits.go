package config

// Limits are those of the key-value store.
type Limits struct {
	RPS      float64 `toml:"rps"`       // calls a second
	WriteRPS float64 `toml:"write_rps"` // calls a second that write
	ValueKB  float64 `toml:"value_kb"`  // size of a value in its JSON form
	TxnOps   int     `toml:"txn_ops"`   // operations of a transaction
}

// StoreLimits are the limits to keep to: the smaller of the present ones and those
// that come at a moment which nobody announces.
func (s *Settings) StoreLimits() Limits {
	present, next := s.Params.State.Limits, s.Params.State.Next
	if next == nil {
		return present
	}
	return Limits{
		RPS:      smallerIfSet(present.RPS, next.RPS),
		WriteRPS: smallerIfSet(present.WriteRPS, next.WriteRPS),
		ValueKB:  smallerIfSet(present.ValueKB, next.ValueKB),
		TxnOps:   smallerIfSet(present.TxnOps, next.TxnOps),
	}
}

// smallerIfSet is the smaller of a present limit and its next value, which is 0 if
// the limit stays as it is.
func smallerIfSet[N int | float64](present, next N) N {
	if next == 0 {
		return present
	}
	return min(present, next)
}

func (l *Limits) negative() bool { return l.RPS < 0 || l.WriteRPS < 0 || l.ValueKB < 0 || l.TxnOps < 0 }

// bounds are those of the limits, whose fields' names begin with prefix.
func (l *Limits) bounds(prefix string) []bound {
	return []bound{
		{prefix + "rps", l.RPS, 1, 1e6},
		{prefix + "write_rps", l.WriteRPS, 1, 1e6},
		{prefix + "value_kb", l.ValueKB, 1, 64},
		{prefix + "txn_ops", float64(l.TxnOps), 4, 10000},
	}
}
