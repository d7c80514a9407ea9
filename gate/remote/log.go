package remote

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"mulleingate.dev/base/fault"
	"mulleingate.dev/gate/work"
)

// The calls of the log that one box makes for another.
const (
	opAppend  = "append"
	opNewest  = "newest"
	opRead    = "read"
	opJoin    = "join"
	opLeave   = "leave"
	opMembers = "members"
)

// logAsk is a call to the log.
type logAsk struct {
	Op      string        `json:"op"`
	Shard   work.Shard    `json:"shard"`
	Writer  work.Writer   `json:"writer"`
	Records []work.Record `json:"records,omitempty"`
	From    int64         `json:"from,omitempty"`
	After   string        `json:"after,omitempty"`
	WaitMS  int64         `json:"wait_ms,omitempty"`
	LimitMS int64         `json:"limit_ms"`
	Member  string        `json:"member,omitempty"`
	// Generation is that of a join; TTLMS how long it holds.
	Generation int64 `json:"generation,omitempty"`
	TTLMS      int64 `json:"ttl_ms,omitempty"`
}

// logAnswer is its result.
type logAnswer struct {
	Page  work.Page  `json:"page"`
	Batch work.Batch `json:"batch"`
	// Generation and Members are those of the fleet.
	Generation int64          `json:"generation,omitempty"`
	Members    []string       `json:"members,omitempty"`
	Problem    *fault.Problem `json:"problem,omitempty"`
}

// Log is the log by way of another box.
type Log struct {
	client *Client
	box    work.Box
}

// LogVia returns the log by way of the box.
func (c *Client) LogVia(box work.Box) work.Log {
	return Log{client: c, box: box}
}

// Append implements work.Log.
func (v Log) Append(ctx context.Context, shard work.Shard, writer work.Writer, recs []work.Record) error {
	_, err := v.call(ctx, logAsk{Op: opAppend, Shard: shard, Writer: writer, Records: recs})
	return err
}

// Join implements work.Log.
func (v Log) Join(ctx context.Context, member string, generation int64, ttl time.Duration) (int64, error) {
	out, err := v.call(ctx, logAsk{Op: opJoin, Member: member, Generation: generation, TTLMS: ttl.Milliseconds()})
	return out.Generation, err
}

// Leave implements work.Log.
func (v Log) Leave(ctx context.Context, member string) error {
	_, err := v.call(ctx, logAsk{Op: opLeave, Member: member})
	return err
}

// Members implements work.Log.
func (v Log) Members(ctx context.Context) ([]string, error) {
	out, err := v.call(ctx, logAsk{Op: opMembers})
	return out.Members, err
}

// Newest implements work.Log.
func (v Log) Newest(ctx context.Context, shard work.Shard, after string) (work.Batch, error) {
	out, err := v.call(ctx, logAsk{Op: opNewest, Shard: shard, After: after})
	return out.Batch, err
}

// Read implements work.Log.
func (v Log) Read(ctx context.Context, shard work.Shard, from int64, wait time.Duration) (work.Page, error) {
	out, err := v.call(ctx, logAsk{Op: opRead, Shard: shard, From: from, WaitMS: wait.Milliseconds()})
	return out.Page, err
}

func (v Log) call(ctx context.Context, msg logAsk) (logAnswer, error) {
	if end, ok := ctx.Deadline(); ok {
		msg.LimitMS = time.Until(end).Milliseconds()
	}
	var out logAnswer
	if err := v.client.exchange(ctx, v.box, logPath, msg, &out); err != nil {
		return logAnswer{}, err
	}
	if out.Problem != nil {
		return logAnswer{}, out.Problem.Fault()
	}
	return out, nil
}

// log makes a call to the log for another box.
func (s *Server) log(w http.ResponseWriter, r *http.Request) {
	var msg logAsk
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(&msg); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, stop := context.WithTimeout(r.Context(), time.Duration(msg.LimitMS)*time.Millisecond)
	defer stop()
	var out logAnswer
	var err error
	switch msg.Op {
	case opAppend:
		err = s.direct.Append(ctx, msg.Shard, msg.Writer, msg.Records)
	case opNewest:
		out.Batch, err = s.direct.Newest(ctx, msg.Shard, msg.After)
	case opRead:
		out.Page, err = s.direct.Read(ctx, msg.Shard, msg.From, time.Duration(msg.WaitMS)*time.Millisecond)
	case opJoin:
		out.Generation, err = s.direct.Join(ctx, msg.Member, msg.Generation, time.Duration(msg.TTLMS)*time.Millisecond)
	case opLeave:
		err = s.direct.Leave(ctx, msg.Member)
	case opMembers:
		out.Members, err = s.direct.Members(ctx)
	default:
		err = fault.Refuse(fault.BadRequest, "no such call of the log")
	}
	if err != nil {
		problem := fault.From(err).Problem("")
		out.Problem = &problem
	}
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.logger.Debug("remote: answer of the log not sent", "cause", err)
	}
}
