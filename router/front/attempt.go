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

// attempt is one attempt of a call and the state of relaying its answer.
type attempt struct {
	call       *call
	verdict    entry.Verdict
	started    time.Duration
	cancel     context.CancelFunc
	firstByte  time.Duration
	answerID   string // ID in the answer's first event
	chunks     int64
	eventHash  uint64 // hash of the latest event
	matched    int    // number of delivered events that this attempt has reproduced
	usage      *usage
	reportedAt time.Duration
	callerGone bool // the caller no longer reads its answer
	diverged   bool // the answer differs from the part that the caller has
}

// outcome returns the outcome of the attempt for the scheduler.
func (t *attempt) outcome(ctx context.Context, err error) fleet.Outcome {
	var failed *back.ServerError
	switch {
	case err == nil:
		return fleet.OutcomeCompleted
	case t.callerGone, t.diverged:
		return fleet.OutcomeCancelled
	case !errors.As(err, &failed):
		return fleet.OutcomeFailed
	case failed.Reason == fleet.ReasonGrantExpired:
		return fleet.OutcomeReturned
	case failed.Reason == fleet.ReasonServerOverloaded:
		return fleet.OutcomeOverloaded
	case errors.Is(ctx.Err(), context.Canceled):
		return fleet.OutcomeCancelled
	case t.endedByDeadline():
		// A short deadline set by the caller is no evidence against the server.
		return fleet.OutcomeCancelled
	case failed.Reason == fleet.ReasonConnectFailed:
		return fleet.OutcomeUnreached
	}
	return fleet.OutcomeFailed
}

// usage is the token count reported by a model server.
type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
}

// cost returns the cost so far in cost units.
func (t *attempt) cost() int64 {
	if t.call.product.Kind == rule.KindPlain {
		return max(1, (t.call.front.Clock() - t.started).Milliseconds())
	}
	if t.usage != nil {
		return max(1, t.usage.PromptTokens+outputTokenCost*t.usage.CompletionTokens)
	}
	if t.firstByte == 0 {
		return 0
	}
	return t.call.promptTokens + outputTokenCost*t.chunks
}

// recordFirstByte records the time to the first byte of the answer.
func (t *attempt) recordFirstByte() {
	if t.firstByte == 0 {
		t.firstByte = max(1, t.call.front.Clock()-t.started)
	}
}

// brokenError returns the error of an answer that was truncated.
func (t *attempt) brokenError(err error) *back.ServerError {
	return &back.ServerError{Server: t.verdict.Grant.Server, Reason: fleet.ReasonStreamBroken, Sent: true, Err: err}
}

// callerLost cancels the attempt and returns the refusal of a request whose caller no longer reads its answer.
func (t *attempt) callerLost(err error) error {
	t.callerGone = true
	t.cancel()
	reason := fleet.ReasonCallerGone
	if isTimeout(err) {
		reason = fleet.ReasonSlowCaller
	}
	t.call.mayHaveRun = true
	return t.call.newRefusal(reason, fmt.Sprintf("the answer could not be delivered: %v", err))
}

// endedByDeadline reports whether the caller's deadline passed before the server reached the stall timeout.
func (t *attempt) endedByDeadline() bool {
	now := t.call.front.Clock()
	return now >= t.call.deadline && now-t.started < t.call.front.Settings.StallTimeout
}
