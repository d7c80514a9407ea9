package parts

import (
	"context"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/peer"
)

// dialer is the client side of boxes as a service.
type dialer struct{ *peer.Dialer }

func (dialer) Start(context.Context) error { return nil }
func (dialer) Stop(context.Context) error  { return nil }

func init() {
	register("dialer", func(env *Env) kernel.Part {
		return kernel.Part{Make: func(*kernel.Kernel) (kernel.Service, error) {
			tlsConf, err := peerClientTLS(env.Settings.Security.Peers)
			if err != nil {
				return nil, err
			}
			return dialer{peer.New(tlsConf)}, nil
		}}
	})
}
