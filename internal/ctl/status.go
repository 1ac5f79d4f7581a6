package ctl

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
)

// status reads the site's status from the instance that the settings name.
func (t *tool) status(c *cobra.Command) (operatorapi.Status, error) {
	client, err := t.client()
	if err != nil {
		return operatorapi.Status{}, err
	}
	return client.Status(c.Context())
}

func (t *tool) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show an overview of the site's state",
		Long: `Show an overview of the site's state as the answering instance sees it: the
configuration in force, whether the key-value store can be reached, which instance
holds the placement lease, the backend servers by state, the models and adapters
without a resident copy, the entry instances, and the classes.

REQUESTS is the number of requests waiting or in progress. It is known only for the
answering instance, and 0 for the others. The table of classes covers the answering
instance only: WAITING and RUNNING are its requests now; IN TIME, LATE and REFUSED
count those that have ended since it started.`,
		Example: "  limpethubctl status",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := t.status(c)
			if err != nil {
				return err
			}
			return t.print(status, func(w io.Writer) error { return showStatus(w, status) })
		},
	}
}

func showStatus(w io.Writer, s operatorapi.Status) error {
	fmt.Fprintf(w, "Site %s, as seen by %s at %s\n", s.Site, s.Instance, s.Time.UTC().Format("2006-01-02 15:04:05 UTC"))
	fmt.Fprintf(w, "Configuration: revision %d\n", s.Revision)
	fmt.Fprintf(w, "Key-value store: %s\n", describeStore(s.Store))
	fmt.Fprintf(w, "Placement: %s\n", describePlacement(s.Placement))
	fmt.Fprintf(w, "Servers: %s\n", describeServers(s.Servers))
	fmt.Fprintf(w, "Models: %s\n\n", describeModels(s.Models))
	if err := instanceTable(s).write(w); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return classTable(s.Classes).write(w)
}

func describeStore(s operatorapi.StoreStatus) string {
	if s.Reachable {
		return "reachable"
	}
	if s.LastAnswer.IsZero() {
		return fmt.Sprintf("UNREACHABLE, has never answered: %s", s.Error)
	}
	return fmt.Sprintf("UNREACHABLE, last answered at %s: %s", s.LastAnswer.UTC().Format("15:04:05 UTC"), s.Error)
}

// describePlacement describes the placement lease and its orders. The daemon doesn't set
// MovesTotal, so the number of loads and unloads is 0.
func describePlacement(p operatorapi.PlacementStatus) string {
	if p.Holder == "" {
		return "NO LEASE HOLDER is known"
	}
	return fmt.Sprintf("lease held by %s with fencing number %d, %d orders pending, %d loads and unloads ordered by this holder", p.Holder, p.Fence, p.OrdersPending, p.MovesTotal)
}

func describeServers(servers []operatorapi.ServerStatus) string {
	counts := map[operatorapi.ServerState]int{}
	for _, s := range servers {
		counts[s.State]++
	}
	return fmt.Sprintf("%d live, %d leaving, %d unreachable",
		counts[operatorapi.ServerLive], counts[operatorapi.ServerLeaving], counts[operatorapi.ServerUnreachable])
}

// describeModels counts the models and adapters without a resident copy and names the first
// maxNamed. Each should have a resident copy at all times, so a name in the output means that
// something is wrong.
func describeModels(models []operatorapi.ModelStatus) string {
	const maxNamed = 5
	withoutResidentCopy := 0
	names := ""
	for _, m := range models {
		if m.HasResidentCopy() {
			continue
		}
		withoutResidentCopy++
		if withoutResidentCopy <= maxNamed {
			names += " " + string(m.Ref)
		}
	}
	if withoutResidentCopy == 0 {
		return fmt.Sprintf("all %d have a resident copy", len(models))
	}
	if withoutResidentCopy > maxNamed {
		names += " …"
	}
	return fmt.Sprintf("%d of %d WITHOUT A RESIDENT COPY:%s", withoutResidentCopy, len(models), names)
}

func instanceTable(s operatorapi.Status) *table {
	out := newTable("INSTANCE", "STATE", "FAILURE DOMAIN", "CALLERS", "REVISION", "REQUESTS")
	for _, i := range s.Instances {
		out.add(i.Name, i.State, i.FailureDomain, i.CallerAddress, i.Revision, i.Requests)
	}
	return out
}

func classTable(classes []operatorapi.ClassStatus) *table {
	out := newTable("CLASS", "WAITING", "RUNNING", "IN TIME", "LATE", "REFUSED")
	for _, c := range classes {
		out.add(c.Name, c.Waiting, c.Running, c.InTime, c.Late, c.Refused)
	}
	return out
}
