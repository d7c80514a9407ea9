// Package tool simulates a tool or plain service. It counts the effects of calls by key.
package tool
