package kernel

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// Service is a part of a box.
type Service interface {
	// Start returns when the service can be used.
	Start(ctx context.Context) error
	// Stop ends it, finishing what it has accepted until ctx ends.
	Stop(ctx context.Context) error
}

// Factory makes a service from services that have been made before it.
type Factory func(k *Kernel) (Service, error)

// Part registers a service: its name, the names it needs, and how it is made.
type Part struct {
	Name  string
	Needs []string
	Make  Factory
	// Spare is the end of a bounded stop that this service's stop may not use: those behind
	// it have something to finish too, however long this one takes.
	Spare time.Duration
}

// Kernel holds the services of one box.
type Kernel struct {
	log      *slog.Logger
	services map[string]Service
	// started is in the order of starting.
	started []Part
}

// New makes an empty kernel.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log, services: map[string]Service{}}
}

// Find returns a service by name, or nil if there is none.
func (k *Kernel) Find(name string) Service {
	return k.services[name]
}

// Start makes and starts the parts in order of need. On failure it stops what runs.
func (k *Kernel) Start(ctx context.Context, parts []Part) error {
	order, err := sorted(parts, k.services)
	if err != nil {
		return err
	}
	for _, part := range order {
		if err := k.start(ctx, part); err != nil {
			return errors.CombineErrors(err, k.Stop(ctx))
		}
	}
	return nil
}

func (k *Kernel) start(ctx context.Context, part Part) error {
	svc, err := part.Make(k)
	if err != nil {
		return errors.Wrapf(err, "service %s", part.Name)
	}
	k.services[part.Name] = svc
	if err := svc.Start(ctx); err != nil {
		return errors.Wrapf(err, "service %s", part.Name)
	}
	k.started = append(k.started, part)
	k.log.Debug("kernel: service started", "service", part.Name)
	return nil
}

// Stop stops the services in reverse order of their start.
func (k *Kernel) Stop(ctx context.Context) error {
	var all error
	for i := len(k.started) - 1; i >= 0; i-- {
		part := k.started[i]
		if err := k.stop(ctx, part); err != nil {
			k.log.Warn("kernel: service stopped badly", "service", part.Name, "error", err)
			all = errors.CombineErrors(all, err)
		}
	}
	k.started = nil
	return all
}

func (k *Kernel) stop(ctx context.Context, part Part) error {
	if end, bounded := ctx.Deadline(); bounded {
		early, stop := context.WithDeadline(ctx, end.Add(-part.Spare))
		defer stop()
		ctx = early
	}
	return k.services[part.Name].Stop(ctx)
}

// sorted orders parts so that each comes after what it needs.
func sorted(parts []Part, have map[string]Service) ([]Part, error) {
	done := map[string]bool{}
	for name := range have {
		done[name] = true
	}
	left := parts
	var out []Part
	for len(left) > 0 {
		var rest []Part
		for _, part := range left {
			if !all(part.Needs, done) {
				rest = append(rest, part)
				continue
			}
			out = append(out, part)
			done[part.Name] = true
		}
		if len(rest) == len(left) {
			return nil, fault.Refuse(fault.Internal, "service "+rest[0].Name+" needs one that is missing or needs it")
		}
		left = rest
	}
	return out, nil
}

func all(names []string, done map[string]bool) bool {
	for _, name := range names {
		if !done[name] {
			return false
		}
	}
	return true
}
