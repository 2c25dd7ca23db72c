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

func TestUnfilledFields(t *testing.T) {
	filled := func() *outer {
		return &outer{Count: 1, Inner: &inner{"a", true}, List: []uint64{2, 3}, ByKey: map[string]inner{"b": {"c", true}}}
	}
	if faults := Unfilled(filled()); faults != nil {
		t.Errorf("a filled value: %v", faults)
	}
	for name, spoil := range map[string]func(*outer){
		"zero field":        func(o *outer) { o.Count = 0 },
		"nil pointer":       func(o *outer) { o.Inner = nil },
		"zero inner field":  func(o *outer) { o.Inner.Set = false },
		"empty slice":       func(o *outer) { o.List = []uint64{} },
		"empty map":         func(o *outer) { o.ByKey = map[string]inner{} },
		"zero map value":    func(o *outer) { o.ByKey["b"] = inner{} },
		"same number twice": func(o *outer) { o.List[1] = 1 },
		"same text twice":   func(o *outer) { o.Inner.Name = "c" },
	} {
		o := filled()
		spoil(o)
		if faults := Unfilled(o); len(faults) != 1 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}
