package testcluster

import "testing"

// Test processes that run at the same time must have different loopback addresses.
func TestProcessLoopbackIsUniquePerProcess(t *testing.T) {
	pidByAddress := map[string]int{}
	for _, pid := range []int{1, 255, 256, 300, 1 << 16, 1<<16 + 1, 2 << 16, 63<<16 + 255, 1<<22 - 1} {
		address := processLoopback(pid)
		if other, exists := pidByAddress[address]; exists {
			t.Errorf("processes %d and %d both have address %s", other, pid, address)
		}
		pidByAddress[address] = pid
	}
	if address := processLoopback(1<<22 - 1); address != "127.64.255.255" {
		t.Errorf("the highest process ID has address %s", address)
	}
}
