package ctl

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"limpethub/internal/settings"
	"limpethub/internal/strictjson"
)

// settingsResult is the JSON output of settings check.
type settingsResult struct {
	checkResult
	// Warnings lists insecure choices in the files. They are allowed.
	Warnings []string `json:"warnings"`
}

func (t *tool) settingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE...",
		Short: "Check settings files of limpethubd",
		Long: `Check settings files of limpethubd and list every problem, each with its file, line,
field and correction. The settings file of limpethubctl itself is not checked. No
instance is called. Exit code 3 means that there are problems.`,
		Example: "  limpethubctl settings check examples/rigline/limpethubd.json",
		Args:    cobra.MinimumNArgs(1),
		RunE:    func(_ *cobra.Command, files []string) error { return t.checkSettings(files) },
	}
}

func (t *tool) checkSettings(files []string) error {
	var problems strictjson.Problems
	warnings := []string{}
	for _, file := range files {
		// Load returns no errors but Problems, and with them empty settings, which have no
		// warnings.
		s, err := settings.Load(file)
		var fileProblems strictjson.Problems
		if errors.As(err, &fileProblems) {
			problems = append(problems, fileProblems...)
		}
		for _, warning := range s.Warnings() {
			warnings = append(warnings, file+": "+warning)
		}
	}
	if err := problems.Err(); err != nil {
		return t.reportInvalid(err)
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
