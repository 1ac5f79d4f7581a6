package daemon

import (
	"context"
	"errors"
	"math"
	"time"

	"limpethub/internal/confsync"
	"limpethub/internal/engine"
	"limpethub/internal/membership"
	"limpethub/internal/operatorapi"
	"limpethub/internal/placer"
	"limpethub/internal/scheduling"
	"limpethub/internal/servers"
	"limpethub/internal/site"
)

// controller carries out the requests of operators on the daemon.
type controller struct{ daemon *Daemon }

var _ operatorapi.Controller = (*controller)(nil)

func (c *controller) Status(ctx context.Context) (operatorapi.Status, error) {
	d := c.daemon
	accepted, _ := d.confsync.Current()
	snapshot := d.placementSnapshot(ctx)
	status := operatorapi.Status{
		Instance:  d.settings.Instance,
		Site:      d.settings.Site,
		Time:      time.Now(),
		Revision:  accepted.Revision,
		Placement: placementStatus(snapshot),
		Store:     d.storeStatus(),
		Instances: d.instanceStatuses(ctx),
		Servers:   serverStatuses(d.monitor.Statuses(), snapshot, d.dispatcher.ServerSpeeds()),
		Classes:   d.classStatuses(&accepted.Document),
	}
	for _, unit := range accepted.Document.Units() {
		status.Models = append(status.Models, modelStatus(&accepted.Document, unit, status.Servers, snapshot))
	}
	return status, nil
}

func (c *controller) Configuration(context.Context) (site.Accepted, error) {
	accepted, ok := c.daemon.confsync.Current()
	if !ok {
		return site.Accepted{}, &operatorapi.NotFoundError{Kind: "configuration", Name: c.daemon.settings.Site}
	}
	return accepted, nil
}

func (c *controller) Apply(ctx context.Context, change operatorapi.ApplyRequest) (site.Accepted, error) {
	if change.Document.Site != c.daemon.settings.Site {
		return site.Accepted{}, &operatorapi.NotFoundError{Kind: "site", Name: change.Document.Site}
	}
	accepted, err := c.daemon.confsync.Apply(ctx, change.BaseRevision, change.ChangeID, change.Document)
	return accepted, operatorError(err)
}

// operatorError converts errors of confsync to those of the operators' interface.
func operatorError(err error) error {
	var conflict *confsync.ConflictError
	var unclear *confsync.UnclearError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &operatorapi.ConflictError{BaseRevision: conflict.Base, CurrentRevision: conflict.Current}
	case errors.As(err, &unclear):
		return &operatorapi.UnclearError{Reason: unclear.Error()}
	}
	return &operatorapi.UnavailableError{Reason: err.Error()}
}

func (c *controller) Locate(_ context.Context, model string) (operatorapi.Location, error) {
	d := c.daemon
	unit, err := d.resolve(model)
	if err != nil {
		return operatorapi.Location{}, err
	}
	location := operatorapi.Location{Model: unit.Ref, TTLMillis: d.settings.EntriesTTLMillis}
	for _, e := range d.directory.Entries(model, "") {
		location.Entries = append(location.Entries, operatorapi.Entry{Instance: e.Instance, Address: e.Address, FailureDomain: e.FailureDomain})
	}
	return location, nil
}

func (d *Daemon) resolve(model string) (site.Unit, error) {
	accepted, _ := d.confsync.Current()
	unit, ok := accepted.Document.Resolve(model)
	if !ok {
		return site.Unit{}, &operatorapi.NotFoundError{Kind: "model", Name: model}
	}
	return unit, nil
}

// placementStatus converts the placement snapshot for operators. Holder is the name of the
// holder's process (see processSeparator), and the term of its lease is its fencing number.
func placementStatus(s placer.Snapshot) operatorapi.PlacementStatus {
	status := operatorapi.PlacementStatus{Holder: s.Lease.Holder, Fence: s.Lease.Term}
	for _, server := range s.Servers {
		status.OrdersPending += len(server.Pending)
	}
	return status
}

// instanceStates maps the membership states to those of the operators' interface, which calls
// a leaving instance "draining".
var instanceStates = map[membership.State]operatorapi.InstanceState{
	membership.Alive:   operatorapi.InstanceAlive,
	membership.Suspect: operatorapi.InstanceSuspect,
	membership.Leaving: operatorapi.InstanceDraining,
	membership.Dead:    operatorapi.InstanceDead,
}

func (d *Daemon) instanceStatuses(ctx context.Context) []operatorapi.InstanceStatus {
	revisions := map[string]uint64{}
	for _, r := range d.confsync.Revisions(ctx) {
		revisions[r.Instance] = r.Revision
	}
	var out []operatorapi.InstanceStatus
	for _, m := range d.cluster.Members() {
		status := operatorapi.InstanceStatus{
			Name:          m.Name,
			State:         instanceStates[m.State],
			FailureDomain: m.FailureDomain,
			CallerAddress: m.CallerAddress,
			Revision:      revisions[m.Name],
		}
		// Instances don't tell each other how many requests they have open.
		if m.Name == d.settings.Instance {
			status.Requests = int(d.gateway.RequestsInProgress())
		}
		out = append(out, status)
	}
	return out
}

