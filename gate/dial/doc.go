// Package dial keeps HTTP/1.1 connections to one address and sends each request at most once. Its faults
// distinguish requests that cannot have run from those that may have, and it matches responses to their
// requests.
package dial
