// Package types holds plain data that the programs exchange: callers' messages,
// log records, configuration and platform lists. It holds no logic.
package types
