package parts

import (
	"mulleingate.dev/gate/admit"
	"mulleingate.dev/gate/engine"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/policy"
	"mulleingate.dev/gate/pool"
	"mulleingate.dev/gate/slots"
)

func init() {
	register("pool", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"slots", "engine", "policy", "admit", "meter"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			return pool.New(k.Find("slots").(*slots.Slots), k.Find("engine").(*engine.Engines), k.Find("policy").(*policy.Store),
				k.Find("admit").(*admit.Scheduler), k.Find("meter").(*meter.Meter), env.Logger), nil
		}}
	})
}
