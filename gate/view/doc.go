// Package view tracks which boxes of the fleet are live. Every box renews its membership in the log with
// heartbeats; a membership that is not renewed expires. The view routes calls and proposes owners of
// slots. It does not decide which box may write: the log fences off former owners.
package view
