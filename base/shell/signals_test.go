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

// asProgram is set in the environment of processes that are to be a program instead of a test.
const asProgram = "MULLEINGATE_TEST_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		set := New()
		set.Register(wait{})
		os.Exit(set.Run("test", "", "", []string{"wait"}, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// wait is a command that waits for its end, and tells of both.
type wait struct{}

func (wait) Aliases() []string    { return []string{"wait"} }
func (wait) Help() string         { return "" }
func (wait) Flags(*cobra.Command) {}
func (wait) Execute(ctx context.Context, out io.Writer, _ []string) error {
	_, _ = io.WriteString(out, "begun\n") // the test reads it
	<-ctx.Done()
	_, err := io.WriteString(out, "stopped\n")
	return err
}

// program starts the program by the shell's words before it, and returns its lines once it has
// begun.
func program(t *testing.T, before string) (*exec.Cmd, *bufio.Scanner) {
	t.Helper()
	cmd := exec.Command("sh", "-c", before+` exec "$0"`, os.Args[0])
	cmd.Env = append(os.Environ(), asProgram+"=1")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	// What is taken here is not ignored there, also when the tests run under nohup.
	taken := make(chan os.Signal, 1)
	signal.Notify(taken, syscall.SIGHUP)
	defer signal.Stop(taken)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() }) // it may have ended
	lines := bufio.NewScanner(out)
	if !lines.Scan() || lines.Text() != "begun" {
		t.Fatalf("the program begins with %q: %v", lines.Text(), lines.Err())
	}
	return cmd, lines
}

// signalled sends a signal, and reports whether the program stops on it.
func signalled(t *testing.T, cmd *exec.Cmd, stopped chan string, sig syscall.Signal) bool {
	t.Helper()
	if err := cmd.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
	select {
	case line := <-stopped:
		if line != "stopped" {
			t.Errorf("%v: the program does not stop in order: %q", sig, line)
		}
		return true
	case <-time.After(500 * time.Millisecond):
		return false
	}
}

// TestHangup checks that a command ends on a hangup, but not where it was started so that
// hangups are ignored, as by nohup; and that it ends on other signals all the same.
func TestHangup(t *testing.T) {
	for _, c := range []struct {
		name, before string
		signals      []syscall.Signal
	}{
		{"usual", "", []syscall.Signal{syscall.SIGHUP}},
		{"ignored", "trap '' HUP;", []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cmd, lines := program(t, c.before)
			stopped := make(chan string, 1)
			go func() {
				lines.Scan()
				stopped <- strings.TrimSpace(lines.Text())
			}()
			last := len(c.signals) - 1
			for i, sig := range c.signals {
				if got := signalled(t, cmd, stopped, sig); got != (i == last) {
					t.Fatalf("%v: stops %v", sig, got)
				}
			}
			if err := cmd.Wait(); err != nil {
				t.Error(err)
			}
		})
	}
}
