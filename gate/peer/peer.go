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

// HopHeader counts how often a request was forwarded, and RequestHeader holds its identifier. Both are only
// read from requests that arrive on the listener for boxes. EntryHeader is unused.
const (
	HopHeader     = "X-Mulleingate-Hop"
	RequestHeader = "X-Request-Id"
	EntryHeader   = "X-Mulleingate-Entry"
)

// Dialer sends requests to other boxes. It is safe for concurrent use.
type Dialer struct {
	scheme    string
	http      *http.Client
	forwarder *client.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]wire.Peers
}

// New returns a dialer. Without TLS, which is only meant for loopback addresses, tlsConf is nil.
func New(tlsConf *tls.Config) *Dialer {
	transport := client.Transport()
	scheme := "http"
	if tlsConf != nil {
		scheme = "https"
		transport.TLSClientConfig = tlsConf
	}
	framed := client.RequireFraming(transport)
	return &Dialer{
		scheme: scheme, http: &http.Client{Transport: framed},
		forwarder: client.New("peer", framed), clients: map[netip.AddrPort]wire.Peers{},
	}
}

func (d *Dialer) peerClient(addr netip.AddrPort) wire.Peers {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.clients[addr]
	if !ok {
		p = wire.NewPeersProtobufClient(d.scheme+"://"+addr.String(), d.http)
		d.clients[addr] = p
	}
	return p
}

// Beat sends a heartbeat.
func (d *Dialer) Beat(ctx context.Context, addr netip.AddrPort, beat *wire.BeatRequest) (*wire.BeatReply, error) {
	reply, err := d.peerClient(addr).Beat(ctx, beat)
	if err != nil {
		return nil, fault.Fail(fault.TargetFailed, "heartbeat failed").WithCause(err)
	}
	return reply, nil
}

// Revision fetches a configuration revision newer than have; empty if there is none.
func (d *Dialer) Revision(ctx context.Context, addr netip.AddrPort, have int64) ([]byte, error) {
	reply, err := d.peerClient(addr).Revision(ctx, &wire.RevisionRequest{Have: have})
	if err != nil {
		return nil, fault.Fail(fault.TargetFailed, "revision fetch failed").WithCause(err)
	}
	return reply.GetRevision(), nil
}

// URL returns the URL of a path on the box.
func (d *Dialer) URL(addr netip.AddrPort, path string) string {
	return d.scheme + "://" + addr.String() + path
}

// Do sends a forwarded request.
func (d *Dialer) Do(req *http.Request) (*http.Response, error) {
	return d.forwarder.Do(req)
}

// HeartbeatHandler handles heartbeats from other boxes.
type HeartbeatHandler interface {
	Beat(ctx context.Context, beat *wire.BeatRequest) (*wire.BeatReply, error)
}

// Revisions provides the newest configuration revision.
type Revisions interface {
	// NewerRevision returns the encoded revision if it is newer than have, and nil otherwise.
	NewerRevision(have int64) []byte
}

// Server implements wire.Peers.
type Server struct {
	heartbeats HeartbeatHandler
	revisions  Revisions
}

// NewServer returns the twirp handler for the listener for boxes.
func NewServer(heartbeats HeartbeatHandler, revisions Revisions) http.Handler {
	return wire.NewPeersServer(&Server{heartbeats: heartbeats, revisions: revisions})
}

// Prefix is the path prefix of the handler.
const Prefix = wire.PeersPathPrefix

// Beat implements wire.Peers.
func (s *Server) Beat(ctx context.Context, in *wire.BeatRequest) (*wire.BeatReply, error) {
	if in.GetBox() == "" {
		return nil, twirp.RequiredArgumentError("box")
	}
	return s.heartbeats.Beat(ctx, in)
}

// Revision implements wire.Peers.
func (s *Server) Revision(_ context.Context, in *wire.RevisionRequest) (*wire.RevisionReply, error) {
	return &wire.RevisionReply{Revision: s.revisions.NewerRevision(in.GetHave())}, nil
}
