package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"mangolug.org/engine/batch"
	"mangolug.org/stage/local"
)

// refusal is the body of an answer that a router made itself.
type refusal struct {
	Reason     string  `json:"reason"`
	NotRun     bool    `json:"notRun"`
	Outcome    string  `json:"outcome"`
	RequestID  string  `json:"requestId"`
	RetryAfter float64 `json:"retryAfter"`
	Message    string  `json:"message"`
}

// call is one request to a router.
type call struct {
	router  *local.Router
	team    local.Team
	method  string
	path    string
	body    string
	key     string        // Idempotency-Key
	timeout time.Duration // X-Request-Timeout; 0 for none
}

// answer is what came back; status 0 says that no whole header did.
type answer struct {
	status  int
	header  http.Header
	body    []byte
	broken  error // the connection broke, before or inside the answer
	refusal refusal
}

// Every call has its own connection, so that the client never tries one again by itself.
var caller = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func do(ctx context.Context, c call) answer {
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.router.Listen+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{broken: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.team.Key())
	if c.key != "" {
		request.Header.Set("Idempotency-Key", c.key)
	}
	if c.timeout != 0 {
		request.Header.Set("X-Request-Timeout", strconv.FormatInt(c.timeout.Milliseconds(), 10))
	}
	response, err := caller.Do(request)
	if err != nil {
		return answer{broken: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode, header: response.Header}
	a.body, a.broken = io.ReadAll(response.Body)
	if a.status != http.StatusOK {
		_ = json.Unmarshal(a.body, &a.refusal)
	}
	return a
}

// requestID gives the request's id as the answer states it.
func (a answer) requestID() string { return a.header.Get("X-Request-Id") }

// completion is a call for some tokens.
type completion struct {
	prompt string
	tokens int
	stream bool
	chat   bool
}

// call gives the completion as a call of the site's model.
func (c completion) call(site local.Site, router *local.Router, team local.Team) call {
	request := batch.Request{Model: site.Model, Prompt: c.prompt, MaxTokens: c.tokens, Stream: c.stream}
	path := "/v1/completions"
	if c.chat {
		request.Prompt, request.Messages = "", []batch.Message{{Role: "user", Content: c.prompt}}
		path = "/v1/chat/completions"
	}
	body, _ := json.Marshal(request)
	return call{router: router, team: team, method: http.MethodPost, path: path, body: string(body)}
}

// want gives the text of the whole answer.
func (c completion) want() string {
	if c.chat {
		return batch.Text(batch.ChatPrompt([]batch.Message{{Role: "user", Content: c.prompt}}), c.tokens)
	}
	return batch.Text(c.prompt, c.tokens)
}

// read gives the text of an answer, its usage, and whether the answer claims to be whole.
func (c completion) read(a answer) (string, *batch.Usage, bool) {
	if a.status != http.StatusOK {
		return "", nil, false
	}
	if !c.stream {
		var response batch.Response
		if a.broken != nil || json.Unmarshal(a.body, &response) != nil {
			return "", nil, false
		}
		return textOf(response), response.Usage, true
	}
	text, usage := "", (*batch.Usage)(nil)
	for event := range bytes.SplitSeq(a.body, []byte("\n\n")) {
		line, ok := bytes.CutPrefix(event, []byte("data: "))
		if !ok {
			continue
		}
		if string(line) == "[DONE]" {
			return text, usage, true
		}
		var response batch.Response
		if json.Unmarshal(line, &response) == nil {
			text += textOf(response)
			usage = response.Usage
		}
	}
	return text, usage, false
}

func textOf(response batch.Response) string {
	text := ""
	for _, c := range response.Choices {
		text += c.Text
		if c.Message != nil {
			text += c.Message.Content
		}
		if c.Delta != nil {
			text += c.Delta.Content
		}
	}
	return text
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }
