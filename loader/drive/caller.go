package drive

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/head"
	"mangolug.org/desk/record"
	"mangolug.org/engine/batch"
	"mangolug.org/loader/events"
	"mangolug.org/loader/plan"
	"mangolug.org/loader/tally"
)

const (
	maxAnswer    = 64 << 20 // bytes of an answer that is read whole
	maxIdle      = 4096     // connections kept for each target
	plainCost    = 1        // cost units of a plain call
	answerWeight = 2        // cost units of a token of an answer; one of a prompt is one
	requestGrace = 500 * time.Millisecond
)

// refusal is the body with which a router refuses.
type refusal struct {
	Reason     string  `json:"reason"`
	NotRun     bool    `json:"notRun"`
	Outcome    string  `json:"outcome"`
	RetryAfter float64 `json:"retryAfter"` // seconds
}

// call is one request under way.
type call struct {
	load    *plan.Load
	count   *tally.Load
	client  *http.Client
	request *request
	planned time.Time // when it was to be sent

	begun  bool
	last   time.Time // of the last piece of a stream
	text   []byte
	usage  events.Usage
	served int64 // cost counted so far
	retry  time.Duration
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdle,
		MaxIdleConns:        maxIdle,
		DisableCompression:  true,
	}}
}

// do sends the request, reads its answer and counts its end.
func (c *call) do(ctx context.Context) {
	timeout := time.Duration(c.load.TimeoutMillis) * time.Millisecond
	limited, cancel := context.WithTimeout(ctx, timeout+requestGrace)
	defer cancel()
	c.count.Begin()
	end := c.exchange(limited)
	if end.Outcome != tally.OutcomeAnswered && ctx.Err() != nil {
		end = tally.End{Outcome: tally.OutcomeCut}
	}
	end.Total, end.Cost = time.Since(c.planned), c.served
	c.count.End(end, c.begun)
}

func (c *call) exchange(ctx context.Context) tally.End {
	r, err := http.NewRequestWithContext(ctx, c.request.method, "http://"+c.request.target.Address+c.request.path, bytes.NewReader(c.request.body))
	if err != nil {
		return tally.End{Outcome: tally.OutcomeFailed, Reason: "badRequest"}
	}
	r.Header.Set("Authorization", "Bearer "+c.load.Key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Timeout", strconv.FormatInt(c.load.TimeoutMillis, 10))
	if c.request.key != "" {
		r.Header.Set("Idempotency-Key", c.request.key)
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return failure(ctx, "connection")
	}
	defer func() { _ = answer.Body.Close() }()
	if head.CheckParsed(answer.StatusCode, answer.Header) != nil {
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "malformedHead"}
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return c.refused(answer)
	}
	if !c.request.target.Direct && answer.Header.Get("X-Request-Id") == "" {
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "noRequestId"}
	}
	if c.load.Stream {
		return c.stream(ctx, answer.Body)
	}
	return c.whole(ctx, answer.Body)
}

func (c *call) refused(answer *http.Response) tally.End {
	var body refusal
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxAnswer)).Decode(&body); err != nil || body.Reason == "" {
		return tally.End{Outcome: tally.OutcomeFailed, Reason: "status" + strconv.Itoa(answer.StatusCode)}
	}
	c.retry = time.Duration(body.RetryAfter * float64(time.Second))
	if body.NotRun {
		return tally.End{Outcome: tally.OutcomeRefused, Reason: body.Reason}
	}
	return tally.End{Outcome: tally.OutcomeUnknown, Reason: body.Reason}
}

func (c *call) stream(ctx context.Context, body io.Reader) tally.End {
	reason := ""
	err := events.Read(body, func(v *events.Chunk) {
		c.piece(v)
		if v.Reason != "" {
			reason = v.Reason
		}
	})
	switch {
	case reason != "":
		return tally.End{Outcome: tally.OutcomeFailed, Reason: reason}
	case err != nil && ctx.Err() != nil:
		return failure(ctx, "stream")
	case errors.Is(err, events.ErrAfterEnd):
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "afterEnd"}
	case errors.Is(err, events.ErrNoEnd):
		return tally.End{Outcome: tally.OutcomeFailed, Reason: "streamBroken"}
	case err != nil:
		return failure(ctx, "stream")
	}
	return c.check()
}

// piece counts one event of a stream: the prompt with the first token, and each token as it comes.
func (c *call) piece(v *events.Chunk) {
	now := time.Now()
	if content := v.Content(); content != "" {
		if !c.begun {
			c.begun = true
			c.count.FirstByte(now.Sub(c.planned))
			c.serve(int64(batch.PromptTokens(c.request.prompt)))
		} else {
			c.count.Between(now.Sub(c.last))
		}
		c.last = now
		c.text = append(c.text, content...)
		c.serve(answerWeight)
	}
	if v.Usage != nil {
		c.usage = *v.Usage
		c.serve(cost(v.Usage) - c.served)
	}
}

func (c *call) whole(ctx context.Context, body io.Reader) tally.End {
	text, err := io.ReadAll(io.LimitReader(body, maxAnswer))
	if err != nil {
		return failure(ctx, "answer")
	}
	c.begun = true
	c.count.FirstByte(time.Since(c.planned))
	if c.load.Plain {
		c.serve(plainCost)
		return c.checkPlain(text)
	}
	v := &events.Chunk{}
	if err := json.Unmarshal(text, v); err != nil || v.Usage == nil {
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "noUsage"}
	}
	c.text, c.usage = []byte(v.Content()), *v.Usage
	c.serve(cost(v.Usage))
	return c.check()
}

// cost gives the cost units of a model's answer, as routers charge them.
func cost(u *events.Usage) int64 { return u.PromptTokens + answerWeight*u.CompletionTokens }

// check compares a model's answer with the one that the prompt must give.
func (c *call) check() tally.End {
	if int(c.usage.CompletionTokens) != c.request.tokens || string(c.text) != batch.Text(c.request.prompt, c.request.tokens) {
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "differs"}
	}
	return tally.End{Outcome: tally.OutcomeAnswered}
}

// checkPlain compares a plain service's answer with the one that the path and body must give.
func (c *call) checkPlain(text []byte) tally.End {
	var a record.Answer
	if err := json.Unmarshal(text, &a); err != nil || a.Text != record.TextOf(c.load.Path, c.request.body) {
		return tally.End{Outcome: tally.OutcomeNotWhole, Reason: "differs"}
	}
	return tally.End{Outcome: tally.OutcomeAnswered}
}

func (c *call) serve(cost int64) {
	c.served += cost
	c.count.Serve(cost)
}

func failure(ctx context.Context, reason string) tally.End {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return tally.End{Outcome: tally.OutcomeTimedOut, Reason: reason}
	}
	return tally.End{Outcome: tally.OutcomeFailed, Reason: reason}
}
