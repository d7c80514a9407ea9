package server

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/zeromicro/go-zero/core/logx"
)

// logBridge is a logx.Writer that sends go-zero's messages to slog at debug level, since the
// programs log their requests themselves.
type logBridge struct{}

func (logBridge) log(v any) {
	slog.Log(context.Background(), slog.LevelDebug, "http: message from go-zero", "text", fmt.Sprint(v))
}

func (b logBridge) Alert(v any)                     { b.log(v) }
func (b logBridge) Close() error                    { return nil }
func (b logBridge) Debug(v any, _ ...logx.LogField) { b.log(v) }
func (b logBridge) Error(v any, _ ...logx.LogField) { b.log(v) }
func (b logBridge) Info(v any, _ ...logx.LogField)  { b.log(v) }
func (b logBridge) Severe(v any)                    { b.log(v) }
func (b logBridge) Slow(v any, _ ...logx.LogField)  { b.log(v) }
func (b logBridge) Stack(v any)                     { b.log(v) }
func (b logBridge) Stat(v any, _ ...logx.LogField)  { b.log(v) }
