// Package replay runs load patterns against a fleet's scheduling decisions: programs with turns,
// pauses, tools and sub-agents, on emulated engines and a fake clock. It holds only tests.
package replay
