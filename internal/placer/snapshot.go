package placer

import (
	"time"

	"limpethub/internal/engine"
	"limpethub/internal/ledger"
	"limpethub/internal/modelref"
	"limpethub/internal/placement"
)

// Snapshot is the state of a Placer, for operators.
type Snapshot struct {
	// Instance is the instance that took the snapshot.
	Instance string `json:"instance"`
	Cell     string `json:"cell"`
	// Taken is the time of the snapshot by the instance's clock.
	Taken time.Time   `json:"taken"`
	Lease LeaseStatus `json:"lease"`
	// Servers, Units and Plan are only set on the lease holder.
	Servers []ServerStatus `json:"servers,omitempty"`
	Units   []UnitStatus   `json:"units,omitempty"`
	Plan    PlanStatus     `json:"plan"`
}

// LeaseStatus says which instance may give orders.
type LeaseStatus struct {
	// Holder is the instance that the lease key names; empty if there is none.
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// Holding is true on the instance that may give orders. It stays true after the lease has
	// expired while no successor is known; see Recording.
	Holding bool `json:"holding"`
	// Recording is false on a lease holder that can't write the ledger key and therefore
	// gives orders only to servers that honour fencing.
	Recording bool `json:"recording"`
}

// ServerStatus is what the ledger holds on one server. Sizes are in MiB.
type ServerStatus struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	// Reachable is true while the server answers inventory requests, Ready while it may be
	// given orders.
	Reachable   bool  `json:"reachable"`
	Ready       bool  `json:"ready"`
	CapacityMB  int64 `json:"capacity_mb"`
	CommittedMB int64 `json:"committed_mb"`
	// Fence, Incarnation and Role are from the server's last inventory: its fencing number,
	// the id of its process and the role that it has taken.
	Fence       uint64 `json:"fence"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role,omitempty"`
	// Holdings lists the copies that the server reports, Pending the orders for it that
	// aren't settled.
	Holdings []engine.Holding `json:"holdings"`
	Pending  []ledger.Pending `json:"pending"`
}

// CopyStatus is one copy of a version on one server.
type CopyStatus struct {
	Server        string              `json:"server"`
	FailureDomain string              `json:"failure_domain"`
	State         engine.HoldingState `json:"state"`
	// Reachable is true while the server answers inventory requests.
	Reachable bool `json:"reachable"`
	// Reason says why the copy was loaded, if this instance ordered the load.
	Reason string `json:"reason,omitempty"`
}

// UnitStatus is one model or adapter version with its copies and demand.
type UnitStatus struct {
	Ref      modelref.Ref `json:"ref"`
	MemoryMB int64        `json:"memory_mb"`
	// Reachable is true while the version is resident on a reachable server.
	Reachable bool         `json:"reachable"`
	Copies    []CopyStatus `json:"copies"`
	// RequestsPerSecond and TokensPerSecond are the estimated demand.
	RequestsPerSecond float64 `json:"requests_per_second"`
	TokensPerSecond   float64 `json:"tokens_per_second"`
}

// PlanStatus is the most recent plan.
type PlanStatus struct {
	// Planned is when the plan was made; zero if there was none.
	Planned time.Time `json:"planned"`
	// Moves lists all moves that the policy asked for, including those that the limits on
	// loads held back or the ledger refused.
	Moves      []placement.Move      `json:"moves"`
	Shortfalls []placement.Shortfall `json:"shortfalls"`
}

// Explanation says where a version is, why, and what is planned for it.
type Explanation struct {
	// Instance is the instance that answered. If Holding is false, only Holder can give a
	// full explanation.
	Instance string     `json:"instance"`
	Holder   string     `json:"holder"`
	Holding  bool       `json:"holding"`
	Unit     UnitStatus `json:"unit"`
	// Pending lists pending orders, Moves the moves of the most recent plan, Shortfalls
	// copies that the plan can't provide.
	Pending    []ledger.Pending      `json:"pending"`
	Moves      []placement.Move      `json:"moves"`
	Shortfalls []placement.Shortfall `json:"shortfalls"`
}

type copyKey struct {
	server string
	ref    modelref.Ref
}

func (c *core) snapshot(now time.Time) Snapshot {
	record := c.lease.Record()
	s := Snapshot{
		Instance: c.instance,
		Cell:     c.cell,
		Taken:    now,
		Lease:    LeaseStatus{Holder: record.Holder, Term: record.Term},
	}
	if record.Released {
		s.Lease.Holder = ""
	}
	if c.phase != phaseActive || c.ledger == nil {
		return s
	}
	s.Lease.Holding, s.Lease.Recording = true, c.recording(now)
	s.Plan = PlanStatus{Planned: c.plannedAt, Moves: c.plan.Moves, Shortfalls: c.plan.Shortfalls}
	for _, a := range c.ledger.Accounts() {
		s.Servers = append(s.Servers, serverStatus(a))
	}
	s.Units = c.unitStatuses(s.Servers)
	return s
}

func serverStatus(a ledger.Account) ServerStatus {
	return ServerStatus{
		Name:          a.Spec.Name,
		FailureDomain: a.Spec.FailureDomain,
		Reachable:     a.Reachable,
		Ready:         a.Ready,
		CapacityMB:    a.CapacityMB,
		CommittedMB:   a.CommittedMB,
		Fence:         a.Fence,
		Incarnation:   a.Incarnation,
		Role:          a.Role,
		Holdings:      a.Holdings,
		Pending:       a.Pending,
	}
}

func (c *core) unitStatuses(servers []ServerStatus) []UnitStatus {
	var out []UnitStatus
	unitIndex := map[modelref.Ref]int{}
	for _, u := range c.document.Units() {
		unitIndex[u.Ref] = len(out)
		out = append(out, UnitStatus{Ref: u.Ref, MemoryMB: u.MemoryMB})
	}
	for _, e := range c.tracker.Estimates() {
		if i, ok := unitIndex[e.Ref]; ok {
			out[i].RequestsPerSecond, out[i].TokensPerSecond = e.Requests, e.Tokens
		}
	}
	for _, s := range servers {
		for _, h := range s.Holdings {
			if i, ok := unitIndex[h.Ref]; ok {
				out[i].addCopy(s, h, c.loadReasons[copyKey{s.Name, h.Ref}])
			}
		}
	}
	return out
}

func (u *UnitStatus) addCopy(s ServerStatus, h engine.Holding, reason string) {
	u.Copies = append(u.Copies, CopyStatus{
		Server:        s.Name,
		FailureDomain: s.FailureDomain,
		State:         h.State,
		Reachable:     s.Reachable,
		Reason:        reason,
	})
	if s.Reachable && h.State == engine.StateResident {
		u.Reachable = true
	}
}

// explain extracts what concerns one version from a snapshot.
func (s Snapshot) explain(ref modelref.Ref) (Explanation, bool) {
	e := Explanation{Instance: s.Instance, Holder: s.Lease.Holder, Holding: s.Lease.Holding}
	found := !s.Lease.Holding
	for _, u := range s.Units {
		if u.Ref == ref {
			e.Unit, found = u, true
		}
	}
	for _, server := range s.Servers {
		for _, p := range server.Pending {
			if p.Order.Ref == ref {
				e.Pending = append(e.Pending, p)
			}
		}
	}
	for _, m := range s.Plan.Moves {
		if m.Ref == ref {
			e.Moves = append(e.Moves, m)
		}
	}
	for _, shortfall := range s.Plan.Shortfalls {
		if shortfall.Ref == ref {
			e.Shortfalls = append(e.Shortfalls, shortfall)
		}
	}
	return e, found
}
