// Package replay plays load patterns against the decisions of a fleet, on the test clock:
// programs with turns, pauses, tools and sub-agents, before emulated engines. It holds tests only.
package replay
