// Package dial keeps HTTP/1.1 connections to one address and sends each request at most
// once. It tells apart a request of which no byte was written and one that may have run,
// and matches answers to their requests.
package dial
