package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"mangolug.org/core/fleet"
)

// Refusal is the error that ends a request without its answer.
type Refusal struct {
	Reason     fleet.Reason
	NotRun     bool // it is certain that the request did not run
	RetryAfter time.Duration
	Outcome    string // what is known of the outcome when NotRun is false
	Message    string
	Shared     bool // the limit that was met is the router's, not the team's

	detail string // for operators; callers are not told of the fleet's inside
	abort  bool   // the answer has begun and can only be shown to be broken by cutting the connection
}

// Error gives the reason and the message.
func (e *Refusal) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Message) }

// Values of a refusal's outcome.
const (
	outcomeUnknown   = "unknown"
	outcomeCompleted = "completed"
)

// refusalBody is the form of a refusal.
type refusalBody struct {
	Reason     string  `json:"reason"`
	NotRun     bool    `json:"notRun,omitempty"`
	Outcome    string  `json:"outcome,omitempty"`
	RequestID  string  `json:"requestId"`
	RetryAfter float64 `json:"retryAfter,omitempty"`
	Message    string  `json:"message"`
}

// statusOf gives the HTTP status of a refusal.
func statusOf(e *Refusal) int {
	switch e.Reason {
	case fleet.ReasonUnauthorized:
		return http.StatusUnauthorized
	case fleet.ReasonBadRequest, fleet.ReasonKeyInvalid:
		return http.StatusBadRequest
	case fleet.ReasonBodyTooLarge:
		if e.Outcome == outcomeCompleted {
			return http.StatusConflict
		}
		return http.StatusRequestEntityTooLarge
	case fleet.ReasonUnknownProduct, fleet.ReasonUnknownRoute:
		return http.StatusNotFound
	case fleet.ReasonSlowCaller, fleet.ReasonCallerGone:
		return http.StatusRequestTimeout
	case fleet.ReasonQueueFull, fleet.ReasonQueueBytes, fleet.ReasonTooManyOpen:
		if e.Shared {
			return http.StatusServiceUnavailable
		}
		return http.StatusTooManyRequests
	case fleet.ReasonKeyInProgress, fleet.ReasonKeyTooOld:
		return http.StatusConflict
	case fleet.ReasonKeyMismatch:
		return http.StatusUnprocessableEntity
	case fleet.ReasonDeadlinePassed:
		return http.StatusGatewayTimeout
	case fleet.ReasonOutcomeUnknown, fleet.ReasonConnectFailed, fleet.ReasonServerFailed,
		fleet.ReasonStreamBroken, fleet.ReasonForeignAnswer:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// repeatable reports a refusal after which the same request may fare better later.
func repeatable(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusBadRequest, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	}
	return true
}

// body gives the form in which a caller reads the refusal.
func (e *Refusal) body(request string) refusalBody {
	b := refusalBody{Reason: e.Reason.String(), RequestID: request, Message: e.Message, NotRun: e.NotRun}
	if !e.NotRun {
		b.Outcome = e.Outcome
		if b.Outcome == "" {
			b.Outcome = outcomeUnknown
		}
	}
	if repeatable(statusOf(e)) {
		b.RetryAfter = max(e.RetryAfter, time.Second).Seconds()
	}
	if b.Message == "" {
		b.Message = e.Reason.String()
	}
	return b
}

// write sends the refusal as an answer of its own.
func (e *Refusal) write(w http.ResponseWriter, request string) error {
	status := statusOf(e)
	b := e.body(request)
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if b.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(b.RetryAfter))))
	}
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(status)
	_, err = w.Write(text)
	return err
}
