package httplist_test

import (
	"context"
	"testing"
	"time"

	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/instancelist"
	"limpethub/internal/platform"
	"limpethub/internal/platform/httplist"
)

func TestListLags(t *testing.T) {
	list := instancelist.New(time.Hour)
	list.Set([]platform.Instance{{Name: "a", FailureDomain: "z1"}})
	list.SetLeaving("a", true)
	host, err := standin.Listen(list.Handler())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(host.Kill)
	lister, err := httplist.New(httplist.Options{Address: host.Address()})
	if err != nil {
		t.Fatal(err)
	}
	seen, err := lister.List(context.Background())
	if err != nil || len(seen) != 1 || seen[0].Leaving {
		t.Fatalf("within the lag: %+v, %v", seen, err)
	}
	list.SetLag(0)
	seen, err = lister.List(context.Background())
	if err != nil || len(seen) != 1 || !seen[0].Leaving {
		t.Fatalf("after the lag: %+v, %v", seen, err)
	}
	list.SetDown(true)
	if _, err := lister.List(context.Background()); err == nil {
		t.Fatal("an outage gave a list")
	}
}
