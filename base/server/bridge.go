package server

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/zeromicro/go-zero/core/logx"
)

// logBridge routes go-zero's own log lines into slog, at debug level: they hold paths
// and timings, and a box logs its own view of a request.
type logBridge struct{}

func (logBridge) line(v any) {
	slog.Log(context.Background(), slog.LevelDebug, "http: library message", "text", fmt.Sprint(v))
}

func (b logBridge) Alert(v any)                     { b.line(v) }
func (b logBridge) Close() error                    { return nil }
func (b logBridge) Debug(v any, _ ...logx.LogField) { b.line(v) }
func (b logBridge) Error(v any, _ ...logx.LogField) { b.line(v) }
func (b logBridge) Info(v any, _ ...logx.LogField)  { b.line(v) }
func (b logBridge) Severe(v any)                    { b.line(v) }
func (b logBridge) Slow(v any, _ ...logx.LogField)  { b.line(v) }
func (b logBridge) Stack(v any)                     { b.line(v) }
func (b logBridge) Stat(v any, _ ...logx.LogField)  { b.line(v) }
