package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// MaxBody is the maximum size of a request body in bytes.
const MaxBody = 4 << 20

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Request is the body of a completions or chat call.
type Request struct {
	Model      string    `json:"model"`
	Prompt     string    `json:"prompt,omitempty"`
	Messages   []Message `json:"messages,omitempty"`
	MaxTokens  int       `json:"max_tokens,omitempty"`
	Stream     bool      `json:"stream,omitempty"`
	ResumeFrom int       `json:"resume_from,omitempty"` // number of tokens that the caller already has
}

// Usage is the token usage of a response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is the text of a response or of one event of a stream.
type Choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Response is a complete response body or one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Handler returns the handler of the inference API under /v1/, GET /load and the test API under /control/.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, false) })
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, true) })
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Load())
	})
	e.registerControl(mux)
	return mux
}

// ChatPrompt returns the prompt of a chat.
func ChatPrompt(messages []Message) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	return prompt.String()
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request, chat bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var request Request
	if err := json.Unmarshal(body, &request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if chat {
		request.Prompt = ChatPrompt(request.Messages)
	}
	term, _ := strconv.ParseUint(r.Header.Get("Fencing-Term"), 10, 64)
	run := Run{RequestID: r.Header.Get("X-Request-Id"), AttemptID: r.Header.Get("X-Attempt-Id"), Team: r.Header.Get("X-Team")}
	c, err := e.admit(run, term)
	if refused := (*RefusedError)(nil); errors.As(err, &refused) {
		refuse(w, run.AttemptID, refused.Reason)
		return
	}
	a := &answer{writer: w, request: request, chat: chat, attempt: e.responseAttemptID(run.AttemptID)}
	ctx, cancel := e.withCancelDelay(r.Context())
	defer cancel()
	err = c.generate(ctx, a)
	c.end(err)
	if err != nil {
		a.fail()
	}
}

// withCancelDelay returns a context that is cancelled the cancel delay after the caller's context ends.
func (e *Engine) withCancelDelay(caller context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller))
	context.AfterFunc(caller, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		time.AfterFunc(e.cancelDelay, cancel)
	})
	return ctx, cancel
}

// generate generates the answer to a call.
func (c *call) generate(ctx context.Context, a *answer) error {
	if err := c.waitForSlot(ctx); err != nil {
		return err
	}
	if c.engine.takeFailure() {
		return errors.New("failure requested by /control/fail")
	}
	if err := c.prefill(ctx, a.request.Prompt); err != nil {
		return err
	}
	length := Length(a.request.Prompt, a.request.MaxTokens)
	for n := a.request.ResumeFrom; n < length; n++ {
		if err := c.step(ctx); err != nil {
			return err
		}
		_ = a.writeToken(Token(a.request.Prompt, n)) // the context ends when the caller disconnects
	}
	prompt := PromptTokens(a.request.Prompt)
	tokens := max(length-a.request.ResumeFrom, 0)
	return a.finish(Usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens})
}

func refuse(w http.ResponseWriter, attempt, reason string) {
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Not-Run", "true")
	status := http.StatusServiceUnavailable
	switch reason {
	case "full":
		status = http.StatusTooManyRequests
	case "staleTerm":
		status = http.StatusConflict
	}
	http.Error(w, reason, status)
}