func serverStatuses(statuses []servers.Status, snapshot placer.Snapshot, speeds []scheduling.ServerSpeed) []operatorapi.ServerStatus {
	committed := map[string]int64{}
	for _, s := range snapshot.Servers {
		committed[s.Name] = s.CommittedMB
	}
	speedOf := map[string]scheduling.ServerSpeed{}
	for _, s := range speeds {
		speedOf[s.Server] = s
	}
	out := make([]operatorapi.ServerStatus, 0, len(statuses))
	for _, s := range statuses {
		out = append(out, operatorapi.ServerStatus{
			Name:            s.Config.Name,
			Kind:            s.Config.Kind,
			State:           serverState(s),
			FailureDomain:   s.Config.FailureDomain,
			MemoryMB:        s.Config.MemoryMB,
			CommittedMB:     committed[s.Config.Name],
			Resident:        s.Report.Resident,
			Running:         s.Report.Running,
			Waiting:         s.Report.Waiting,
			ReportAgeMillis: reportAge(s),
			Slowdown:        slowdown(speedOf[s.Config.Name]),
			Limit:           speedOf[s.Config.Name].Limit,
		})
	}
	return out
}

// slowdown returns the factor of a server as operators see it: 0 for one of usual speed.
func slowdown(s scheduling.ServerSpeed) float64 {
	if s.Factor == 1 {
		return 0
	}
	return math.Round(s.Factor*100) / 100
}

func serverState(s servers.Status) operatorapi.ServerState {
	switch {
	case s.Unreachable:
		return operatorapi.ServerUnreachable
	case s.Leaving:
		return operatorapi.ServerLeaving
	}
	return operatorapi.ServerLive
}

// reportAge returns the age of a server's last report in milliseconds; 0 if none was read.
func reportAge(s servers.Status) int64 {
	if s.ReportedAt.IsZero() {
		return 0
	}
	return time.Since(s.ReportedAt).Milliseconds()
}

// modelStatus returns the status of a unit with its copies: the resident ones as the servers
// report them, and those that are loading or unloading as the placement holder's snapshot
// lists them.
func modelStatus(document *site.Document, unit site.Unit, statuses []operatorapi.ServerStatus, snapshot placer.Snapshot) operatorapi.ModelStatus {
	status := operatorapi.ModelStatus{Ref: unit.Ref, Base: unit.Base, MemoryMB: unit.MemoryMB, Class: document.Classes[unit.Class].Name, Copies: []operatorapi.Copy{}}
	residentOn := map[string]bool{}
	for _, server := range statuses {
		for _, ref := range server.Resident {
			if ref == unit.Ref {
				residentOn[server.Name] = true
				status.Copies = append(status.Copies, operatorapi.Copy{Server: server.Name, FailureDomain: server.FailureDomain, State: operatorapi.CopyResident})
			}
		}
	}
	for _, u := range snapshot.Units {
		if u.Ref == unit.Ref {
			status.RequestsPerSecond = u.RequestsPerSecond
			status.Copies = addRecordedCopies(status.Copies, residentOn, u.Copies)
		}
	}
	return status
}

var copyStates = map[engine.HoldingState]operatorapi.CopyState{
	engine.StateLoading:   operatorapi.CopyLoading,
	engine.StateResident:  operatorapi.CopyResident,
	engine.StateUnloading: operatorapi.CopyUnloading,
}

// addRecordedCopies adds the copies in the placement holder's snapshot that no server reports
// as resident, and sets the reasons of those that are reported.
func addRecordedCopies(copies []operatorapi.Copy, residentOn map[string]bool, recorded []placer.CopyStatus) []operatorapi.Copy {
	for _, r := range recorded {
		if !residentOn[r.Server] {
			copies = append(copies, operatorapi.Copy{Server: r.Server, FailureDomain: r.FailureDomain, State: copyStates[r.State], Reason: r.Reason})
			continue
		}
		for i := range copies {
			if copies[i].Server == r.Server {
				copies[i].Reason = r.Reason
			}
		}
	}
	return copies
}

func (d *Daemon) classStatuses(document *site.Document) []operatorapi.ClassStatus {
	out := make([]operatorapi.ClassStatus, 0, len(document.Classes))
	// ClassLoads lists the classes in the order of the scheduler's document, which may be an
	// older revision than this one and have fewer classes.
	loads := d.dispatcher.ClassLoads()
	for i, class := range document.Classes {
		counts := d.requestMetrics.Class(class.Name)
		status := operatorapi.ClassStatus{Name: class.Name, InTime: counts.InTime, Late: counts.Late, Refused: counts.Refused}
		if i < len(loads) {
			status.Waiting, status.Running = loads[i].Waiting, loads[i].Running
		}
		out = append(out, status)
	}
	return out
}

func (d *Daemon) storeStatus() operatorapi.StoreStatus {
	health := d.plugins.store.Health()
	status := operatorapi.StoreStatus{Reachable: health.Reachable, LastAnswer: health.LastAnswer}
	if health.Err != nil {
		status.Error = health.Err.Error()
	}
	return status
}
