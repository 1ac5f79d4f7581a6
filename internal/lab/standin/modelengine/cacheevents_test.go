package modelengine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

func TestCacheEventsComeLateAndWithGaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newPrefixCache(2)
		c.loseEvery = 3
		c.touch("m@1", strings.Repeat("x", 4*blockTokens*bytesPerToken))
		if early := c.log.since(0, time.Second); len(early) != 0 {
			t.Fatalf("%d events came at once", len(early))
		}
		time.Sleep(time.Second)
		// Four blocks stored in a cache of two: six events, of which two get lost.
		if got := c.log.since(0, time.Second); len(got) != 4 || got[2].Sequence != 4 {
			t.Fatalf("events %+v", got)
		}
	})
}

func TestCacheIsExportedAndImported(t *testing.T) {
	o := testOptions()
	o.PrefixBlocks = 10
	from, to := New(o), New(o)
	prompt := strings.Repeat("x", 3*blockTokens*bytesPerToken)
	from.prefixes.touch("m@1", prompt)
	exported := httptest.NewRecorder()
	from.Handler().ServeHTTP(exported, httptest.NewRequest(http.MethodGet, "/v1/kv", nil))
	imported := httptest.NewRecorder()
	to.Handler().ServeHTTP(imported, httptest.NewRequest(http.MethodPost, "/v1/kv", exported.Body))
	if imported.Code != http.StatusNoContent {
		t.Fatalf("import: %d", imported.Code)
	}
	if hit, _ := to.prefixes.touch("m@1", prompt); hit != 3*blockTokens {
		t.Fatalf("%d tokens were found after the import", hit)
	}
}
