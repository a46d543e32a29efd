package batch

import (
	"bufio"
	"errors"
	"io"
	"testing"
	"time"
)

// TestAbortedStreamHasNoEnd guards against an engine that restarts in a stream and ends the answer as a whole one.
func TestAbortedStreamHasNoEnd(t *testing.T) {
	engine, server := newEngine(t, Settings{Limit: 1, TokenTime: time.Millisecond})
	response := post(t.Context(), t, server, `{"prompt":"walnut","max_tokens":100000,"stream":true}`, "")
	body := bufio.NewReader(response.Body)
	if _, err := body.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	engine.mutex.Lock()
	engine.restart()
	engine.mutex.Unlock()
	if _, err := io.Copy(io.Discard, body); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the answer ended with error %v, want an unexpected end", err)
	}
}
