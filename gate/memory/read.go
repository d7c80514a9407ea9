package memory

import (
	"bytes"
	"io"
)

// minPiece and maxPiece bound the pieces in which ReadAll reads, in bytes.
const (
	minPiece = 4 << 10
	maxPiece = 256 << 10
)

// ReadAll reads until in ends, as io.ReadAll does, but takes at most twice as much memory as the result has: a slice that
// grows takes several times as much until the garbage is collected.
func ReadAll(in io.Reader) ([]byte, error) {
	var pieces [][]byte
	piece := make([]byte, 0, minPiece)
	for {
		n, err := in.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		switch {
		case err == io.EOF && len(pieces) == 0:
			return piece, nil
		case err == io.EOF:
			return bytes.Join(append(pieces, piece), nil), nil
		case err != nil:
			return nil, err
		}
		if len(piece) == cap(piece) {
			pieces = append(pieces, piece)
			piece = make([]byte, 0, min(2*cap(piece), maxPiece))
		}
	}
}
