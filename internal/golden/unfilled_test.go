package golden

import "testing"

type inner struct {
	Name string
	Set  bool
}

type outer struct {
	_     struct{}
	Count int
	Inner *inner
	List  []uint64
	ByKey map[string]inner
}

func TestFieldProblemsReportsZeroAndRepeatedValues(t *testing.T) {
	filled := func() *outer {
		return &outer{Count: 1, Inner: &inner{"a", true}, List: []uint64{2, 3}, ByKey: map[string]inner{"b": {"c", true}}}
	}
	if problems := FieldProblems(filled()); problems != nil {
		t.Errorf("problems in a filled value: %v", problems)
	}
	for _, c := range []struct {
		name   string
		modify func(*outer)
	}{
		{"zero field", func(o *outer) { o.Count = 0 }},
		{"nil pointer", func(o *outer) { o.Inner = nil }},
		{"zero inner field", func(o *outer) { o.Inner.Set = false }},
		{"empty slice", func(o *outer) { o.List = []uint64{} }},
		{"empty map", func(o *outer) { o.ByKey = map[string]inner{} }},
		{"zero map value", func(o *outer) { o.ByKey["b"] = inner{} }},
		{"same number twice", func(o *outer) { o.List[1] = 1 }},
		{"same text twice", func(o *outer) { o.Inner.Name = "c" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := filled()
			c.modify(o)
			if problems := FieldProblems(o); len(problems) != 1 {
				t.Errorf("problems %v, want exactly one", problems)
			}
		})
	}
}
