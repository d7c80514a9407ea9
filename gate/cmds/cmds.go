package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/proc"

	"mulleingate.dev/base/fault"
)

// Command is one command of the program.
type Command interface {
	// Aliases are its names, the usual one first.
	Aliases() []string
	// Help is one line.
	Help() string
	// Flags declares its flags.
	Flags(cmd *cobra.Command)
	// Execute runs it until ctx ends.
	Execute(ctx context.Context, out io.Writer, args []string) error
}

var commands = map[string]Command{}

func register(cmd Command) {
	commands[cmd.Aliases()[0]] = cmd
}

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// forceQuit outlasts any planned stop: go-zero would otherwise end the process by itself
// a few seconds after the signal.
const forceQuit = 24 * time.Hour

// Run runs the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	proc.SetTimeToForceQuit(forceQuit)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "gate", Short: "A box of mulleingate, the scheduler for agent programs", SilenceUsage: true, SilenceErrors: true}
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	names := make([]string, 0, len(commands))
	for name := range commands {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		root.AddCommand(build(commands[name], out))
	}
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	_, _ = fmt.Fprintln(errOut, err)
	if fault.Is(err, fault.BadSettings) {
		return exitUsage
	}
	return exitFailed
}

func build(cmd Command, out io.Writer) *cobra.Command {
	names := cmd.Aliases()
	c := &cobra.Command{Use: names[0], Aliases: names[1:], Short: cmd.Help(), Args: cobra.NoArgs}
	c.RunE = func(c *cobra.Command, args []string) error { return cmd.Execute(c.Context(), out, args) }
	cmd.Flags(c)
	return c
}
