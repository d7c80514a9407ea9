package fold

import (
	"crypto/sha256"
	"encoding/binary"

	"mulleingate.dev/base/types"
)

// LastTurn returns the number of the program's last answered turn, or 0 if it has none.
func LastTurn(prog *types.Program) int {
	return len(prog.Turns)
}

// LastDigest returns the digest of the program's last answered turn, or nil if it has none.
func LastDigest(prog *types.Program) []byte {
	if len(prog.Turns) == 0 {
		return nil
	}
	return prog.Turns[len(prog.Turns)-1].Digest
}

// TurnDigest returns the hash that chains a turn to the previous one. It covers the program,
// the workspace, the turn's number, request digest and sealed content, and the previous digest.
func TurnDigest(b types.Begin, t types.Turn, previous []byte) []byte {
	hash := sha256.New()
	writeField := func(data []byte) {
		_ = binary.Write(hash, binary.BigEndian, uint64(len(data)))
		_, _ = hash.Write(data)
	}
	writeField([]byte(b.ID))
	writeField([]byte(b.Workspace))
	_ = binary.Write(hash, binary.BigEndian, uint64(t.Number))
	writeField(t.RequestDigest)
	writeField(t.Sealed)
	writeField(previous)
	return hash.Sum(nil)
}
