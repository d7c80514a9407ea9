package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Reloader is a long-running command that reloads its settings on SIGHUP. Other commands stop on
// SIGHUP.
type Reloader interface {
	Command
	// Reload is called on SIGHUP. It must not block, and may be called before and after Execute.
	Reload()
}

// signalBuffer is the number of signals that are kept until the command is known. More are dropped.
const signalBuffer = 16

// signalChan receives the signals of the process. It is never unregistered, since the default
// action of a signal would kill the process while it is still shutting down.
type signalChan chan os.Signal

// notifySignals returns a channel that receives SIGINT, SIGTERM and, unless the process was started
// with it ignored (as by nohup), SIGHUP.
func notifySignals() signalChan {
	sigs := make(signalChan, signalBuffer)
	signal.Notify(sigs, os.Interrupt, syscall.SIGTERM)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(sigs, syscall.SIGHUP)
	}
	return sigs
}

// dispatch calls stop on each signal, except that a Reloader is reloaded on SIGHUP. A Reloader also
// ignores SIGPIPE, so that it keeps running after the reader of its output has closed.
func (s signalChan) dispatch(cmd Command, stop context.CancelFunc) {
	reloader, canReload := cmd.(Reloader)
	if canReload {
		signal.Ignore(syscall.SIGPIPE)
	}
	go func() {
		for sig := range s {
			if canReload && sig == syscall.SIGHUP {
				reloader.Reload()
				continue
			}
			stop()
		}
	}()
}

// ReloadRequests makes a command that embeds it a Reloader. Calls of Reload that Serve has not handled yet
// are merged into one.
type ReloadRequests struct {
	pending chan struct{}
}

// NewReloadRequests returns ReloadRequests without a pending reload.
func NewReloadRequests() ReloadRequests {
	return ReloadRequests{pending: make(chan struct{}, 1)}
}

// Reload requests a reload from Serve.
func (r ReloadRequests) Reload() {
	select {
	case r.pending <- struct{}{}:
	default:
	}
}

// Serve calls reload on each request until the command has stopped, and returns the error of stop.
// It calls stop when ctx ends, with a context that is not cancelled; reloads continue meanwhile.
func (r ReloadRequests) Serve(ctx context.Context, reload func(), stop func(context.Context) error) error {
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		stopped <- stop(context.WithoutCancel(ctx))
	}()
	for {
		select {
		case err := <-stopped:
			return err
		case <-r.pending:
			reload()
		}
	}
}
