package main

import (
	"strings"
	"testing"
)

func TestTheListIsChecked(t *testing.T) {
	line := "internal/server.TestX they meet; issue 18\n"
	for _, c := range []struct {
		name, text string
		ok         bool
		n          int
	}{
		{"no list", "", true, 0},
		{"comments", "# none\n\n", true, 0},
		{"three", line + line + line, true, 3},
		{"four", strings.Repeat(line, 4), false, 0},
		{"no test", "internal/server.Foo cause; issue 18", false, 0},
		{"no package", "TestX cause; issue 18", false, 0},
		{"no issue", "internal/server.TestX cause", false, 0},
	} {
		k, err := parse(c.text)
		if (err == nil) != c.ok || c.ok && len(k) != c.n {
			t.Errorf("%s: %v %v", c.name, k, err)
		}
	}
	if k, _ := parse(line); k[0] != (known{"internal/server", "TestX", "they meet; issue 18"}) {
		t.Errorf("%+v", k[0])
	}
}

func TestOnlyKnownFailuresPass(t *testing.T) {
	const p = "m/internal/server"
	result := func(action, test string) string {
		s := `{"Action":"` + action + `","Package":"` + p + `"`
		if test != "" {
			s += `,"Test":"` + test + `"`
		}
		return s + "}\n"
	}
	for _, c := range []struct {
		name, list, events string
		failed, ok         bool
		says               string
	}{
		{"all pass", "", result("pass", "TestA") + result("pass", ""), false, true, ""},
		{"an unknown failure", "", result("fail", "TestA") + result("fail", ""), true, false, "TestA"},
		{"a known one", "internal/server.TestA c; issue 1", result("fail", "TestA") + result("fail", ""), true, true, "known failure: internal/server.TestA c; issue 1"},
		{"a known and an unknown one", "internal/server.TestA c; issue 1", result("fail", "TestA") + result("fail", "TestB") + result("fail", ""), true, false, "TestB"},
		{"a known one in another package", "internal/store.TestA c; issue 1", result("fail", "TestA") + result("fail", ""), true, false, "no test: internal/store.TestA"},
		{"it passes again", "internal/server.TestA c; issue 1", result("pass", "TestA") + result("pass", ""), false, true, "passes again"},
		{"it is skipped", "internal/server.TestA c; issue 1", result("skip", "TestA") + result("pass", ""), false, false, "skipped"},
		{"it is gone", "internal/server.TestA c; issue 1", result("pass", "TestB") + result("pass", ""), false, false, "no test"},
		{"a known part", "internal/server.TestA/x c; issue 1", result("fail", "TestA/x") + result("fail", "TestA") + result("fail", ""), true, true, "known failure"},
		{"another part", "internal/server.TestA/x c; issue 1", result("fail", "TestA/x") + result("fail", "TestA/y") + result("fail", "TestA") + result("fail", ""), true, false, "TestA/y"},
		{"parts of a known one", "internal/server.TestA c; issue 1", result("fail", "TestA/x/z") + result("fail", "TestA/x") + result("fail", "TestA") + result("fail", ""), true, true, "known failure"},
		{"a package that does not build", "", result("fail", ""), true, false, ""},
		{"no failed test and a failure all the same", "", result("pass", ""), true, false, "without a failed test"},
	} {
		k, err := parse(c.list)
		if err != nil {
			t.Fatal(err)
		}
		var said strings.Builder
		o, err := read(strings.NewReader(c.events), &said)
		if err != nil {
			t.Fatal(err)
		}
		if ok := judge(o, k, c.failed, &said); ok != c.ok || !strings.Contains(said.String(), c.says) {
			t.Errorf("%s: passes %v, says\n%s", c.name, ok, said.String())
		}
	}
	if _, err := read(strings.NewReader("not json"), &strings.Builder{}); err == nil {
		t.Error("what can't be read passes")
	}
}
