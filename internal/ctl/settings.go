package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/settings"
	"limpethub/internal/strictjson"
)

// settingsResult is the JSON form of checked settings files.
type settingsResult struct {
	checkResult
	// Warnings lists what is allowed but should be known.
	Warnings []string `json:"warnings"`
}

func (t *tool) settingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files of daemons",
		Long: `Check settings files of daemons and list everything that is wrong, each with its
file, line, field and mend. Exit code 3 means that something is wrong.`,
		Example: "  limpethubctl settings check examples/rigline/limpethubd.json",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(_ *cobra.Command, files []string) error { return t.checkSettings(files) },
	}
}

func (t *tool) checkSettings(files []string) error {
	var problems strictjson.Problems
	warnings := []string{}
	for _, file := range files {
		s, err := settings.Load(file)
		var found strictjson.Problems
		if errors.As(err, &found) {
			problems = append(problems, found...)
		}
		for _, warning := range s.Warnings() {
			warnings = append(warnings, file+": "+warning)
		}
	}
	if err := problems.Err(); err != nil {
		return t.invalid(err)
	}
	result := settingsResult{checkResult: checkResult{Valid: true}, Warnings: warnings}
	return t.print(result, func(w io.Writer) error {
		for _, warning := range warnings {
			fmt.Fprintf(w, "warning: %s\n", warning)
		}
		_, err := fmt.Fprintf(w, "%d files are valid\n", len(files))
		return err
	})
}
