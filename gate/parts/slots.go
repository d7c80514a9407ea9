package parts

import (
	"time"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/policy"
	"mulleingate.dev/gate/slots"
)

func init() {
	register("slots", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"member", "policy", "meter"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			settings, platform := env.Settings.Slots, env.Settings.Platform
			timing := slots.Timing{
				CheckInterval: time.Duration(settings.CheckInterval), FlushDelay: time.Duration(settings.FlushDelay), AdoptionDelay: time.Duration(settings.AdoptionDelay),
				Retention: time.Duration(platform.Retention), AppendRate: platform.AppendShare(), MaxQueued: settings.MaxQueuedRecords,
			}
			return slots.New(env.Self, env.Incarnation, env.Log, k.Find("member").(*member.View),
				k.Find("policy").(*policy.Store), timing, k.Find("meter").(*meter.Meter), env.Logger), nil
		}}
	})
}
