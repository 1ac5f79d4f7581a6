package prefix

import (
	"testing"
	"time"
)

// TestIndexKeepsTheNewest checks that the newest holders of a prefix are kept, that a holder
// expires, and that the oldest prefix is evicted when the index is full.
func TestIndexKeepsTheNewest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	index := New()
	for _, server := range []string{"a", "b", "c"} {
		now = now.Add(time.Second)
		index.RecordRun(now, 1, server)
	}
	h := index.Holders(1)
	if h.Has(now, "a") || !h.Has(now, "b") || !h.Has(now, "c") {
		t.Fatalf("holders = %+v, want the two newest, b and c", h)
	}
	if h.Has(now.Add(lifetime), "c") || index.Holders(0).Has(now, "a") || index.Holders(2).Has(now, "a") {
		t.Fatal("want no holder after the lifetime, for key 0 or for a key that was never recorded")
	}
	for key := range uint64(maxPrefixes) {
		index.RecordRun(now, key+2, "a")
	}
	if index.Holders(1) != nil || len(index.byKey) != maxPrefixes {
		t.Fatalf("%d prefixes recorded, want 8192 (maxPrefixes); oldest one kept: %v, want false", len(index.byKey), index.Holders(1) != nil)
	}
}
