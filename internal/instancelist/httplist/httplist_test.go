package httplist_test

import (
	"context"
	"testing"
	"time"

	instances "limpethub/internal/instancelist"
	"limpethub/internal/instancelist/httplist"
	"limpethub/internal/lab/standin"
	"limpethub/internal/lab/standin/instancelist"
)

// TestListReturnsServedState checks that the Lister returns the list as the stand-in
// serves it: the old list within the stand-in's lag, the changed list after the lag, and
// an error in an outage.
func TestListReturnsServedState(t *testing.T) {
	list := instancelist.New(time.Hour)
	list.Set([]instances.Instance{{Name: "a", FailureDomain: "z1"}})
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
	instances, err := lister.List(context.Background())
	if err != nil || len(instances) != 1 || instances[0].Leaving {
		t.Fatalf("within the lag: got %+v and error %v, want one instance that isn't leaving", instances, err)
	}
	list.SetLag(0)
	instances, err = lister.List(context.Background())
	if err != nil || len(instances) != 1 || !instances[0].Leaving {
		t.Fatalf("after the lag: got %+v and error %v, want one leaving instance", instances, err)
	}
	list.SetDown(true)
	if _, err := lister.List(context.Background()); err == nil {
		t.Fatal("in an outage: got a list, want an error")
	}
}
