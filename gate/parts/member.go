package parts

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/types"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
)

// lister reads the platform's list. A list that has not changed is not sent again.
type lister struct {
	addr netip.AddrPort
	http *client.Client

	mu   sync.Mutex
	tag  string
	last types.PlatformList
}

// List implements member.Lister.
func (l *lister) List(ctx context.Context) (types.PlatformList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	req, err := client.Request(ctx, http.MethodGet, "http://"+l.addr.String()+"/v1/list", nil)
	if err != nil {
		return types.PlatformList{}, err
	}
	if l.tag != "" {
		req.Header.Set("If-None-Match", l.tag)
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return types.PlatformList{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return l.last, nil
	}
	var list types.PlatformList
	if err := client.Decode(resp, &list); err != nil {
		return list, err
	}
	l.last, l.tag = list, resp.Header.Get("ETag")
	return list, nil
}

func init() {
	register("member", func(env *Env) kernel.Part {
		return kernel.Part{Needs: []string{"dialer"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			set := env.Settings.Member
			timing := member.Timing{
				Beat: time.Duration(set.Beat), Suspect: time.Duration(set.Suspect), List: time.Duration(set.List), Fanout: set.Fanout,
			}
			list := &lister{addr: env.Settings.Platform.List, http: client.New("list", nil)}
			return member.New(env.Self, env.Incarnation, list, k.Find("dialer").(dialer), timing, env.Logger), nil
		}}
	})
}
