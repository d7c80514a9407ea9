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
	maxResumes    = 5
	resumeDelay   = 30 * time.Millisecond
	cancelTimeout = time.Second
	orderTimeout  = 5 * time.Second
)

// Run runs a call on an engine and emits each event once and in order, except the last one,
// which it returns. It resumes a broken stream after the last event received. The error has
// NotRun set only if the engine cannot have started the call.
func (s *Engines) Run(ctx context.Context, target types.Target, call types.EngineCall, emit func(types.EngineEvent)) (types.EngineEvent, error) {
	s.addCalls(target.Name, 1)
	defer s.addCalls(target.Name, -1)
	reader := &streamReader{attempt: call.Attempt, emit: emit, counts: s.counts}
	req, err := client.NewRequest(ctx, http.MethodPost, url(target, "/v1/chat/completions"), call)
	if err != nil {
		return types.EngineEvent{}, err
	}
	end, err := reader.readResponse(s, req)
	if err == nil || fault.From(err).NotRun {
		return end, err
	}
	for range maxResumes {
		if ctx.Err() != nil {
			break
		}
		end, resumeErr := s.resume(ctx, target, reader)
		if resumeErr == nil {
			s.counts.Count("engine.resumed", 1)
			return end, nil
		}
		if fault.Is(resumeErr, fault.NoProgram) {
			break
		}
	}
	return types.EngineEvent{}, fault.Fail(fault.TargetFailed, "the stream broke and could not be resumed").WithCause(err)
}

func (s *Engines) resume(ctx context.Context, target types.Target, reader *streamReader) (types.EngineEvent, error) {
	select {
	case <-time.After(resumeDelay):
	case <-ctx.Done():
	}
	path := "/v1/streams/" + reader.attempt + "?after=" + strconv.Itoa(reader.lastSeq)
	req, err := client.NewRequest(ctx, http.MethodGet, url(target, path), nil)
	if err != nil {
		return types.EngineEvent{}, err
	}
	return reader.readResponse(s, req)
}

// streamReader reads the events of one attempt in order.
type streamReader struct {
	attempt string
	// lastSeq is the sequence number of the last accepted event.
	lastSeq int
	emit    func(types.EngineEvent)
	counts  Counts
}

func (r *streamReader) readResponse(s *Engines, req *http.Request) (types.EngineEvent, error) {
	resp, err := s.http.Do(req)
	if err != nil {
		return types.EngineEvent{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return types.EngineEvent{}, client.Decode(resp, nil)
	}
	return r.read(client.NewEventReader(resp.Body))
}

func (r *streamReader) read(events *client.EventReader) (types.EngineEvent, error) {
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
		done, err := r.accept(ev)
		if done || err != nil {
			return ev, err
		}
	}
}

// accept emits the event unless it is the last one, and reports whether it is. It drops repeated
// events and those of other attempts, and returns an error if an event is missing.
func (r *streamReader) accept(ev types.EngineEvent) (bool, error) {
	if ev.Attempt != r.attempt || ev.Seq <= r.lastSeq {
		r.counts.Count("engine.crossed_events", 1)
		return false, nil
	}
	if ev.Seq != r.lastSeq+1 {
		return false, fault.Fail(fault.Protocol, "an event is missing from the stream")
	}
	r.lastSeq = ev.Seq
	if !ev.End {
		r.emit(ev)
	}
	return ev.End, nil
}

// Cancel cancels an attempt whose stream is no longer read.
func (s *Engines) Cancel(target types.Target, attempt string) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	err := s.http.Call(ctx, http.MethodPost, url(target, "/v1/streams/"+attempt+"/cancel"), struct{}{}, nil)
	if err != nil {
		s.logger.Debug("engine: cancel failed", "target", target.Name, "error", err)
	}
}

// SendCacheOrder sends a cache order to an engine.
func (s *Engines) SendCacheOrder(ctx context.Context, target types.Target, order types.CacheOrder) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	return s.http.Call(ctx, http.MethodPost, url(target, "/v1/cache"), order, nil)
}

// SendModelOrder sends a model order to an engine.
func (s *Engines) SendModelOrder(ctx context.Context, target types.Target, order types.EngineOrder) error {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	return s.http.Call(ctx, http.MethodPost, url(target, "/v1/orders"), order, nil)
}

// Models returns the versions of the models that an engine serves, by model name.
func (s *Engines) Models(ctx context.Context, target types.Target) (map[string]string, error) {
	ctx, stop := context.WithTimeout(ctx, orderTimeout)
	defer stop()
	var out map[string]string
	err := s.http.Call(ctx, http.MethodGet, url(target, "/v1/models"), nil, &out)
	return out, err
}

func url(target types.Target, path string) string {
	return "http://" + target.Addr.String() + path
}
