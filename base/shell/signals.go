package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Reloader is a command that serves others while its process lives. It is told of SIGHUP, by
// which operators say that settings have changed; other commands end on it.
type Reloader interface {
	Command
	// Reload must not block. It may be called at any moment, also before Execute and after it.
	Reload()
}

// pending bounds the signals that wait until the command is known; more of them say nothing new.
const pending = 16

// signals are those that the process is sent. They are never given back: the default action of
// a signal that nobody takes ends the process, and cuts whatever it still serves or finishes.
type signals chan os.Signal

// takeSignals takes a hangup only where it would end the process: who starts a command so that
// it outlives the terminal, as nohup does, has it ignore hangups, and taking them undoes that.
func takeSignals() signals {
	taken := make(signals, pending)
	signal.Notify(taken, os.Interrupt, syscall.SIGTERM)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(taken, syscall.SIGHUP)
	}
	return taken
}

// tell has stop called on a signal to stop, and the command told of each SIGHUP if it is a
// Reloader. Such a command outlives the reader of its output too.
func (s signals) tell(cmd Command, stop context.CancelFunc) {
	reloader, reloads := cmd.(Reloader)
	if reloads {
		signal.Ignore(syscall.SIGPIPE)
	}
	go func() {
		for sig := range s {
			if reloads && sig == syscall.SIGHUP {
				reloader.Reload()
				continue
			}
			stop()
		}
	}()
}

// ReloadRequests makes the command that embeds it a Reloader. What it is told while nobody listens
// counts once.
type ReloadRequests struct {
	told chan struct{}
}

// NewReloadRequests makes changes that nobody was told of yet.
func NewReloadRequests() ReloadRequests {
	return ReloadRequests{told: make(chan struct{}, 1)}
}

// Reload implements Reloader.
func (c ReloadRequests) Reload() {
	select {
	case c.told <- struct{}{}:
	default:
	}
}

// Serve waits until ctx ends, then stops, and returns once that is done. Until then it reloads
// whenever settings have changed, also while it stops.
func (c ReloadRequests) Serve(ctx context.Context, reload func(), stop func(context.Context) error) error {
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- stop(context.WithoutCancel(ctx))
	}()
	for {
		select {
		case err := <-stopped:
			return err
		case <-c.told:
			reload()
		}
	}
}
