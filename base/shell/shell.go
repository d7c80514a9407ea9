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
	// Aliases are its names, the usual one first.
	Aliases() []string
	// Help is one line.
	Help() string
	// Flags declares its flags.
	Flags(cmd *cobra.Command)
	// Execute runs it until ctx ends.
	Execute(ctx context.Context, out io.Writer, args []string) error
}

// CommandSet is the commands of one program, by group; group "" holds those at the top.
type CommandSet struct {
	groups map[string]map[string]Command
	helps  map[string]string
}

// New makes an empty set.
func New() *CommandSet {
	return &CommandSet{groups: map[string]map[string]Command{}, helps: map[string]string{}}
}

// Register adds a command at the top.
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

// Describe gives a group its help line.
func (s *CommandSet) Describe(group, help string) {
	s.helps[group] = help
}

// The exit codes.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// Run runs the command line of a program and returns the exit code. It takes the signals of
// the process for good.
func (s *CommandSet) Run(name, help, version string, args []string, out, errOut io.Writer) int {
	taken := takeSignals()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	root := s.root(name, help, version, out, func(cmd Command) { taken.tell(cmd, stop) })
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

// Root builds the command tree.
func (s *CommandSet) Root(name, help, version string, out io.Writer) *cobra.Command {
	return s.root(name, help, version, out, func(Command) {})
}

// root builds the command tree; begin is called before a command is executed.
func (s *CommandSet) root(name, help, version string, out io.Writer, begin func(cmd Command)) *cobra.Command {
	root := &cobra.Command{Use: name, Short: help, Version: version, SilenceUsage: true, SilenceErrors: true}
	for _, group := range sortedKeys(s.groups) {
		under := root
		if group != "" {
			under = &cobra.Command{Use: group, Short: s.helps[group]}
			root.AddCommand(under)
		}
		for _, cmd := range s.sorted(group) {
			under.AddCommand(build(cmd, out, begin))
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

func build(cmd Command, out io.Writer, begin func(cmd Command)) *cobra.Command {
	names := cmd.Aliases()
	c := &cobra.Command{Use: names[0], Aliases: names[1:], Short: cmd.Help(), Args: cobra.ArbitraryArgs}
	c.RunE = func(c *cobra.Command, args []string) error {
		begin(cmd)
		return cmd.Execute(c.Context(), out, args)
	}
	cmd.Flags(c)
	return c
}
