package fold

import (
	"crypto/sha256"
	"encoding/binary"

	"mulleingate.dev/base/types"
)

// LastTurn is the number of the last answered turn, 0 before the first.
func LastTurn(prog *types.Program) int {
	return len(prog.Turns)
}

// LastDigest is the digest of the last answered turn, nil before the first.
func LastDigest(prog *types.Program) []byte {
	if len(prog.Turns) == 0 {
		return nil
	}
	return prog.Turns[len(prog.Turns)-1].Digest
}

// TurnDigest chains a turn to the one before it: it covers program, workspace, number, what
// was asked, the sealed content and the digest before.
func TurnDigest(b types.Begin, t types.Turn, before []byte) []byte {
	sum := sha256.New()
	part := func(data []byte) {
		_ = binary.Write(sum, binary.BigEndian, uint64(len(data)))
		_, _ = sum.Write(data)
	}
	part([]byte(b.ID))
	part([]byte(b.Workspace))
	_ = binary.Write(sum, binary.BigEndian, uint64(t.Number))
	part(t.RequestDigest)
	part(t.Sealed)
	part(before)
	return sum.Sum(nil)
}
