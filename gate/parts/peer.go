package parts

import (
	"context"

	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/peer"
)

// dialerService makes peer.Dialer, the client for requests to other boxes, a kernel.Service.
type dialerService struct{ *peer.Dialer }

func (dialerService) Start(context.Context) error { return nil }
func (dialerService) Stop(context.Context) error  { return nil }

func init() {
	register("dialer", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{Make: func(*kernel.Kernel) (kernel.Service, error) {
			tlsConf, err := peerClientTLS(env.Settings.Security.Peers)
			if err != nil {
				return nil, err
			}
			return dialerService{peer.New(tlsConf)}, nil
		}}
	})
}
