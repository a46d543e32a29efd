package batch

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strings"
)

// Lengths of answers and prompts.
const (
	DefaultTokens = 16   // of an answer whose request sets no max_tokens
	MaxTokens     = 4096 // of any answer
	bytesPerToken = 4    // of a prompt
)

// Token gives the text of token number n of the answer to a prompt.
func Token(prompt string, n int) string {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", n, prompt))
	return fmt.Sprintf("%06x ", binary.BigEndian.Uint32(sum[:4])>>8)
}

// Text gives the whole answer of some tokens to a prompt.
func Text(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(prompt, n))
	}
	return text.String()
}

// PromptTokens gives the length of a prompt in tokens.
func PromptTokens(prompt string) int { return (len(prompt) + bytesPerToken - 1) / bytesPerToken }

// Length gives the tokens of the answer to a prompt: a prompt that begins with
// "tokens=N " ends after N, whatever larger number max_tokens allows.
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
