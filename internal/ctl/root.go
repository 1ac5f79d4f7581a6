package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"limpethub/internal/strictjson"
)

// Environment holds what a run of the tool needs besides its arguments. Tests replace it.
type Environment struct {
	Stdout, Stderr io.Writer
	// ConfigDir is the user's configuration directory; empty means none.
	ConfigDir string
	// NewChangeID returns a unique id for a change of configuration.
	NewChangeID func() string
	// RetryPause is the wait before a change with an unclear outcome is sent again.
	RetryPause time.Duration
}

const defaultRetryPause = 500 * time.Millisecond

// ProcessEnvironment returns the environment of this process. ConfigDir is empty if the
// system doesn't define one.
func ProcessEnvironment() Environment {
	directory, err := os.UserConfigDir()
	if err != nil {
		directory = ""
	}
	return Environment{
		Stdout:      os.Stdout,
		Stderr:      os.Stderr,
		ConfigDir:   directory,
		NewChangeID: randomChangeID,
		RetryPause:  defaultRetryPause,
	}
}

// randomChangeID returns 128 random bits in hexadecimal.
func randomChangeID() string {
	var id [16]byte
	// rand.Read never returns an error: it ends the process if the system has no random
	// numbers.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// tool is the state of one run of limpethubctl.
type tool struct {
	env   Environment
	flags clientFlags
	// output is "table" or "json".
	output string
	// argsValid is set once cobra has chosen a command and checked its arguments and flags.
	// cobra checks required flags only after that, so a missing required flag exits with
	// ExitFailure, not with ExitUsage.
	argsValid bool
}

// Run runs the tool with args, the arguments after the program's name, prints an error to
// env.Stderr and returns the exit code.
func Run(ctx context.Context, args []string, env Environment) ExitCode {
	t := &tool{env: env}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !t.argsValid {
		// Before argsValid is set, only the checks of the command line can fail.
		err = &usageError{err: err}
	}
	printError(env.Stderr, err)
	code := exitCodeOf(err)
	if code == ExitUsage {
		fmt.Fprintln(env.Stderr, "limpethubctl: try --help")
	}
	return code
}

// printError writes an error to w as text. Problems of files are written one a line, each
// starting with file and line, the format from which editors can jump to the place.
func printError(w io.Writer, err error) {
	var problems strictjson.Problems
	switch {
	case err == nil:
	case errors.As(err, &problems):
		fmt.Fprintf(w, "%v\nlimpethubctl: problems found: %d\n", problems, len(problems))
	default:
		fmt.Fprintf(w, "limpethubctl: %v\n", err)
	}
}

const rootLong = `limpethubctl manages a limpethub site: it checks and applies the site's
configuration, shows the site's state, and drains instances.

It calls the operators' listener of any entry instance. Give the instance and your
credentials (a token, or a certificate with its private key) as flags or in a settings
file: the one that --settings names, or limpethub/limpethubctl.json in your
configuration directory. Flags override the settings file.

Exit codes: 0 success, 1 any other failure, 2 wrong command line or wrong settings of
limpethubctl, 3 a site's configuration, or a settings file of limpethubd, is not valid,
4 the change was not made from the revision in force, 5 the instance did not answer or
can't serve the call now, 6 a change may or may not have taken effect, 7 no valid
operator credentials, 8 no such model, adapter or instance, or no configuration yet.`

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "limpethubctl",
		Short:         "Manage a limpethub site",
		Long:          rootLong,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := t.checkOutput(); err != nil {
				return err
			}
			t.argsValid = true
			return nil
		},
	}
	t.flags.registerFlags(root)
	root.PersistentFlags().StringVarP(&t.output, "output", "o", outputTable, `output format: "table" or "json"`)
	completions := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := root.RegisterFlagCompletionFunc("output", completions); err != nil {
		panic(fmt.Sprintf("ctl: register completion of --output: %v", err))
	}
	root.AddCommand(
		t.configCommand(), t.settingsCommand(),
		t.statusCommand(), t.modelsCommand(), t.serversCommand(),
		t.explainCommand(), t.locateCommand(), t.drainCommand(), t.quarantineCommand(),
	)
	return root
}

// commandGroup returns a command that only holds subcommands. Called without one, it
// prints its help.
func commandGroup(use, short, long string, commands ...*cobra.Command) *cobra.Command {
	c := &cobra.Command{
		Use:   use,
		Short: short,
		Long:  long,
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return c.Help() },
	}
	c.AddCommand(commands...)
	return c
}
