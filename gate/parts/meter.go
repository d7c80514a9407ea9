package parts

import (
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/trail"
)

func init() {
	register("meter", func(*Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{Make: func(*kernel.Kernel) (kernel.Service, error) {
			return meter.New(), nil
		}}
	})
	register("trail", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{Make: func(*kernel.Kernel) (kernel.Service, error) {
			return trail.New(env.Settings.Limits.MaxTraceEvents), nil
		}}
	})
}
