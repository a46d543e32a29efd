package wire

import "fmt"

// Limits on messages from peers.
const (
	// MaxName is the maximum length of the name of a team, server, product or key, in bytes.
	MaxName = 256
	// MaxCount is the largest count or cost that a message may carry.
	MaxCount = 1 << 40
	// MaxItems is the largest number of entries of a list in a message.
	MaxItems = 100_000
	// MaxMessage is the maximum size of an encoded envelope, in bytes; a rule file of 1 MB fits in it.
	MaxMessage = 2 << 20
)

// FieldError reports a field of a message with an invalid value.
type FieldError struct {
	Field string
	Value string
}

// Error returns a message with the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s has the unacceptable value %q", e.Field, e.Value)
}

// checker validates the fields of a message and keeps the error of the first invalid one.
type checker struct {
	err *FieldError
}

func (c *checker) reject(field, value string) {
	if c.err == nil {
		c.err = &FieldError{Field: field, Value: value}
	}
}

func (c *checker) name(field, s string) string {
	if s == "" || len(s) > MaxName {
		c.reject(field, s[:min(len(s), MaxName)])
	}
	return s
}

// optionalName checks a name that may be empty.
func (c *checker) optionalName(field, s string) string {
	if s == "" {
		return s
	}
	return c.name(field, s)
}

func (c *checker) count(field string, n int64) int64 {
	if n < 0 || n > MaxCount {
		c.reject(field, fmt.Sprint(n))
	}
	return n
}

func (c *checker) enum(field string, n, last int64) int64 {
	if n < 0 || n > last {
		c.reject(field, fmt.Sprint(n))
		return 0
	}
	return n
}

func (c *checker) items(field string, n int) {
	if n > MaxItems {
		c.reject(field, fmt.Sprint(n))
	}
}
