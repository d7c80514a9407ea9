package peer

import (
	"context"
	"crypto/tls"
	"net/http"
	"net/netip"
	"sync"

	"github.com/twitchtv/twirp"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/wire"
)

// HopHeader counts how often a request was forwarded; WorkspaceHeader names the workspace that
// the first box has authenticated. Only the listener for boxes honours them.
const (
	HopHeader     = "X-Mulleingate-Hop"
	RequestHeader = "X-Request-Id"
	EntryHeader   = "X-Mulleingate-Entry"
)

// Dialer calls other boxes.
type Dialer struct {
	scheme string
	http   *http.Client
	stream *client.Client

	mu    sync.Mutex
	peers map[netip.AddrPort]wire.Peers
}

// New makes a dialer; tlsConf is nil on loopback without TLS.
func New(tlsConf *tls.Config) *Dialer {
	transport := client.Transport()
	scheme := "http"
	if tlsConf != nil {
		scheme = "https"
		transport.TLSClientConfig = tlsConf
	}
	return &Dialer{
		scheme: scheme, http: &http.Client{Transport: transport},
		stream: client.New("peer", transport), peers: map[netip.AddrPort]wire.Peers{},
	}
}

func (d *Dialer) peer(addr netip.AddrPort) wire.Peers {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.peers[addr]
	if !ok {
		p = wire.NewPeersProtobufClient(d.scheme+"://"+addr.String(), d.http)
		d.peers[addr] = p
	}
	return p
}

// Beat sends a heartbeat.
func (d *Dialer) Beat(ctx context.Context, addr netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	reply, err := d.peer(addr).Beat(ctx, beat)
	if err != nil {
		return nil, fault.Fail(fault.TargetFailed, "heartbeat failed").WithCause(err)
	}
	return reply, nil
}

// Revision fetches a configuration revision newer than have; empty if there is none.
func (d *Dialer) Revision(ctx context.Context, addr netip.AddrPort, have int64) ([]byte, error) {
	reply, err := d.peer(addr).Revision(ctx, &wire.RevisionRequest{Have: have})
	if err != nil {
		return nil, fault.Fail(fault.TargetFailed, "revision fetch failed").WithCause(err)
	}
	return reply.GetRevision(), nil
}

// URL is the address of a path on a box.
func (d *Dialer) URL(addr netip.AddrPort, path string) string {
	return d.scheme + "://" + addr.String() + path
}

// Do sends a forwarded request.
func (d *Dialer) Do(req *http.Request) (*http.Response, error) {
	return d.stream.Do(req)
}

// HeartbeatHandler answers heartbeats.
type HeartbeatHandler interface {
	Beat(ctx context.Context, beat *wire.BeatRequest) (*wire.BeatReply, error)
}

// Revisions hands out the newest configuration.
type Revisions interface {
	Newer(have int64) []byte
}

// Server answers other boxes.
type Server struct {
	views HeartbeatHandler
	revs  Revisions
}

// NewServer makes the twirp handler for the boxes' listener.
func NewServer(views HeartbeatHandler, revs Revisions) http.Handler {
	return wire.NewPeersServer(&Server{views: views, revs: revs})
}

// Prefix is the path under which the handler is mounted.
const Prefix = wire.PeersPathPrefix

// Beat implements wire.Peers.
func (s *Server) Beat(ctx context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	if in.GetBox() == "" {
		return nil, twirp.RequiredArgumentError("box")
	}
	return s.views.Beat(ctx, in)
}

// Revision implements wire.Peers.
func (s *Server) Revision(_ context.Context, in *wire.RevisionRequest) (*wire.RevisionReply, error) {
	return &wire.RevisionReply{Revision: s.revs.Newer(in.GetHave())}, nil
}
