package request

import (
	"strings"
	"testing"
)

// TestIdentityTellsRequestsApart guards against a sound request that is taken for another one, and
// against repeats that aren't recognized.
func TestIdentityTellsRequestsApart(t *testing.T) {
	identityOf := func(key, body string, fields ...string) Identity {
		w := NewIdentityHasher(key).Begin(fields...)
		for chunk := range strings.SplitSeq(body, "|") {
			_, _ = w.Write([]byte(chunk))
		}
		return w.Identity()
	}
	own := identityOf("key", "some body", "GET", "/a", "caller")
	if again := identityOf("key", "some| bo|dy", "GET", "/a", "caller"); again != own {
		t.Errorf("a repeat in chunks got %v, want %v", again, own)
	}
	for name, other := range map[string]Identity{
		"another path":           identityOf("key", "some body", "GET", "/b", "caller"),
		"another caller":         identityOf("key", "some body", "GET", "/a", "other"),
		"another body":           identityOf("key", "no body", "GET", "/a", "caller"),
		"an empty body":          identityOf("key", "", "GET", "/a", "caller"),
		"another key":            identityOf("other", "some body", "GET", "/a", "caller"),
		"fields cut differently": identityOf("key", "some body", "GET/", "a", "caller"),
		"a field in the body":    identityOf("key", "callersome body", "GET", "/a", ""),
	} {
		if other == own {
			t.Errorf("%s has the same identity", name)
		}
	}
	if parsed, err := ParseIdentity(own.String()); err != nil || parsed != own {
		t.Errorf("%v is parsed as %v, error %v", own, parsed, err)
	}
}

// BenchmarkIdentity has the body of a long prompt.
func BenchmarkIdentity(b *testing.B) {
	h := NewIdentityHasher("key")
	body := make([]byte, 18<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		w := h.Begin("POST", "host", "/path/of/a/request", "", "")
		_, _ = w.Write(body)
		w.Identity()
	}
}
