package front

import (
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"os"
	"path"
	"strconv"
	"strings"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

const (
	pathCompletions = "/v1/completions"
	pathChat        = "/v1/chat/completions"
	// bytesPerToken is a rough average, used only until the server reports its token counts.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt prefix that is hashed for affinity to a server that may have it cached.
	prefixBytes = 512
	// defaultOutputTokens is the output assumed for a model call without an estimate.
	defaultOutputTokens = 128
	// defaultPlainCost is the cost in milliseconds assumed for a plain call without an estimate.
	defaultPlainCost = 50
	// outputTokenCost is the cost of an output token, in prompt tokens.
	outputTokenCost = 2
)

// modelRequest holds the fields of a model call that the router reads.
type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int64           `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// read reads and validates the whole request.
func (c *call) read() error {
	if err := c.readDeadline(); err != nil {
		return err
	}
	c.key = strings.Join(c.request.Header.Values(headerKey), ",") // several keys joined are never a valid key
	if p := c.request.URL.Path; p == pathCompletions || p == pathChat {
		if err := c.readBody(); err != nil {
			return err
		}
		return c.readModel()
	}
	if err := c.readPlain(); err != nil {
		return err
	}
	return c.readBody()
}

func (c *call) readDeadline() error {
	s := &c.front.Settings
	timeout := s.Timeout
	if text := c.request.Header.Get(headerTimeout); text != "" {
		millis, err := strconv.ParseInt(text, 10, 64)
		if err != nil || millis <= 0 {
			return c.newRefusal(fleet.ReasonBadRequest, headerTimeout+" must be a positive number of milliseconds")
		}
		timeout = min(time.Duration(min(millis, s.TimeoutLimit.Milliseconds()))*time.Millisecond, s.TimeoutLimit)
	}
	c.deadline = c.arrived + timeout
	return nil
}

// readBody reads the body within the size and time limits.
func (c *call) readBody() error {
	s := &c.front.Settings
	size := c.request.ContentLength
	if size > s.BodyBytes {
		c.writer.Header().Set("Connection", "close")
		return c.newRefusal(fleet.ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(s.BodyBytes, 10)+" bytes")
	}
	if size == 0 {
		return nil
	}
	if size < 0 {
		size = s.BodyBytes
	}
	if reason := c.front.open.reserveBytes(size, s.BufferedBodyBytes); reason != fleet.ReasonNone {
		e := c.newRefusal(reason, "this router holds too many bytes of requests")
		e.Shared = true
		return e
	}
	c.reservedBytes = size
	_ = c.control.SetReadDeadline(time.Now().Add(s.ReadTimeout)) // unsupported only by test recorders
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, s.BodyBytes))
	if err != nil {
		return c.bodyError(err)
	}
	_ = c.control.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// bodyError returns the refusal of a request whose body could not be read in full.
func (c *call) bodyError(err error) error {
	c.writer.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return c.newRefusal(fleet.ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(large.Limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.newRefusal(fleet.ReasonSlowCaller, "the body did not come in time")
	}
	return c.newRefusal(fleet.ReasonCallerGone, "the body was cut short")
}

func (c *call) readModel() error {
	if c.request.Method != http.MethodPost {
		return c.newRefusal(fleet.ReasonBadRequest, "model calls are made by POST")
	}
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return c.newRefusal(fleet.ReasonBadRequest, "the body is not a JSON object of a model call: "+err.Error())
	}
	product := c.rules.Products[m.Model]
	if product == nil || product.Kind != rule.KindModel {
		return c.newRefusal(fleet.ReasonUnknownProduct, "there is no model of this name")
	}
	c.product, c.stream, c.target = product, m.Stream, c.request.URL.Path
	prompt := m.Prompt
	if len(prompt) == 0 {
		prompt = m.Messages
	}
	c.promptTokens = int64(len(prompt))/bytesPerToken + 1
	if len(prompt) > 0 {
		h := fnv.New64a()
		h.Write(prompt[:min(len(prompt), prefixBytes)])
		c.prefixHash = h.Sum64()
	}
	return nil
}

func (c *call) readPlain() error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(c.request.URL.EscapedPath(), "/"), "/")
	product := c.rules.Products[name]
	if product == nil || product.Kind != rule.KindPlain {
		return c.newRefusal(fleet.ReasonUnknownProduct, "there is no plain service of this name")
	}
	c.target = "/" + rest
	if c.request.URL.RawQuery != "" {
		c.target += "?" + c.request.URL.RawQuery
	}
	c.nonIdempotent = isNonIdempotent(product, c.request.Method, strings.TrimPrefix(c.request.URL.Path, "/"+name))
	// From here on, newRefusal considers the key only if the call is non-idempotent.
	c.product = product
	return nil
}

// isNonIdempotent reports whether a call must not be repeated. A path that a server might normalize to a listed path counts as listed.
func isNonIdempotent(product *rule.Product, method, requestPath string) bool {
	forms := []string{requestPath, path.Clean("/" + requestPath)}
	for _, o := range product.NonIdempotent {
		for _, form := range forms {
			if strings.EqualFold(o.Method, method) && hasPrefixFold(form, o.Path) {
				return true
			}
		}
	}
	return false
}

func hasPrefixFold(text, prefix string) bool {
	return len(text) >= len(prefix) && strings.EqualFold(text[:len(prefix)], prefix)
}

// defaultCost returns the cost assumed for a request without an estimate.
func (c *call) defaultCost() int64 {
	if c.product.Kind == rule.KindPlain {
		return defaultPlainCost
	}
	return c.promptTokens + outputTokenCost*defaultOutputTokens
}
