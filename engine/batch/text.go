package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

// Limits and units of answer and prompt lengths.
const (
	DefaultTokens = 16   // length of an answer without max_tokens
	MaxTokens     = 4096 // maximum length of an answer
	bytesPerToken = 4    // of a prompt
)

// Token returns the text of token number n of the answer to a prompt.
func Token(prompt string, n int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", n, prompt))
	return fmt.Sprintf("%06x ", binary.BigEndian.Uint32(sum[:4])>>8)
}

// Text returns the answer to a prompt with the given number of tokens.
func Text(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(prompt, n))
	}
	return text.String()
}

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// Length returns the number of tokens of the answer to a prompt. The answer to a
// prompt that starts with "tokens=N " has at most N tokens.
func Length(prompt string, maxTokens int) int {
	if maxTokens <= 0 {
		maxTokens = DefaultTokens
	}
	length := min(maxTokens, MaxTokens)
	var natural int
	if _, err := fmt.Sscanf(prompt, "tokens=%d ", &natural); err == nil && natural > 0 {
		length = min(length, natural)
	}
	return length
}
