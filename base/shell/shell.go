package shell

import (
	"context"
	"fmt"
	"io"
	"sort"

	"github.com/spf13/cobra"

	"mulleingate.dev/base/fault"
)

// Command is one command of a program.
type Command interface {
	// Aliases returns the names of the command, the primary one first.
	Aliases() []string
	// Help returns a one-line description.
	Help() string
	// Flags defines the command's flags on cmd.
	Flags(cmd *cobra.Command)
	// Execute runs the command until it is done or ctx ends, and writes its output to out.
	Execute(ctx context.Context, out io.Writer, args []string) error
}

// CommandSet holds the commands of one program by group; group "" holds the top-level commands.
type CommandSet struct {
	groups    map[string]map[string]Command
	groupHelp map[string]string
}

// New returns an empty set.
func New() *CommandSet {
	return &CommandSet{groups: map[string]map[string]Command{}, groupHelp: map[string]string{}}
}

// Register adds a top-level command.
func (s *CommandSet) Register(cmd Command) {
	s.RegisterIn("", cmd)
}

// RegisterIn adds a command to a group.
func (s *CommandSet) RegisterIn(group string, cmd Command) {
	if s.groups[group] == nil {
		s.groups[group] = map[string]Command{}
	}
	s.groups[group][cmd.Aliases()[0]] = cmd
}

// Describe sets the help line of a group.
func (s *CommandSet) Describe(group, help string) {
	s.groupHelp[group] = help
}

// The exit codes of the programs.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Run runs the command line of a program and returns the exit code. The signal handlers that it
// installs stay in place after it returns.
func (s *CommandSet) Run(name, help, version string, args []string, out, errOut io.Writer) int {
	sigs := notifySignals()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	root := s.root(name, help, version, out, func(cmd Command) { sigs.dispatch(cmd, stop) })
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(errOut, name+":", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case fault.Is(err, fault.BadSettings), fault.Is(err, fault.BadConfig), fault.Is(err, fault.BadRequest):
		return ExitUsage
	case fault.Is(err, fault.RevisionConflict):
		return ExitConflict
	}
	return ExitFailed
}

// Root returns the command tree, without signal handling.
func (s *CommandSet) Root(name, help, version string, out io.Writer) *cobra.Command {
	return s.root(name, help, version, out, func(Command) {})
}

// root returns the command tree; beforeRun is called before a command is executed.
func (s *CommandSet) root(name, help, version string, out io.Writer, beforeRun func(cmd Command)) *cobra.Command {
	root := &cobra.Command{Use: name, Short: help, Version: version, SilenceUsage: true, SilenceErrors: true}
	for _, group := range sortedKeys(s.groups) {
		parent := root
		if group != "" {
			parent = &cobra.Command{Use: group, Short: s.groupHelp[group]}
			root.AddCommand(parent)
		}
		for _, cmd := range s.sorted(group) {
			parent.AddCommand(buildCommand(cmd, out, beforeRun))
		}
	}
	return root
}

func sortedKeys(groups map[string]map[string]Command) []string {
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (s *CommandSet) sorted(group string) []Command {
	cmds := make([]Command, 0, len(s.groups[group]))
	for _, cmd := range s.groups[group] {
		cmds = append(cmds, cmd)
	}
	sort.Slice(cmds, func(i, j int) bool { return cmds[i].Aliases()[0] < cmds[j].Aliases()[0] })
	return cmds
}

func buildCommand(cmd Command, out io.Writer, beforeRun func(cmd Command)) *cobra.Command {
	names := cmd.Aliases()
	c := &cobra.Command{Use: names[0], Aliases: names[1:], Short: cmd.Help(), Args: cobra.ArbitraryArgs}
	c.RunE = func(c *cobra.Command, args []string) error {
		beforeRun(cmd)
		return cmd.Execute(c.Context(), out, args)
	}
	cmd.Flags(c)
	return c
}
