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

// Refusal is the error that ends a request without an answer from a backend server.
type Refusal struct {
	Reason     fleet.Reason
	NotRun     bool // it is certain that the request did not run
	RetryAfter time.Duration
	Outcome    string // what is known of the outcome if NotRun is false
	Message    string
	Shared     bool // the limit reached is the router's, not the team's

	detail string // for operators only; callers must not see the internals of the fleet
}

// Error returns the reason and the message.
func (e *Refusal) Error() string { return fmt.Sprintf("%s: %s", e.Reason, e.Message) }

// Values of Refusal.Outcome.
const (
	outcomeUnknown   = "unknown"
	outcomeCompleted = "completed"
)

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Reason     string  `json:"reason"`
	NotRun     bool    `json:"notRun,omitempty"`
	Outcome    string  `json:"outcome,omitempty"`
	RequestID  string  `json:"requestId"`
	RetryAfter float64 `json:"retryAfter,omitempty"`
	Message    string  `json:"message"`
}

// statusOf returns the HTTP status of a refusal.
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

// retryable reports whether the same request may succeed later after a refusal with this status.
func retryable(status int) bool {
	switch status {
	case http.StatusUnauthorized, http.StatusBadRequest, http.StatusNotFound,
		http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return false
	}
	return true
}

// body returns the refusal as sent to the caller.
func (e *Refusal) body(request string) refusalBody {
	b := refusalBody{Reason: e.Reason.String(), RequestID: request, Message: e.Message, NotRun: e.NotRun}
	if !e.NotRun {
		b.Outcome = e.Outcome
		if b.Outcome == "" {
			b.Outcome = outcomeUnknown
		}
	}
	if retryable(statusOf(e)) {
		b.RetryAfter = max(e.RetryAfter, time.Second).Seconds()
	}
	if b.Message == "" {
		b.Message = e.Reason.String()
	}
	return b
}

// write writes the refusal as an HTTP response.
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
