package prefix

import (
	"testing"
	"time"
)

// TestMemoryKeepsTheNewest checks that the newest holders of a prefix are kept, that a holder
// expires, and that the oldest prefix is evicted when the memory is full.
func TestMemoryKeepsTheNewest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := New()
	for _, server := range []string{"a", "b", "c"} {
		now = now.Add(time.Second)
		m.RecordRun(now, 1, server)
	}
	h := m.Holders(1)
	if h.Has(now, "a") || !h.Has(now, "b") || !h.Has(now, "c") {
		t.Fatalf("holders = %+v, want the two newest, b and c", h)
	}
	if h.Has(now.Add(lifetime), "c") || m.Holders(0).Has(now, "a") || m.Holders(2).Has(now, "a") {
		t.Fatal("an expired holder or the holder of an unknown prefix was returned")
	}
	for key := range uint64(maxPrefixes) {
		m.RecordRun(now, key+2, "a")
	}
	if m.Holders(1) != nil || len(m.byKey) != maxPrefixes {
		t.Fatalf("%d prefixes recorded, oldest one kept: %v", len(m.byKey), m.Holders(1) != nil)
	}
}
