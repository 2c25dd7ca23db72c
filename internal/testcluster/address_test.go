package testcluster

import "testing"

// Two processes that run tests at the same time have different addresses.
func TestProcessLoopbackDiffersByProcess(t *testing.T) {
	seen := map[string]int{}
	for _, pid := range []int{1, 255, 256, 300, 1 << 16, 1<<16 + 1, 2 << 16, 63<<16 + 255, 1<<22 - 1} {
		address := processLoopback(pid)
		if other, known := seen[address]; known {
			t.Errorf("processes %d and %d both have %s", other, pid, address)
		}
		seen[address] = pid
	}
	if address := processLoopback(1<<22 - 1); address != "127.64.255.255" {
		t.Errorf("the last process has %s", address)
	}
}
