package shell

import (
	"bufio"
	"context"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
)

// programEnv is set in the environment of processes that should run the command wait instead of
// the tests.
const programEnv = "MULLEINGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(programEnv) != "" {
		set := New()
		set.Register(waitCommand{})
		os.Exit(set.Run("test", "", "", []string{"wait"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// waitCommand waits until its context ends. It prints a line when it starts and when it stops.
type waitCommand struct{}

func (waitCommand) Aliases() []string    { return []string{"wait"} }
func (waitCommand) Help() string         { return "" }
func (waitCommand) Flags(*cobra.Command) {}
func (waitCommand) Execute(ctx context.Context, out io.Writer, _ []string) error {
	_, _ = io.WriteString(out, "started\n") // the test reads it
	<-ctx.Done()
	_, err := io.WriteString(out, "stopped\n")
	return err
}

// startProgram starts the test binary as a program after the given shell commands. It returns once
// the program has started, with its output.
func startProgram(t *testing.T, shellPrefix string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command("sh", "-c", shellPrefix+` exec "$0"`, os.Args[0])
	cmd.Env = append(os.Environ(), programEnv+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	// A signal that is handled here is not ignored in the child, even if the tests run under nohup.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Stop(handled)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have exited
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "started" {
		t.Fatalf("first line of the program is %q, error %v", lines.Text(), lines.Err())
	}
	return cmd, lines
}

// stopsOn sends a signal and reports whether the program stops within half a second.
func stopsOn(t *testing.T, cmd *exec.Cmd, stopped chan string, sig syscall.Signal) bool {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
	select {
	case line := <-stopped:
		if line != "stopped" {
			t.Errorf("%v: last line of the program is %q, want \"stopped\"", sig, line)
		}
		return true
	case <-time.After(500 * time.Millisecond):
		return false
	}
}

// TestHangup checks that a command stops on SIGHUP, but not if it was started with SIGHUP ignored
// (as by nohup), and that it then still stops on other signals.
func TestHangup(t *testing.T) {
	for _, c := range []struct {
		name, shellPrefix string
		signals           []syscall.Signal
	}{
		{"usual", "", []syscall.Signal{syscall.SIGHUP}},
		{"ignored", "trap '' HUP;", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cmd, lines := startProgram(t, c.shellPrefix)
			stopped := make(chan string, 1)
			go func() {
				lines.Scan()
				stopped <- strings.TrimSpace(lines.Text())
			}()
			last := len(c.signals) - 1
			for i, sig := range c.signals {
				if got := stopsOn(t, cmd, stopped, sig); got != (i == last) {
					t.Fatalf("%v: program stopped is %v, want the opposite", sig, got)
				}
			}
			if err := cmd.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
