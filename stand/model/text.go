package model

import (
	"hash/crc32"
	"strconv"
	"strings"

	"mulleingate.dev/base/types"
)

const (
	lengthMark    = "len="
	defaultLength = 16
)

// Count is the stand-in's tokenizer: one token a word, and one a message.
func Count(messages []types.Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + len(strings.Fields(m.Content))
	}
	return n
}

// Answer is the text that any engine gives to the messages: the first word is a digest
// of all of them, so that a test can tell whole and own answers from others.
func Answer(messages []types.Message, maxTokens int) []string {
	digest := Digest(messages)
	n := min(length(messages), maxTokens)
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, digest+"."+strconv.Itoa(i))
	}
	return words
}

// Digest sums up all messages.
func Digest(messages []types.Message) string {
	sum := crc32.NewIEEE()
	for _, m := range messages {
		_, _ = sum.Write([]byte(m.Role + "\x00" + m.Content + "\x00"))
	}
	return strconv.FormatUint(uint64(sum.Sum32()), 16)
}

// length reads the wanted length, in tokens, from the last message.
func length(messages []types.Message) int {
	if len(messages) == 0 {
		return defaultLength
	}
	for word := range strings.FieldsSeq(messages[len(messages)-1].Content) {
		text, ok := strings.CutPrefix(word, lengthMark)
		if n, err := strconv.Atoi(text); ok && err == nil && n > 0 {
			return n
		}
	}
	return defaultLength
}
