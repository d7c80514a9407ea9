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

// lister reads the platform's list. It keeps the last list and its ETag, so that the platform
// sends a list only if it has changed.
type lister struct {
	addr netip.AddrPort
	http *client.Client

	mu   sync.Mutex
	etag string
	last types.PlatformList
}

// List implements member.Lister.
func (l *lister) List(ctx context.Context) (types.PlatformList, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	req, err := client.NewRequest(ctx, http.MethodGet, "http://"+l.addr.String()+"/v1/list", nil)
	if err != nil {
		return types.PlatformList{}, err
	}
	if l.etag != "" {
		req.Header.Set("If-None-Match", l.etag)
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
	l.last, l.etag = list, resp.Header.Get("ETag")
	return list, nil
}

func init() {
	register("member", func(env *Env) kernel.ServiceSpec {
		return kernel.ServiceSpec{DependsOn: []string{"dialer"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
			settings := env.Settings.Member
			timing := member.Timing{
				HeartbeatInterval: time.Duration(settings.HeartbeatInterval), SuspectTimeout: time.Duration(settings.SuspectTimeout), ListInterval: time.Duration(settings.ListInterval), Fanout: settings.Fanout,
			}
			list := &lister{addr: env.Settings.Platform.List, http: client.New("list", nil)}
			return member.New(env.Self, env.Incarnation, list, k.Find("dialer").(dialerService), timing, env.Logger), nil
		}}
	})
}
