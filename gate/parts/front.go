package parts

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/zeromicro/go-zero/rest"

	"mulleingate.dev/base/server"
	"mulleingate.dev/gate/admin"
	"mulleingate.dev/gate/admit"
	"mulleingate.dev/gate/front"
	"mulleingate.dev/gate/kernel"
	"mulleingate.dev/gate/member"
	"mulleingate.dev/gate/meter"
	"mulleingate.dev/gate/peer"
	"mulleingate.dev/gate/plain"
	"mulleingate.dev/gate/policy"
	"mulleingate.dev/gate/prog"
	"mulleingate.dev/gate/slots"
	"mulleingate.dev/gate/trail"
)

// listener is a kernel.Service that serves a handler on one address.
type listener struct {
	addr    netip.AddrPort
	tlsConf *tls.Config
	handler http.Handler
	server  *server.Server
}

func (l *listener) Start(context.Context) error {
	srv, err := server.Listen(l.addr, l.handler, l.tlsConf)
	l.server = srv
	return err
}

func (l *listener) Stop(ctx context.Context) error {
	return l.server.Stop(ctx)
}

// newListener returns a listener for the routes. It binds the address when it is started.
func newListener(addr netip.AddrPort, routes []rest.Route, tlsConf *tls.Config) (*listener, error) {
	handler, err := server.Handler(routes)
	if err != nil {
		return nil, err
	}
	return &listener{addr: addr, handler: handler, tlsConf: tlsConf}, nil
}

func init() {
	register("front", makeFront)
	register("callers", makeCallers)
	register("peers", makePeers)
	register("admin", makeAdmin)
}

func makeFront(env *Env) kernel.ServiceSpec {
	needs := []string{"prog", "plain", "slots", "dialer", "policy", "meter"}
	return kernel.ServiceSpec{DependsOn: needs, Make: func(k *kernel.Kernel) (kernel.Service, error) {
		settings := env.Settings.Limits
		opts := front.Options{Zone: env.Self.Zone, MaxBodyBytes: settings.MaxBodyBytes, BodyTimeout: time.Duration(settings.BodyTimeout), OwnerTimeout: time.Duration(settings.OwnerTimeout)}
		return front.New(opts, k.Find("prog").(*prog.Prog), k.Find("plain").(*plain.Plain), k.Find("slots").(*slots.Slots),
			k.Find("dialer").(dialerService), k.Find("policy").(*policy.Store), k.Find("meter").(*meter.Meter), env.Logger), nil
	}}
}

func makeCallers(env *Env) kernel.ServiceSpec {
	return kernel.ServiceSpec{DependsOn: []string{"front", "peers"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
		tlsConf, err := callerTLS(env.Settings.Security.Callers)
		if err != nil {
			return nil, err
		}
		return newListener(env.Settings.Listen.Callers, k.Find("front").(*front.Front).Routes(), tlsConf)
	}}
}

func makePeers(env *Env) kernel.ServiceSpec {
	return kernel.ServiceSpec{DependsOn: []string{"front", "member", "policy"}, Make: func(k *kernel.Kernel) (kernel.Service, error) {
		tlsConf, err := peerServerTLS(env.Settings.Security.Peers)
		if err != nil {
			return nil, err
		}
		ln, err := newListener(env.Settings.Listen.Peers, k.Find("front").(*front.Front).PeerRoutes(), tlsConf)
		if err != nil {
			return nil, err
		}
		rpc := peer.NewServer(k.Find("member").(*member.View), k.Find("policy").(*policy.Store))
		forwarded := ln.handler
		ln.handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasPrefix(r.URL.Path, peer.Prefix) {
				rpc.ServeHTTP(w, r)
				return
			}
			forwarded.ServeHTTP(w, r)
		})
		return ln, nil
	}}
}

func makeAdmin(env *Env) kernel.ServiceSpec {
	needs := []string{"meter", "trail", "slots", "member", "policy", "admit"}
	return kernel.ServiceSpec{DependsOn: needs, Make: func(k *kernel.Kernel) (kernel.Service, error) {
		adm := admin.New(env.Self, Version, k.Find("meter").(*meter.Meter), k.Find("trail").(*trail.Trail),
			k.Find("slots").(*slots.Slots), k.Find("member").(*member.View), k.Find("policy").(*policy.Store), k.Find("admit").(*admit.Scheduler))
		return newListener(env.Settings.Listen.Admin, adm.Routes(), nil)
	}}
}
