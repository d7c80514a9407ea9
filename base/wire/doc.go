// Package wire holds the generated protocol between boxes (twirp over protobuf).
// To generate it again: protoc --go_out=. --go_opt=paths=source_relative
// --twirp_out=. --twirp_opt=paths=source_relative peers.proto
package wire
