package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// The operations of the log that one box may perform on behalf of another.
const (
	opAppend  = "append"
	opNewest  = "newest"
	opRead    = "read"
	opJoin    = "join"
	opLeave   = "leave"
	opMembers = "members"
)

// maxLogTime bounds an operation of the log for another box. No box waits longer for one.
const maxLogTime = 10 * time.Second

// logRequest is a request to perform an operation of the log. Its fields hold the arguments of the operation.
type logRequest struct {
	Op      string        `json:"op"`
	Shard   work.Shard    `json:"shard"`
	Writer  work.Writer   `json:"writer"`
	Records []work.Record `json:"records,omitempty"`
	From    int64         `json:"from,omitempty"`
	After   string        `json:"after,omitempty"`
	WaitMS  int64         `json:"wait_ms,omitempty"`
	// LimitMS is the time until the caller's deadline.
	LimitMS int64  `json:"limit_ms"`
	Member  string `json:"member,omitempty"`
	// Generation and TTLMS are the arguments of a join.
	Generation int64 `json:"generation,omitempty"`
	TTLMS      int64 `json:"ttl_ms,omitempty"`
}

// logResponse is the result of an operation of the log, or its fault.
type logResponse struct {
	Page  work.Page  `json:"page"`
	Batch work.Batch `json:"batch"`
	// Generation is the fleet's generation after a join; Members lists the members of the fleet.
	Generation int64          `json:"generation,omitempty"`
	Members    []string       `json:"members,omitempty"`
	Problem    *fault.Problem `json:"problem,omitempty"`
}

// Log is a work.Log that reaches the log through another box.
type Log struct {
	client *Client
	box    work.Box
}

// LogVia returns the log as reached through the box.
func (c *Client) LogVia(box work.Box) work.Log {
	return Log{client: c, box: box}
}

// Append implements work.Log.
func (l Log) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	_, err := l.call(ctx, logRequest{Op: opAppend, Shard: shard, Writer: writer, Records: recs})
	return err
}

// Join implements work.Log.
func (l Log) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	out, err := l.call(ctx, logRequest{Op: opJoin, Member: member, Generation: generation, TTLMS: ttl.Milliseconds()})
	return out.Generation, err
}

// Leave implements work.Log.
func (l Log) Leave(ctx context.Context, member string) error {
	_, err := l.call(ctx, logRequest{Op: opLeave, Member: member})
	return err
}

// Members implements work.Log.
func (l Log) Members(ctx context.Context) ([]string, error) {
	out, err := l.call(ctx, logRequest{Op: opMembers})
	return out.Members, err
}

// Newest implements work.Log.
func (l Log) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	out, err := l.call(ctx, logRequest{Op: opNewest, Shard: shard, After: after})
	return out.Batch, err
}

// Read implements work.Log.
func (l Log) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	out, err := l.call(ctx, logRequest{Op: opRead, Shard: shard, From: from, WaitMS: wait.Milliseconds()})
	return out.Page, err
}

func (l Log) call(ctx context.Context, msg logRequest) (logResponse, error) {
	if end, ok := ctx.Deadline(); ok {
		msg.LimitMS = time.Until(end).Milliseconds()
	}
	var out logResponse
	if err := l.client.exchangeJSON(ctx, l.box, logPath, msg, &out); err != nil {
		return logResponse{}, err
	}
	if out.Problem != nil {
		return logResponse{}, out.Problem.Fault()
	}
	return out, nil
}

// log performs an operation of the log on behalf of another box.
func (s *Server) log(w http.ResponseWriter, r *http.Request) {
	var msg logRequest
	release, ok := s.decode(w, r, maxBody, &msg)
	if !ok {
		return
	}
	defer release()
	ctx, stop := context.WithTimeout(r.Context(), min(work.Millis(msg.LimitMS), maxLogTime))
	defer stop()
	var out logResponse
	var err error
	switch msg.Op {
	case opAppend:
		err = s.directLog.Append(ctx, msg.Shard, msg.Writer, msg.Records)
	case opNewest:
		out.Batch, err = s.directLog.Newest(ctx, msg.Shard, msg.After)
	case opRead:
		out.Page, err = s.directLog.Read(ctx, msg.Shard, msg.From, work.Millis(msg.WaitMS))
	case opJoin:
		out.Generation, err = s.directLog.Join(ctx, msg.Member, msg.Generation, work.Millis(msg.TTLMS))
	case opLeave:
		err = s.directLog.Leave(ctx, msg.Member)
	case opMembers:
		out.Members, err = s.directLog.Members(ctx)
	default:
		err = fault.Refuse(fault.BadRequest, "unknown operation of the log")
	}
	if err != nil {
		problem := fault.From(err).Problem("")
		out.Problem = &problem
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: cannot send response of the log", "cause", err)
	}
}
