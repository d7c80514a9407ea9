package types

import (
	"encoding/json"
	"time"
)

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Limits bounds a program; a zero field means the configured default.
type Limits struct {
	Turns  int      `json:"turns,omitempty"`
	Depth  int      `json:"depth,omitempty"`
	FanOut int      `json:"fan_out,omitempty"`
	Idle   Duration `json:"idle,omitempty"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "30s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes the string that MarshalJSON writes.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return err
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// NewProgram is the body of a request to create a program or sub-agent.
type NewProgram struct {
	Model     string   `json:"model"`
	DataClass string   `json:"data_class"`
	Kind      string   `json:"kind,omitempty"`
	Budget    int64    `json:"budget"`
	Deadline  Duration `json:"deadline,omitempty"`
	Limits    Limits   `json:"limits,omitzero"`
	// Continuation is the parent's continuation token; only requests for sub-agents set it.
	Continuation string `json:"continuation,omitempty"`
}

// ProgramState is the state of a program as reported to its workspace.
type ProgramState struct {
	ID           string    `json:"id"`
	Parent       string    `json:"parent,omitempty"`
	Model        string    `json:"model"`
	DataClass    string    `json:"data_class"`
	Turn         int       `json:"turn"`
	Running      bool      `json:"running"`
	Ended        string    `json:"ended,omitempty"`
	Budget       int64     `json:"budget"`
	Spent        int64     `json:"spent"`
	Deadline     time.Time `json:"deadline"`
	Continuation string    `json:"continuation,omitempty"`
}

// TurnRequest is the body of one model call in a program.
type TurnRequest struct {
	Turn         int       `json:"turn"`
	Messages     []Message `json:"messages"`
	MaxTokens    int       `json:"max_tokens"`
	Stream       bool      `json:"stream,omitempty"`
	Continuation string    `json:"continuation,omitempty"`
}

// Choice is one answer (Message) or one piece of a streamed answer (Delta).
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// TurnAnswer is a complete answer or one event of a streamed one. Sequence numbers the
// events of a stream from 1; if it returns to 1, the answer restarts from its beginning.
type TurnAnswer struct {
	ID           string   `json:"id"`
	Object       string   `json:"object"`
	Model        string   `json:"model"`
	Program      string   `json:"program"`
	Turn         int      `json:"turn"`
	Sequence     int      `json:"sequence"`
	Choices      []Choice `json:"choices"`
	Usage        *Usage   `json:"usage,omitempty"`
	Continuation string   `json:"continuation,omitempty"`
}

// ServiceCall is the body of a call to a tool or plain service.
type ServiceCall struct {
	Input        json.RawMessage `json:"input"`
	Continuation string          `json:"continuation,omitempty"`
}

// ServiceAnswer is the answer of a tool or plain service.
type ServiceAnswer struct {
	ID     string          `json:"id"`
	Output json.RawMessage `json:"output"`
	// Stored is true if the answer comes from an earlier run with the same idempotency key.
	Stored bool `json:"stored,omitempty"`
}
