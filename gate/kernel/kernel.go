package kernel

import (
	"context"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/fault"
)

// Service is a component of a box that can be started and stopped.
type Service interface {
	// Start returns when the service can be used.
	Start(ctx context.Context) error
	// Stop finishes the accepted work and stops the service. It gives up when ctx is done.
	Stop(ctx context.Context) error
}

// Factory creates a service. It may look up the services that the service depends on in k.
type Factory func(k *Kernel) (Service, error)

// ServiceSpec describes a service: its name, the names of the services that it depends on, and its
// factory.
type ServiceSpec struct {
	Name      string
	DependsOn []string
	Make      Factory
	// StopReserve is the time before the deadline of a stop that is reserved for the services that
	// stop after this one. Stop's context ends that much earlier; no effect without a deadline.
	StopReserve time.Duration
}

// Kernel holds the services of one box.
type Kernel struct {
	log      *slog.Logger
	services map[string]Service
	// started lists the started parts in start order.
	started []ServiceSpec
}

// New returns a kernel without services.
func New(log *slog.Logger) *Kernel {
	return &Kernel{log: log, services: map[string]Service{}}
}

// Find returns the service with the name, or nil if there is none.
func (k *Kernel) Find(name string) Service {
	return k.services[name]
}

// Start creates and starts the services in dependency order. If one fails, it stops those
// that have started, but not the failed one, and returns all errors.
func (k *Kernel) Start(ctx context.Context, parts []ServiceSpec) error {
	order, err := sortByDependency(parts, k.services)
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

func (k *Kernel) start(ctx context.Context, part ServiceSpec) error {
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

// Stop stops the services in reverse start order. It goes on after a failure and returns all
// errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var failures error
	for i := len(k.started) - 1; i >= 0; i-- {
		part := k.started[i]
		if err := k.stop(ctx, part); err != nil {
			k.log.Warn("kernel: service did not stop cleanly", "service", part.Name, "error", err)
			failures = errors.CombineErrors(failures, err)
		}
	}
	k.started = nil
	return failures
}

func (k *Kernel) stop(ctx context.Context, part ServiceSpec) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		withReserve, stop := context.WithDeadline(ctx, deadline.Add(-part.StopReserve))
		defer stop()
		ctx = withReserve
	}
	return k.services[part.Name].Stop(ctx)
}

// sortByDependency orders parts so that each comes after the parts that it depends on. It
// fails if a dependency is neither in parts nor running, or if there is a cycle.
func sortByDependency(parts []ServiceSpec, running map[string]Service) ([]ServiceSpec, error) {
	placed := map[string]bool{}
	for name := range running {
		placed[name] = true
	}
	remaining := parts
	var order []ServiceSpec
	for len(remaining) > 0 {
		var blocked []ServiceSpec
		for _, part := range remaining {
			if !containsAll(part.DependsOn, placed) {
				blocked = append(blocked, part)
				continue
			}
			order = append(order, part)
			placed[part.Name] = true
		}
		if len(blocked) == len(remaining) {
			return nil, fault.Refuse(fault.Internal, "service "+blocked[0].Name+" cannot start: a dependency is missing or there is a cycle")
		}
		remaining = blocked
	}
	return order, nil
}

func containsAll(names []string, set map[string]bool) bool {
	for _, name := range names {
		if !set[name] {
			return false
		}
	}
	return true
}
