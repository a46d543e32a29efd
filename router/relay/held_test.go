package relay

import (
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestLargestAnswerIsCutOff guards against answers that together exhaust the memory of a small VM, and against small ones that make room for an endless one.
func TestLargestAnswerIsCutOff(t *testing.T) {
	const limit = 100 << 10
	const kilobyte = 1 << 10
	for name, d := range map[string]struct {
		sizes    []int64 // of the answers, in the order in which they grow, beyond what counts as that of the request
		complete int     // number of the first answers that are complete
		cut      []int   // answers that are cut off
	}{
		"within the limit":          {sizes: []int64{40 * kilobyte, 50 * kilobyte}},
		"the newest is largest":     {sizes: []int64{40 * kilobyte, 70 * kilobyte}, cut: []int{1}},
		"an earlier one is largest": {sizes: []int64{70 * kilobyte, 40 * kilobyte}, cut: []int{0}},
		"several have to go":        {sizes: []int64{30 * kilobyte, 30 * kilobyte, 35 * kilobyte, 90 * kilobyte}, cut: []int{3}},
		"a complete one stays":      {sizes: []int64{70 * kilobyte, 40 * kilobyte}, complete: 1, cut: []int{1}},
		"no small one counts":       {sizes: []int64{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 90 * kilobyte}},
	} {
		t.Run(name, func(t *testing.T) {
			var h heldAnswers
			var mutex sync.Mutex
			closed := make(map[int]bool)
			answers := make([]*heldAnswer, len(d.sizes))
			for i, size := range d.sizes {
				answers[i] = h.begin(func() {
					mutex.Lock()
					defer mutex.Unlock()
					closed[i] = true
				})
				var full *answersFullError
				if err := answers[i].resize(smallAnswer+size, limit); err != nil && !errors.As(err, &full) {
					t.Errorf("error %v", err)
				}
				if i < d.complete {
					if err := answers[i].complete(); err != nil {
						t.Error(err)
					}
				}
				if h.sum > limit {
					t.Errorf("%d bytes are held, want at most %d", h.sum, limit)
				}
			}
			var cut []int
			for i, a := range answers {
				if a.cutOff(nil) != nil {
					cut = append(cut, i)
				}
				a.release()
			}
			if len(cut) != len(d.cut) || len(cut) > 0 && cut[0] != d.cut[0] {
				t.Errorf("cut off: %v, want %v", cut, d.cut)
			}
			if h.sum != 0 || len(h.answers) != 0 {
				t.Errorf("%d bytes of %d answers are held after all have ended", h.sum, len(h.answers))
			}
		})
	}
}

// TestEndlessAnswersShareMemory guards against many answers without an end, each within its limit, that together exhaust the memory of a small VM; the
// callers' status must be true, and sound answers must be delivered beside them.
func TestEndlessAnswersShareMemory(t *testing.T) {
	const (
		callers = 40
		limit   = 4 << 20
		large   = 200 << 10
		// returnLimit is longer than servers that failed are set aside.
		returnLimit = 6 * time.Second
	)
	sound := strings.Repeat("y", large)
	for name, d := range map[string]struct {
		path, begin, more string
	}{
		"safe route":   {"/safe/a", rawPlainHead, "x"},
		"unsafe route": {"/unsafe/a", rawHead + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		"events":       {"/fixed/a", rawStreamHead + "id: 1\ndata: ", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			closed := make(chan struct{}, 4*callers)
			w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
				if r.Header.Get(testID) == "id-1" {
					writeEndless(rw, d.begin, d.more, 0, &written, closed)
					return
				}
				w.respond(rw, http.StatusOK, sound)
			})
			w.relay.AnswersLimit = func() int64 { return limit }
			var calls sync.WaitGroup
			for range callers {
				calls.Go(func() {
					if a := w.do(t, http.MethodPost, d.path, "x", nil); a.status/100 == 2 && a.err == nil {
						t.Errorf("an answer without an end was complete with status %d", a.status)
					}
				})
			}
			for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
				if held := w.relay.answers.total(); held > limit {
					t.Fatalf("%d bytes of answers are held, want at most %d", held, limit)
				}
				time.Sleep(time.Millisecond)
			}
			calls.Wait()
			a := response{status: http.StatusServiceUnavailable}
			for end := time.Now().Add(returnLimit); a.status == http.StatusServiceUnavailable && time.Now().Before(end); {
				a = w.do(t, http.MethodPost, "/safe/b", "x", func(r *http.Request) { r.Header.Set(testID, "id-2") })
			}
			if a.err != nil || a.body != sound {
				t.Errorf("a sound answer of %d bytes: status %d, %d bytes, %v", large, a.status, len(a.body), a.err)
			}
			deadline := time.Now().Add(time.Second)
			for w.relay.answers.total() > 0 && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if held := w.relay.answers.total(); held != 0 {
				t.Errorf("%d bytes are still held after all requests have ended", held)
			}
		})
	}
}

// total returns the number of bytes held.
func (h *heldAnswers) total() int64 {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sum
}
