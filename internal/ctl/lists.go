package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
	"limpethub/internal/site"
)

func (t *tool) modelsCommand() *cobra.Command {
	var withoutResidentCopy bool
	c := &cobra.Command{
		Use:     "models",
		Short:   "List models and adapters with their copies",
		Long:    "List models and adapters with the servers that hold their copies. A copy that is not resident is followed by its state.",
		Example: "  limpethubctl models --unreachable",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := t.status(c)
			if err != nil {
				return err
			}
			models := status.Models
			if withoutResidentCopy {
				models = slices.DeleteFunc(slices.Clone(models), operatorapi.ModelStatus.HasResidentCopy)
			}
			// The copy makes JSON show an empty list as [], not as null.
			return t.print(append([]operatorapi.ModelStatus{}, models...), func(w io.Writer) error { return modelTable(models).write(w) })
		},
	}
	c.Flags().BoolVar(&withoutResidentCopy, "unreachable", false, "list only models and adapters without a resident copy")
	return c
}

func modelTable(models []operatorapi.ModelStatus) *table {
	out := newTable("MODEL", "BASE", "CLASS", "MIB", "REQUESTS/S", "COPIES")
	for _, m := range models {
		// MemoryMB is in MiB, despite its name.
		out.add(m.Ref, m.Base, m.Class, m.MemoryMB, fmt.Sprintf("%.1f", m.RequestsPerSecond), describeCopies(m.Copies))
	}
	return out
}

// describeCopies lists the servers of the copies. A server whose copy is not resident is
// followed by the copy's state.
func describeCopies(copies []operatorapi.Copy) string {
	if len(copies) == 0 {
		return "NONE"
	}
	out := make([]string, len(copies))
	for i, c := range copies {
		out[i] = c.Server
		if c.State != operatorapi.CopyResident {
			out[i] += " (" + string(c.State) + ")"
		}
	}
	return strings.Join(out, ", ")
}

func (t *tool) serversCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "servers",
		Short: "List backend servers with their memory and load",
		Long: `List backend servers with their memory and load. Committed memory is that of the
resident copies, and of copies that pending orders may still load. RESIDENT is the
number of resident copies in the table, and the list of their names in JSON.
If servers of a service differ in speed, SLOWDOWN is the time that one takes as a
multiple of the usual time, and LIMIT the most requests that it gets since it slows
down with more.`,
		Example: "  limpethubctl servers --output json",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			status, err := t.status(c)
			if err != nil {
				return err
			}
			// The copy makes JSON show an empty list as [], not as null.
			servers := append([]operatorapi.ServerStatus{}, status.Servers...)
			return t.print(servers, func(w io.Writer) error { return serverTable(servers).write(w) })
		},
	}
}

func serverTable(servers []operatorapi.ServerStatus) *table {
	header := []string{"SERVER", "KIND", "STATE", "FAILURE DOMAIN", "COMMITTED MIB", "SIZE MIB", "RUNNING", "WAITING", "REPORT AGE", "RESIDENT"}
	differ := slices.ContainsFunc(servers, func(s operatorapi.ServerStatus) bool { return s.Slowdown != 0 || s.Limit != 0 })
	if differ {
		header = append(header, "SLOWDOWN", "LIMIT")
	}
	out := newTable(header...)
	for _, s := range servers {
		row := []any{
			s.Name, s.Kind, s.State, s.FailureDomain, formatMemory(s, s.CommittedMB), formatMemory(s, s.MemoryMB),
			s.Running, s.Waiting, fmt.Sprintf("%d ms", s.ReportAgeMillis), len(s.Resident),
		}
		if differ {
			row = append(row, formatDifference(s.Slowdown), formatDifference(float64(s.Limit)))
		}
		out.add(row...)
	}
	return out
}

// formatDifference formats a number that is 0 for a server that doesn't differ from others.
func formatDifference(value float64) string {
	if value == 0 {
		return ""
	}
	return fmt.Sprint(value)
}

// formatMemory formats a size in MiB. It returns "" for a server of kind service, which holds
// no models.
func formatMemory(s operatorapi.ServerStatus, mib int64) string {
	if s.Kind == site.KindService {
		return ""
	}
	return fmt.Sprint(mib)
}
