package parts

import (
	"context"

	"mulleingate.dev/base/wire"
	"mulleingate.dev/gate/admit"
	"mulleingate.dev/gate/engine"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/gate/policy"
	"mulleingate.dev/gate/prog"
	"mulleingate.dev/gate/slots"
	"mulleingate.dev/gate/trail"
)

// poolsService makes plain.Pools, which routes calls to plain services, a kernel.Service.
type poolsService struct{ *plain.Pools }

func (poolsService) Start(context.Context) error { return nil }
func (poolsService) Stop(context.Context) error  { return nil }

func init() {
	register("prog", func(env *Env) kernel.ServiceSpec {
		needs := []string{"slots", "admit", "engine", "policy", "meter", "trail"}
		return kernel.ServiceSpec{DependsOn: needs, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			owners := k.Find("slots").(*slots.Slots)
			svc := prog.New(env.Self.Zone, owners, k.Find("admit").(*admit.Scheduler), k.Find("engine").(*engine.Engines),
				k.Find("policy").(*policy.Store), k.Find("meter").(*meter.Meter), k.Find("trail").(*trail.Trail), env.Logger)
			owners.Watch(svc)
			k.Find("policy").(*policy.Store).OnChange(func(*policy.State) { svc.ReleaseDisallowedCaches() })
			return svc, nil
		}}
	})
	register("pools", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"policy", "meter", "member"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			p := plain.NewPools(env.Self.Zone, k.Find("policy").(*policy.Store), k.Find("meter").(*meter.Meter))
			view := k.Find("member").(*member.View)
			view.OnList(p.UpdateTargets)
			view.AddToHeartbeat(func(beat *wire.BeatRequest) {
				beat.LeavingTargets = append(beat.LeavingTargets, p.LeavingReplicas()...)
			})
			view.OnHeartbeat(func(beat *wire.BeatRequest) {
				for _, name := range beat.GetLeavingTargets() {
					p.MarkLeaving(name)
				}
			})
			return poolsService{p}, nil
		}}
	})
	register("plain", func(env *Env) kernel.ServiceSpec {
		needs := []string{"slots", "pools", "policy", "meter"}
		return kernel.ServiceSpec{DependsOn: needs, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			return plain.New(k.Find("slots").(*slots.Slots), k.Find("pools").(poolsService), k.Find("policy").(*policy.Store),
				k.Find("meter").(*meter.Meter), env.Logger), nil
		}}
	})
}
