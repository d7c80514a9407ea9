package types

import (
	"encoding/json"
	"time"
)

// Entry is one entry of a slot's stream: either a claim or the records written under one.
type Entry struct {
	// Epoch is the offset of the claim under which the entry was written; 0 in a claim.
	Epoch int64 `json:"epoch,omitempty"`
	// Seq numbers the entries of an epoch from 1 without gaps. A duplicate has the same Seq.
	Seq     int64    `json:"seq,omitempty"`
	Claim   *Claim   `json:"claim,omitempty"`
	Records []Record `json:"records,omitempty"`
}

// Claim makes a box the owner of a slot from the claim's offset on.
type Claim struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Attempt distinguishes successive claims by the same box.
	Attempt string `json:"attempt"`
}

// Record is a union of the record types: exactly one field is set.
type Record struct {
	Begin      *Begin      `json:"begin,omitempty"`
	Turn       *Turn       `json:"turn,omitempty"`
	Grant      *Grant      `json:"grant,omitempty"`
	Settle     *Settle     `json:"settle,omitempty"`
	End        *End        `json:"end,omitempty"`
	Intent     *Intent     `json:"intent,omitempty"`
	Outcome    *Outcome    `json:"outcome,omitempty"`
	Release    *Release    `json:"release,omitempty"`
	Program    *Program    `json:"program,omitempty"`
	TreeBudget *TreeBudget `json:"purse,omitempty"`
	KeyState   *KeyState   `json:"key_state,omitempty"`
}

// Begin creates a program.
type Begin struct {
	ID        string    `json:"id"`
	Root      string    `json:"root"`
	Parent    string    `json:"parent,omitempty"`
	Workspace string    `json:"workspace"`
	Model     string    `json:"model"`
	DataClass string    `json:"data_class"`
	Kind      string    `json:"kind,omitempty"`
	Depth     int       `json:"depth,omitempty"`
	Limits    Limits    `json:"limits"`
	Deadline  time.Time `json:"deadline"`
	Created   time.Time `json:"created"`
	// Budget and Grant are in tokens and set only for root programs. Grant is the part of the
	// budget that is granted from the start.
	Budget int64 `json:"budget,omitempty"`
	Grant  int64 `json:"grant,omitempty"`
}

// Turn records one answered turn.
type Turn struct {
	Program string `json:"program"`
	Number  int    `json:"number"`
	// Digest covers the program, workspace, number and content, and the previous turn's digest.
	Digest []byte `json:"digest"`
	// RequestDigest is the digest of the caller's request. It distinguishes a repeated request from a
	// conflicting one.
	RequestDigest []byte `json:"ask"`
	// Sealed holds the turn's TurnContent, encrypted with the workspace's key.
	Sealed []byte `json:"sealed"`
	// TreeSpent is what the whole program tree had spent when the turn was answered, in tokens.
	TreeSpent int64     `json:"spent"`
	At        time.Time `json:"at"`
	// Replaces is true if the turn replaces the last one, from which no caller continued: two owners
	// answered the same turn, and the caller continued from this answer.
	Replaces bool `json:"instead,omitempty"`
}

// Grant raises the total that owners may spend on a program tree, in tokens.
type Grant struct {
	Root  string `json:"root"`
	Total int64  `json:"total"`
}

// Settle lowers the granted total of a program tree to the amount spent, at a planned release of
// the slot.
type Settle struct {
	Root  string `json:"root"`
	Spent int64  `json:"spent"`
}

// End records the end of a program.
type End struct {
	Program string    `json:"program"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// Intent records that a call that must not be repeated is about to be dispatched.
type Intent struct {
	Key           string    `json:"key"`
	Attempt       string    `json:"attempt"`
	Workspace     string    `json:"workspace"`
	Service       string    `json:"service"`
	Program       string    `json:"program,omitempty"`
	RequestDigest []byte    `json:"ask"`
	At            time.Time `json:"at"`
}

// Outcome records how the call of an intent ended.
type Outcome struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	// NotRun frees the idempotency key, since the call was never handed to a target.
	NotRun  bool      `json:"not_run,omitempty"`
	Unknown bool      `json:"unknown,omitempty"`
	Status  int       `json:"status,omitempty"`
	Sealed  []byte    `json:"sealed,omitempty"`
	At      time.Time `json:"at"`
}

// Release ends a box's ownership of a slot.
type Release struct {
	Box string `json:"box"`
}

// Program is the state of a program, computed from its records. A snapshot record of it omits
// the turns, which follow as separate records.
type Program struct {
	Begin Begin `json:"begin"`
	// Turns are in order from 1 without gaps.
	Turns    []Turn    `json:"turns,omitempty"`
	Ended    string    `json:"ended,omitempty"`
	Children int       `json:"children,omitempty"`
	LastAt   time.Time `json:"last_at"`
}

// TreeBudget is the budget of a program tree, in tokens.
type TreeBudget struct {
	Root   string `json:"root"`
	Budget int64  `json:"budget"`
	// Granted never exceeds Budget, and Spent never exceeds Granted.
	Granted int64 `json:"granted"`
	Spent   int64 `json:"spent"`
}

// KeyState is the state of an idempotency key, computed from its records.
type KeyState struct {
	Intent  Intent   `json:"intent"`
	Epoch   int64    `json:"epoch"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Continuation is the plaintext of a continuation token.
type Continuation struct {
	Program     string `json:"program"`
	Workspace   string `json:"workspace"`
	Turn        int    `json:"turn"`
	Epoch       int64  `json:"epoch"`
	Incarnation string `json:"incarnation"`
	Digest      []byte `json:"digest,omitempty"`
	// Begins holds the creation records of the program and its ancestors, root first, until the
	// log has confirmed them.
	Begins []Begin `json:"begins,omitempty"`
	// Tail holds the turns that the log has not confirmed, in order.
	Tail []Turn `json:"tail,omitempty"`
}

// TurnContent is the plaintext of a turn's Sealed field.
type TurnContent struct {
	Request []Message `json:"ask"`
	Answer  Message   `json:"answer"`
	Usage   Usage     `json:"usage"`
	Finish  string    `json:"finish"`
	ID      string    `json:"id"`
}

// ServiceResult is the plaintext of an outcome's Sealed field.
type ServiceResult struct {
	Output json.RawMessage `json:"output"`
}
