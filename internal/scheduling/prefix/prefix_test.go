package prefix

import (
	"testing"
	"time"
)

func TestMemoryKeepsTheNewest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	m := New()
	for _, server := range []string{"a", "b", "c"} {
		now = now.Add(time.Second)
		m.Ran(now, 1, server)
	}
	h := m.Holders(1)
	if h.Has(now, "a") || !h.Has(now, "b") || !h.Has(now, "c") {
		t.Fatalf("holders = %+v, want the two newest", h)
	}
	if h.Has(now.Add(lifetime), "c") || m.Holders(0).Has(now, "a") || m.Holders(2).Has(now, "a") {
		t.Fatal("a holder that is too old or unknown is believed")
	}
	for key := range uint64(capacity) {
		m.Ran(now, key+2, "a")
	}
	if m.Holders(1) != nil || len(m.byKey) != capacity {
		t.Fatalf("%d prefixes remembered, the oldest one too: %v", len(m.byKey), m.Holders(1) != nil)
	}
}
