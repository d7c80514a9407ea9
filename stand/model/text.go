package model

import (
	"hash/crc32"
	"strconv"
	"strings"

	"mulleingate.dev/base/types"
)

const (
	lengthPrefix  = "len="
	defaultLength = 16
)

// CountTokens returns the number of tokens of the messages: one per word and one per message.
func CountTokens(messages []types.Message) int {
	n := 0
	for _, m := range messages {
		n += 1 + len(strings.Fields(m.Content))
	}
	return n
}

// AnswerWords returns the words that every engine generates for the messages. Each consists of the
// digest of the messages and its index, so that tests can detect wrong and incomplete answers.
func AnswerWords(messages []types.Message, maxTokens int) []string {
	digest := Digest(messages)
	n := min(requestedLength(messages), maxTokens)
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, digest+"."+strconv.Itoa(i))
	}
	return words
}

// Digest returns a checksum of all messages.
func Digest(messages []types.Message) string {
	hash := crc32.NewIEEE()
	for _, m := range messages {
		_, _ = hash.Write([]byte(m.Role + "\x00" + m.Content + "\x00"))
	}
	return strconv.FormatUint(uint64(hash.Sum32()), 16)
}

// requestedLength returns the answer length, in tokens, that the last message requests.
func requestedLength(messages []types.Message) int {
	if len(messages) == 0 {
		return defaultLength
	}
	for word := range strings.FieldsSeq(messages[len(messages)-1].Content) {
		number, ok := strings.CutPrefix(word, lengthPrefix)
		if n, err := strconv.Atoi(number); ok && err == nil && n > 0 {
			return n
		}
	}
	return defaultLength
}
