package parts

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
)

// lister reads the platform's list.
type lister struct {
	addr netip.AddrPort
	http *client.Client
}

func (l lister) List(ctx context.Context) (types.List, error) {
	var list types.List
	err := l.http.Call(ctx, http.MethodGet, "http://"+l.addr.String()+"/v1/list", nil, &list)
	return list, err
}

func init() {
	register("member", func(env *Env) kernel.Part {
		return kernel.Part{Needs: []string{"dialer"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			set := env.Settings.Member
			timing := member.Timing{
				Beat: time.Duration(set.Beat), Suspect: time.Duration(set.Suspect), List: time.Duration(set.List), Fanout: set.Fanout,
			}
			list := lister{addr: env.Settings.Platform.List, http: client.New("list", nil)}
			return member.New(env.Self, env.Incarnation, list, k.Find("dialer").(dialer), timing, env.Logger), nil
		}}
	})
}
