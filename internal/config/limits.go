package config

// Limits are those of the state service.
type Limits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
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
