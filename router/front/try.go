package front

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
)

// try is one attempt whose answer is being passed on.
type try struct {
	call      *call
	verdict   entry.Verdict
	begun     time.Duration
	cancel    context.CancelFunc
	firstByte time.Duration
	answerID  string // of the answer's first event
	chunks    int64
	mark      uint64 // of the latest event
	matched   int    // events that the caller has and that this attempt gave too
	usage     *usage
	reported  time.Duration
	lost      bool // the caller takes its answer no more
	useless   bool // its answer is not the one that the caller has a part of
}

// outcome names the end of the attempt for the scheduler.
func (t *try) outcome(ctx context.Context, err error) fleet.Outcome {
	var failed *back.ServerError
	switch {
	case err == nil:
		return fleet.OutcomeCompleted
	case t.lost, t.useless:
		return fleet.OutcomeCancelled
	case !errors.As(err, &failed):
		return fleet.OutcomeFailed
	case failed.Reason == fleet.ReasonGrantExpired:
		return fleet.OutcomeReturned
	case failed.Reason == fleet.ReasonServerOverloaded:
		return fleet.OutcomeOverloaded
	case errors.Is(ctx.Err(), context.Canceled):
		return fleet.OutcomeCancelled
	case t.late():
		// A caller's short deadline says nothing of the server.
		return fleet.OutcomeCancelled
	case failed.Reason == fleet.ReasonConnectFailed:
		return fleet.OutcomeUnreached
	}
	return fleet.OutcomeFailed
}

// usage is a model server's own count of tokens.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// cost gives the cost so far in cost units.
func (t *try) cost() int64 {
	if t.call.product.Kind == rule.KindPlain {
		return max(1, (t.call.front.Clock() - t.begun).Milliseconds())
	}
	if t.usage != nil {
		return max(1, t.usage.PromptTokens+outputWeight*t.usage.CompletionTokens)
	}
	if t.firstByte == 0 {
		return 0
	}
	return t.call.prompt + outputWeight*t.chunks
}

// first notes the moment of the answer's first byte.
func (t *try) first() {
	if t.firstByte == 0 {
		t.firstByte = max(1, t.call.front.Clock()-t.begun)
	}
}

// broken is the error of an answer that did not come whole.
func (t *try) broken(err error) *back.ServerError {
	return &back.ServerError{Server: t.verdict.Grant.Server, Reason: fleet.ReasonStreamBroken, Sent: true, Err: err}
}

// callerLost ends a request whose caller takes its answer no more.
func (t *try) callerLost(err error) error {
	t.lost = true
	t.cancel()
	reason := fleet.ReasonCallerGone
	if isTimeout(err) {
		reason = fleet.ReasonSlowCaller
	}
	t.call.sent = true
	return t.call.turnDown(reason, fmt.Sprintf("the answer could not be delivered: %v", err))
}

// late reports an attempt that its caller's deadline ended before its server had stalled.
func (t *try) late() bool {
	now := t.call.front.Clock()
	return now >= t.call.deadline && now-t.begun < t.call.front.Settings.StallTimeout
}
