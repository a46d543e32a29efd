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
	// bytesPerToken is a rough mean, used only before a server has counted.
	bytesPerToken = 4
	// prefixBytes of a prompt choose the server that may have it cached.
	prefixBytes = 512
	// outputTokens is expected when neither the caller nor experience says.
	outputTokens = 128
	// plainMillis is expected of a plain call before experience says.
	plainMillis = 50
	// outputWeight is the cost of an output token in prompt tokens.
	outputWeight = 2
)

// modelRequest is the part of a model call that the router reads.
type modelRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int64           `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// read takes in the whole request, or refuses it.
func (c *call) read() error {
	if err := c.readDeadline(); err != nil {
		return err
	}
	c.key = strings.Join(c.request.Header.Values(headerKey), ",") // several keys make none that is valid
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
			return c.turnDown(fleet.ReasonBadRequest, headerTimeout+" must be a positive number of milliseconds")
		}
		timeout = min(time.Duration(min(millis, s.TimeoutLimit.Milliseconds()))*time.Millisecond, s.TimeoutLimit)
	}
	c.deadline = c.arrived + timeout
	return nil
}

// readBody reads the body within the limits of bytes and time.
func (c *call) readBody() error {
	s := &c.front.Settings
	size := c.request.ContentLength
	if size > s.BodyBytes {
		c.writer.Header().Set("Connection", "close")
		return c.turnDown(fleet.ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(s.BodyBytes, 10)+" bytes")
	}
	if size == 0 {
		return nil
	}
	if size < 0 {
		size = s.BodyBytes
	}
	if reason := c.front.open.hold(size, s.HeldBytes); reason != fleet.ReasonNone {
		e := c.turnDown(reason, "this router holds too many bytes of requests")
		e.Shared = true
		return e
	}
	c.held = size
	_ = c.control.SetReadDeadline(time.Now().Add(s.ReadTimeout)) // unsupported only by test recorders
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, s.BodyBytes))
	if err != nil {
		return c.unread(err)
	}
	_ = c.control.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// unread refuses a request whose body did not come whole.
func (c *call) unread(err error) error {
	c.writer.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return c.turnDown(fleet.ReasonBodyTooLarge, "the body is over "+strconv.FormatInt(large.Limit, 10)+" bytes")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return c.turnDown(fleet.ReasonSlowCaller, "the body did not come in time")
	}
	return c.turnDown(fleet.ReasonCallerGone, "the body was cut short")
}

func (c *call) readModel() error {
	if c.request.Method != http.MethodPost {
		return c.turnDown(fleet.ReasonBadRequest, "model calls are made by POST")
	}
	var m modelRequest
	if err := json.Unmarshal(c.body, &m); err != nil {
		return c.turnDown(fleet.ReasonBadRequest, "the body is not a JSON object of a model call: "+err.Error())
	}
	product := c.rules.Products[m.Model]
	if product == nil || product.Kind != rule.KindModel {
		return c.turnDown(fleet.ReasonUnknownProduct, "there is no model of this name")
	}
	c.product, c.stream, c.target = product, m.Stream, c.request.URL.Path
	prompt := m.Prompt
	if len(prompt) == 0 {
		prompt = m.Messages
	}
	c.prompt = int64(len(prompt))/bytesPerToken + 1
	if len(prompt) > 0 {
		h := fnv.New64a()
		h.Write(prompt[:min(len(prompt), prefixBytes)])
		c.prefix = h.Sum64()
	}
	return nil
}

func (c *call) readPlain() error {
	name, rest, _ := strings.Cut(strings.TrimPrefix(c.request.URL.EscapedPath(), "/"), "/")
	product := c.rules.Products[name]
	if product == nil || product.Kind != rule.KindPlain {
		return c.turnDown(fleet.ReasonUnknownProduct, "there is no plain service of this name")
	}
	c.target = "/" + rest
	if c.request.URL.RawQuery != "" {
		c.target += "?" + c.request.URL.RawQuery
	}
	c.once = onceCall(product, c.request.Method, strings.TrimPrefix(c.request.URL.Path, "/"+name))
	// From here on a refusal speaks of the key only if the call may not be repeated.
	c.product = product
	return nil
}

// onceCall reports a call that may not be repeated; a path that a server might read as a listed one counts as listed.
func onceCall(product *rule.Product, method, asked string) bool {
	forms := []string{asked, path.Clean("/" + asked)}
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

// guess gives the cost to expect of a request that no experience tells of.
func (c *call) guess() int64 {
	if c.product.Kind == rule.KindPlain {
		return plainMillis
	}
	return c.prompt + outputWeight*outputTokens
}
