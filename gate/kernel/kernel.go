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

// ServiceSpec describes a service: its name, the names of the services that it depends on, its
// factory, and the time that its stop reserves for other services.
type ServiceSpec struct {
	Name      string
	DependsOn []string
	Make      Factory
	// StopReserve is the time before the deadline of a stop that is reserved for the services that
	// stop after this one: the context of this service's Stop ends that much earlier. It has no
	// effect on a stop without a deadline.
	StopReserve time.Duration
}

// Kernel holds the services of one box.
type Kernel struct {
	log      *slog.Logger
	services map[string]Service
	// started lists the started services in start order.
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
func (k *Kernel) Start(ctx context.Context, specs []ServiceSpec) error {
	order, err := sortByDependency(specs, k.services)
	if err != nil {
		return err
	}
	for _, spec := range order {
		if err := k.start(ctx, spec); err != nil {
			return errors.CombineErrors(err, k.Stop(ctx))
		}
	}
	return nil
}

func (k *Kernel) start(ctx context.Context, spec ServiceSpec) error {
	svc, err := spec.Make(k)
	if err != nil {
		return errors.Wrapf(err, "service %s", spec.Name)
	}
	k.services[spec.Name] = svc
	if err := svc.Start(ctx); err != nil {
		return errors.Wrapf(err, "service %s", spec.Name)
	}
	k.started = append(k.started, spec)
	k.log.Debug("kernel: service started", "service", spec.Name)
	return nil
}

// Stop stops the services in reverse start order. It goes on after a failure and returns all
// errors.
func (k *Kernel) Stop(ctx context.Context) error {
	var failures error
	for i := len(k.started) - 1; i >= 0; i-- {
		spec := k.started[i]
		if err := k.stop(ctx, spec); err != nil {
			k.log.Warn("kernel: service did not stop cleanly", "service", spec.Name, "error", err)
			failures = errors.CombineErrors(failures, err)
		}
	}
	k.started = nil
	return failures
}

func (k *Kernel) stop(ctx context.Context, spec ServiceSpec) error {
	if deadline, bounded := ctx.Deadline(); bounded {
		withReserve, stop := context.WithDeadline(ctx, deadline.Add(-spec.StopReserve))
		defer stop()
		ctx = withReserve
	}
	return k.services[spec.Name].Stop(ctx)
}

// sortByDependency orders services so that each comes after the services that it depends on.
// It fails if a dependency is neither in specs nor running, or if there is a cycle.
func sortByDependency(specs []ServiceSpec, running map[string]Service) ([]ServiceSpec, error) {
	placed := map[string]bool{}
	for name := range running {
		placed[name] = true
	}
	remaining := specs
	var order []ServiceSpec
	for len(remaining) > 0 {
		var blocked []ServiceSpec
		for _, spec := range remaining {
			if !containsAll(spec.DependsOn, placed) {
				blocked = append(blocked, spec)
				continue
			}
			order = append(order, spec)
			placed[spec.Name] = true
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
