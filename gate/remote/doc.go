// Package remote sends turns and requests between boxes over HTTP/1.1. A forwarded turn and its response
// are a length-prefixed JSON header followed by the raw body, so that the body can be streamed; all other
// messages are plain JSON or query parameters. Twirp is not used here, since it has no streams.
package remote
