package drive

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/google/uuid"

	"mangolug.org/engine/batch"
	"mangolug.org/loader/plan"
)

// bytesPerToken is the length of a prompt token at the model engine.
const bytesPerToken = 4

// request is one request to be sent.
type request struct {
	target plan.Target
	method string
	path   string
	key    string // Idempotency-Key; empty for none
	body   []byte
	prompt string
	tokens int
}

// maker makes the requests of one goroutine of a load, the same ones for the same seed.
type maker struct {
	load    *plan.Load
	targets []plan.Target // with the load's own weights
	random  *rand.Rand
	name    string
	made    int
}

func newMaker(p *plan.Plan, l *plan.Load, number, worker int) *maker {
	m := &maker{
		load:   l,
		random: rand.New(rand.NewPCG(p.Seed, uint64(number)<<32|uint64(worker))),
		name:   fmt.Sprintf("%s-%d-%d-%d", l.Team, p.Seed, number, worker),
	}
	for _, t := range p.Targets {
		if len(l.Targets) > 0 {
			t.Weight = l.Targets[t.Name]
		}
		m.targets = append(m.targets, t)
	}
	return m
}

func (m *maker) next() (*request, error) {
	m.made++
	r := &request{target: m.pick()}
	if m.load.Plain {
		return m.plain(r)
	}
	return m.model(r)
}

func (m *maker) plain(r *request) (*request, error) {
	r.method, r.path = m.load.Method, "/"+m.load.Product+m.load.Path
	if r.target.Direct {
		r.path = m.load.Path
	}
	if r.method == "" {
		r.method = "GET"
	}
	if r.method != "GET" {
		r.body = []byte(fill(fmt.Sprintf("%s-%d ", m.name, m.made), m.load.BodyBytes))
	}
	if m.load.IdempotencyKeys {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, err
		}
		r.key = key.String()
	}
	return r, nil
}

func (m *maker) model(r *request) (*request, error) {
	l := m.load
	r.method, r.path = "POST", "/v1/completions"
	r.tokens = m.between(l.AnswerTokens)
	size := m.between(l.PromptTokens) * bytesPerToken
	own := fmt.Sprintf("%s-%d", m.name, m.made)
	if l.Prefixes > 0 {
		prefix := m.random.IntN(l.Prefixes)
		span := l.AnswerTokens.Max - l.AnswerTokens.Min + 1
		r.tokens = l.AnswerTokens.Min + prefix*7919%span
		r.prompt = fill(fmt.Sprintf("tokens=%d %s prefix %d ", r.tokens, l.Team, prefix), size-len(own)) + own
	} else {
		r.prompt = fill(fmt.Sprintf("tokens=%d %s ", r.tokens, own), size)
	}
	var err error
	r.body, err = json.Marshal(batch.Request{
		Model: l.Product, Prompt: r.prompt, MaxTokens: r.tokens * max(l.HintFactor, 1), Stream: l.Stream,
	})
	return r, err
}

func (m *maker) between(r plan.Range) int {
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + m.random.IntN(r.Max-r.Min+1)
}

func (m *maker) pick() plan.Target {
	sum := 0.0
	for _, t := range m.targets {
		sum += t.Weight
	}
	at := m.random.Float64() * sum
	for _, t := range m.targets {
		if at < t.Weight {
			return t
		}
		at -= t.Weight
	}
	return m.targets[0]
}

// fill lengthens text to a size in bytes.
func fill(text string, size int) string {
	if len(text) >= size {
		return text
	}
	return text + strings.Repeat(".", size-len(text))
}
