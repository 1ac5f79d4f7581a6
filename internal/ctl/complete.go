package ctl

import (
	"github.com/spf13/cobra"

	"limpethub/internal/operatorapi"
)

// completeModels completes the first argument with the names of models and adapters.
func (t *tool) completeModels(c *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	return t.complete(c, args, func(s operatorapi.Status) []string {
		names := make([]string, len(s.Models))
		for i, m := range s.Models {
			names[i] = string(m.Ref)
		}
		return names
	})
}

// completeInstances completes the first argument with the names of entry instances.
func (t *tool) completeInstances(c *cobra.Command, args []string, _ string) ([]string, cobra.ShellCompDirective) {
	return t.complete(c, args, func(s operatorapi.Status) []string {
		names := make([]string, len(s.Instances))
		for i, instance := range s.Instances {
			names[i] = instance.Name
		}
		return names
	})
}

// complete completes the first argument with names taken from the site's status. If the
// status can't be read it returns no names, because a shell can't show an error during
// completion.
func (t *tool) complete(c *cobra.Command, args []string, names func(operatorapi.Status) []string) ([]string, cobra.ShellCompDirective) {
	if len(args) > 0 {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	status, err := t.status(c)
	if err != nil {
		return nil, cobra.ShellCompDirectiveNoFileComp
	}
	return names(status), cobra.ShellCompDirectiveNoFileComp
}
