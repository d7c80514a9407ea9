package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mulleingate.dev/base/client"
	"mulleingate.dev/base/fault"
	"mulleingate.dev/base/types"
)

const (
	resumes     = 5
	resumePause = 30 * time.Millisecond
	cancelWait  = time.Second
	orderWait   = 5 * time.Second
)

// Run runs a call on an engine and hands its events on in order, each once. A broken
// stream is resumed by offset. The failure has NotRun set only if the engine cannot have
// begun the call.
func (s *Engines) Run(ctx context.Context, target types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error) {
	s.using(target.Name, 1)
	defer s.using(target.Name, -1)
	f := &follower{attempt: call.Attempt, emit: emit, counts: s.counts}
	req, err := client.Request(ctx, http.MethodPost, url(target, "/v1/chat/completions"), call)
	if err != nil {
		return types.EngineEvent{}, err
	}
	end, err := f.follow(s, req)
	if err == nil || fault.From(err).NotRun {
		return end, err
	}
	for range resumes {
		if ctx.Err() != nil {
			break
		}
		end, again := s.resume(ctx, target, f)
		if again == nil {
			s.counts.Count("engine.resumed", 1)
			return end, nil
		}
		if fault.Is(again, fault.NoProgram) {
			break
		}
	}
	return types.EngineEvent{}, fault.Fail(fault.TargetFailed, "the stream broke and could not be resumed").WithCause(err)
}

func (s *Engines) resume(ctx context.Context, target types.Target, f *follower) (types.EngineEvent, error) {
	select {
	case <-time.After(resumePause):
	case <-ctx.Done():
	}
	path := "/v1/streams/" + f.attempt + "?after=" + strconv.Itoa(f.seq)
	req, err := client.Request(ctx, http.MethodGet, url(target, path), nil)
	if err != nil {
		return types.EngineEvent{}, err
	}
	return f.follow(s, req)
}

// follower takes the events of one attempt in order.
type follower struct {
	attempt string
	// seq is the last event that was handed on.
	seq    int
	emit   func(types.EngineEvent)
	counts Counts
}

func (f *follower) follow(s *Engines, req *http.Request) (types.EngineEvent, error) {
	resp, err := s.http.Do(req)
	if err != nil {
		return types.EngineEvent{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return types.EngineEvent{}, client.Decode(resp, nil)
	}
	return f.read(client.NewEventReader(resp.Body))
}

func (f *follower) read(events *client.EventReader) (types.EngineEvent, error) {
	for {
		data, err := events.Next()
		if errors.Is(err, io.EOF) {
			return types.EngineEvent{}, fault.Fail(fault.Protocol, "the stream closed before its last event")
		}
		if err != nil {
			return types.EngineEvent{}, err
		}
		var ev types.EngineEvent
		if json.Unmarshal(data, &ev) != nil {
			return ev, fault.Fail(fault.Protocol, "an event is not the expected JSON")
		}
		done, err := f.take(ev)
		if done || err != nil {
			return ev, err
		}
	}
}

// take drops events of other attempts and repeats, and refuses gaps.
func (f *follower) take(ev types.EngineEvent) (bool, error) {
	if ev.Attempt != f.attempt || ev.Seq <= f.seq {
		f.counts.Count("engine.crossed_events", 1)
		return false, nil
	}
	if ev.Seq != f.seq+1 {
		return false, fault.Fail(fault.Protocol, "an event is missing from the stream")
	}
	f.seq = ev.Seq
	if !ev.End {
		f.emit(ev)
	}
	return ev.End, nil
}

// Cancel stops a stream that nobody waits for.
func (s *Engines) Cancel(target types.Target, attempt string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelWait)
	defer stop()
	err := s.http.Call(ctx, http.MethodPost, url(target, "/v1/streams/"+attempt+"/cancel"), struct{}{}, nil)
	if err != nil {
		s.logger.Debug("engine: cancel failed", "target", target.Name, "error", err)
	}
}

// SendCacheOrder gives a cache order.
func (s *Engines) SendCacheOrder(ctx context.Context, target types.Target, order types.CacheOrder) error {
	ctx, stop := context.WithTimeout(ctx, orderWait)
	defer stop()
	return s.http.Call(ctx, http.MethodPost, url(target, "/v1/cache"), order, nil)
}

// SendModelOrder gives a model order.
func (s *Engines) SendModelOrder(ctx context.Context, target types.Target, order types.EngineOrder) error {
	ctx, stop := context.WithTimeout(ctx, orderWait)
	defer stop()
	return s.http.Call(ctx, http.MethodPost, url(target, "/v1/orders"), order, nil)
}

// Models reads back what an engine serves, with versions.
func (s *Engines) Models(ctx context.Context, target types.Target) (map[string]string, error) {
	ctx, stop := context.WithTimeout(ctx, orderWait)
	defer stop()
	var out map[string]string
	err := s.http.Call(ctx, http.MethodGet, url(target, "/v1/models"), nil, &out)
	return out, err
}

func url(target types.Target, path string) string {
	return "http://" + target.Addr.String() + path
}
