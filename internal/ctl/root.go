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

// Environment is what the tool uses of its process.
type Environment struct {
	Stdout, Stderr io.Writer
	// ConfigDir is the user's configuration directory; empty means none.
	ConfigDir string
	// NewChangeID makes an id that no other change has.
	NewChangeID func() string
	// RetryPause is the wait before a change whose outcome is unclear is sent again.
	RetryPause time.Duration
}

// defaultRetryPause is the RetryPause of the real tool.
const defaultRetryPause = 500 * time.Millisecond

// ProcessEnvironment returns the environment of this process.
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

// randomChangeID makes an id from 128 random bits.
func randomChangeID() string {
	var id [16]byte
	// Read never fails; it ends the process if the system has no randomness.
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// tool is one run of limpethubctl.
type tool struct {
	env   Environment
	flags clientFlags
	// output is "table" or "json".
	output string
	// ran is set once a command has been chosen and its arguments are valid.
	ran bool
}

// Run runs the tool with the arguments after the program's name.
func Run(ctx context.Context, args []string, env Environment) ExitCode {
	t := &tool{env: env}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(env.Stdout)
	root.SetErr(env.Stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !t.ran {
		// Only cobra's own checks fail before a command has run.
		err = &usageError{err: err}
	}
	printError(env.Stderr, err)
	code := exitCodeOf(err)
	if code == ExitUsage {
		fmt.Fprintln(env.Stderr, "limpethubctl: try --help")
	}
	return code
}

// printError writes an error for people. Problems of files come one a line, each with its
// file and line first, as editors read them.
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

const rootLong = `limpethubctl drives a site of limpethub: it checks and applies the site's
configuration, and shows what the site is doing.

It talks to the operators' listener of any entry instance. Name the instance and
your key by flags, or in a settings file: --settings, or limpethub/limpethubctl.json
in your configuration directory. Flags go first.

Exit codes: 0 done, 1 failure, 2 wrong usage, 3 a configuration failed its checks,
4 another change was accepted first, 5 no instance could serve the call, 6 a change
may or may not have taken effect, 7 no valid operator's key, 8 no such name.`

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "limpethubctl",
		Short:         "Drive a site of limpethub",
		Long:          rootLong,
		SilenceErrors: true,
		SilenceUsage:  true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if err := t.checkOutput(); err != nil {
				return err
			}
			t.ran = true
			return nil
		},
	}
	t.flags.register(root)
	root.PersistentFlags().StringVarP(&t.output, "output", "o", outputTable, `how to print: "table" or "json"`)
	fixed := cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp)
	if err := root.RegisterFlagCompletionFunc("output", fixed); err != nil {
		panic(fmt.Sprintf("ctl: completion of --output: %v", err))
	}
	root.AddCommand(
		t.configCommand(), t.settingsCommand(),
		t.statusCommand(), t.modelsCommand(), t.serversCommand(),
		t.explainCommand(), t.locateCommand(), t.drainCommand(),
	)
	return root
}

// group makes a command that only holds others.
func group(use, short, long string, commands ...*cobra.Command) *cobra.Command {
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
