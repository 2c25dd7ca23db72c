package membership

import "testing"

func TestSessionTransitions(t *testing.T) {
	for _, c := range []struct {
		from  SessionState
		event SessionEvent
		want  SessionState
	}{
		{NoLease, LeaseGranted, Leased},
		{NoLease, SessionStored, NoLease},
		{NoLease, LeaseExpired, NoLease},
		{Leased, LeaseGranted, Leased},
		{Leased, SessionStored, Registered},
		{Leased, LeaseExpired, NoLease},
		{Registered, LeaseGranted, Registered},
		{Registered, SessionStored, Registered},
		{Registered, LeaseExpired, NoLease},
	} {
		t.Run(string(c.from)+", "+string(c.event), func(t *testing.T) {
			if got := c.from.Next(c.event); got != c.want {
				t.Errorf("%q, want %q", got, c.want)
			}
		})
	}
}

func TestFormatSupportedOnceEveryMemberAnnouncesIt(t *testing.T) {
	a, b := node("a", 1), node("b", 2)
	record := Record{Members: []Controller{a, b}}
	withFormat := func(n Controller, format uint64) Session { return Session{Controller: n, Format: format} }
	for _, c := range []struct {
		name     string
		sessions map[string]Session
		want     bool
	}{
		{"all support it", map[string]Session{"a": withFormat(a, 2), "b": withFormat(b, 2)}, true},
		{"one supports a newer format", map[string]Session{"a": withFormat(a, 2), "b": withFormat(b, 3)}, true},
		{"a controller that is not a member does not", map[string]Session{"a": withFormat(a, 2), "b": withFormat(b, 2), "c": withFormat(node("c", 3), 0)}, true},
		{"one supports only an older format", map[string]Session{"a": withFormat(a, 2), "b": withFormat(b, 1)}, false},
		{"one declares no format", map[string]Session{"a": withFormat(a, 2), "b": withFormat(b, 0)}, false},
		{"one has no session", map[string]Session{"a": withFormat(a, 2)}, false},
		{"one declared it in another incarnation", map[string]Session{"a": withFormat(a, 2), "b": withFormat(node("b", 4), 2)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := record.AllSupportFormat(2, c.sessions); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
