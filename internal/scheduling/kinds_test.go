package scheduling

import (
	"testing"
	"time"

	"limpethub/internal/site"
)

// kindsDocument returns a configuration with one class per kind, as package platform makes it.
func kindsDocument(withWorkspaces bool) *site.Document {
	floor := 0.04
	if withWorkspaces {
		floor = 0
	}
	d := &site.Document{
		RequireKeys: withWorkspaces,
		Budgets:     site.Budgets{RetryShare: 0.1, LoadMillis: 4000},
		Pools:       []site.Pool{{Service: "generate", BatchSize: kindsSlots}},
	}
	for _, name := range []string{"priority-0", "priority-1", "priority-2"} {
		d.Classes = append(d.Classes, site.Class{Name: name, TimeoutMillis: 30_000, Weight: 1, QueueLimit: 2000, FloorShare: floor})
	}
	return d
}

// TestUrgentKindIsServedBestInOverload replays an overload of three kinds, at three times the usual
// demand and half again what the servers can do. Without the rule of urgentBacklog the kinds of long
// prompts fill each server up to the backlog that their own objectives allow, and of the most urgent
// kind, which allows the shortest, less is on time than of the least urgent one.
func TestUrgentKindIsServedBestInOverload(t *testing.T) {
	results := newKindsSim(kindsDocument(true), kinds, 3, 9*time.Second).run()
	for k, r := range results {
		t.Logf("%s: %.3f on time, %.3f served, %+v", kinds[k].workspace, r.shareOnTime(), r.shareServed(), r)
		if r.lateRefusals > 0 {
			t.Errorf("%s: %d refusals after the caller had left, want none", kinds[k].workspace, r.lateRefusals)
		}
		if k > 0 && (r.shareOnTime() > results[k-1].shareOnTime() || r.shareServed() > results[k-1].shareServed()) {
			t.Errorf("%s is served better than the more urgent %s", kinds[k].workspace, kinds[k-1].workspace)
		}
	}
	if onTime := results[0].shareOnTime(); onTime < 0.9 {
		t.Errorf("%.3f of the most urgent kind are on time, want at least 0.9", onTime)
	}
}

// TestSurgeOfAWorkspaceLeavesTheOthersTheirShare replays a workspace at six times its usual demand
// beside a small one, at 2.2 times of what the servers can do. By deadlines alone both have the same
// share served, although the small one asks for a twentieth of what the servers can do.
func TestSurgeOfAWorkspaceLeavesTheOthersTheirShare(t *testing.T) {
	usual := kinds[1]
	usual.class = 0
	surge, small := usual, usual
	surge.workspace, surge.perSecond = "surge", 6*usual.perSecond
	small.workspace, small.perSecond = "small", 30
	results := newKindsSim(kindsDocument(true), []kind{surge, small}, 1, 9*time.Second).run()
	t.Logf("surge %+v, small %+v", results[0], results[1])
	if served := results[1].shareServed(); served < 0.75 || served < 1.4*results[0].shareServed() {
		t.Errorf("%.3f of the small workspace's requests were served and %.3f of the surge, want at least 0.75 and clearly more", served, results[0].shareServed())
	}
}
