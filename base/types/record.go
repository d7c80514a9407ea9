package types

import (
	"encoding/json"
	"time"
)

// Entry is one appended item of a slot's stream. A claim is an entry of its own;
// every other entry carries records written under a claim.
type Entry struct {
	// Epoch is the offset of the claim under which the entry was written; 0 in a claim.
	Epoch int64 `json:"epoch,omitempty"`
	// Seq grows by one for each entry of an epoch, from 1. A copy of an entry has its Seq.
	Seq     int64    `json:"seq,omitempty"`
	Claim   *Claim   `json:"claim,omitempty"`
	Records []Record `json:"records,omitempty"`
}

// Claim says which box owns a slot from its offset on.
type Claim struct {
	Box         string `json:"box"`
	Incarnation string `json:"incarnation"`
	// Attempt tells one claim of a box from its next.
	Attempt string `json:"attempt"`
}

// Record is a union: exactly one field is set.
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
	// Budget and Grant are in tokens and set for roots only. Grant may be spent at once.
	Budget int64 `json:"budget,omitempty"`
	Grant  int64 `json:"grant,omitempty"`
}

// Turn keeps one answered turn.
type Turn struct {
	Program string `json:"program"`
	Number  int    `json:"number"`
	// Digest covers program, workspace, number, content and the digest before it.
	Digest []byte `json:"digest"`
	// RequestDigest is the digest of what the caller sent, to tell a repeat from a conflict.
	RequestDigest []byte `json:"ask"`
	// Sealed holds the turn's messages, encrypted with the workspace's key.
	Sealed []byte `json:"sealed"`
	// TreeSpent is what the whole purse had spent when the turn was answered, in tokens.
	TreeSpent int64     `json:"spent"`
	At        time.Time `json:"at"`
	// Replaces says that the turn takes the place of the head, which no caller built on:
	// two owners answered the same turn, and the caller goes on from this answer.
	Replaces bool `json:"instead,omitempty"`
}

// Grant raises what an owner may spend, in tokens, as a running total.
type Grant struct {
	Root  string `json:"root"`
	Total int64  `json:"total"`
}

// Settle lowers a purse's granted total to what was really spent, at a planned release.
type Settle struct {
	Root  string `json:"root"`
	Spent int64  `json:"spent"`
}

// End closes a program.
type End struct {
	Program string    `json:"program"`
	Reason  string    `json:"reason"`
	At      time.Time `json:"at"`
}

// Intent says that a call that may not be repeated is about to be dispatched.
type Intent struct {
	Key           string    `json:"key"`
	Attempt       string    `json:"attempt"`
	Workspace     string    `json:"workspace"`
	Service       string    `json:"service"`
	Program       string    `json:"program,omitempty"`
	RequestDigest []byte    `json:"ask"`
	At            time.Time `json:"at"`
}

// Outcome ends an intent.
type Outcome struct {
	Key     string `json:"key"`
	Attempt string `json:"attempt"`
	// NotRun frees the key: nothing was handed to a target.
	NotRun  bool      `json:"not_run,omitempty"`
	Unknown bool      `json:"unknown,omitempty"`
	Status  int       `json:"status,omitempty"`
	Sealed  []byte    `json:"sealed,omitempty"`
	At      time.Time `json:"at"`
}

// Release gives a slot up.
type Release struct {
	Box string `json:"box"`
}

// Program is the folded state of a program. As a snapshot it carries no turns: they
// follow as records of their own.
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
	// Granted never exceeds Budget. Spent never exceeds Granted.
	Granted int64 `json:"granted"`
	Spent   int64 `json:"spent"`
}

// KeyState is the folded state of an idempotency key.
type KeyState struct {
	Intent  Intent   `json:"intent"`
	Epoch   int64    `json:"epoch"`
	Outcome *Outcome `json:"outcome,omitempty"`
}

// Continuation is the content of a sealed continuation token.
type Continuation struct {
	Program     string `json:"program"`
	Workspace   string `json:"workspace"`
	Turn        int    `json:"turn"`
	Epoch       int64  `json:"epoch"`
	Incarnation string `json:"incarnation"`
	Digest      []byte `json:"digest,omitempty"`
	// Begins is set while the log does not hold the program: root first.
	Begins []Begin `json:"begins,omitempty"`
	// Tail holds the turns that the log does not hold yet, in order.
	Tail []Turn `json:"tail,omitempty"`
}

// TurnContent is what a turn's Sealed field encrypts.
type TurnContent struct {
	Request []Message `json:"ask"`
	Answer  Message   `json:"answer"`
	Usage   Usage     `json:"usage"`
	Finish  string    `json:"finish"`
	ID      string    `json:"id"`
}

// ServiceResult is what an outcome's Sealed field encrypts.
type ServiceResult struct {
	Output json.RawMessage `json:"output"`
}
