// Package tool is a stand-in of a tool or plain service. It counts every effect by key.
package tool
