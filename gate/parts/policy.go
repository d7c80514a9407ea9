package parts

import (
	"time"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/policy"
)

func init() {
	register("policy", func(env *Env) kernel.Part {
		return kernel.Part{Needs: []string{"dialer", "member"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			root, err := env.Settings.Security.Root()
			if err != nil {
				return nil, err
			}
			plat := env.Settings.Platform
			timing := policy.Timing{Poll: time.Duration(plat.ConfigPoll), Retention: time.Duration(plat.Retention)}
			return policy.New(env.Self.Name, root, env.Settings.Security.Operators(), env.Log,
				k.Find("dialer").(dialerService), k.Find("member").(*member.View), timing, env.Logger), nil
		}}
	})
}
