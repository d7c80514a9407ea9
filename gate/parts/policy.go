package parts

import (
	"time"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/policy"
)

func init() {
	register("policy", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"dialer", "member"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			root, err := env.Settings.Security.LoadRootKey()
			if err != nil {
				return nil, err
			}
			platform := env.Settings.Platform
			timing := policy.Timing{PollInterval: time.Duration(platform.ConfigPollInterval), Retention: time.Duration(platform.Retention)}
			return policy.New(env.Self.Name, root, env.Settings.Security.OperatorPublicKeys(), env.Log,
				k.Find("dialer").(dialerService), k.Find("member").(*member.View), timing, env.Logger), nil
		}}
	})
}
