package wire

import "fmt"

// Bounds on what a peer may send.
const (
	// MaxName is the longest name of a team, server, product or key, in bytes.
	MaxName = 256
	// MaxCount is the largest count or cost that a message may carry.
	MaxCount = 1 << 40
	// MaxItems is the largest number of entries in a list of a message.
	MaxItems = 100_000
	// MaxMessage is the largest encoded envelope, in bytes; it holds a rule file of 1 MB.
	MaxMessage = 2 << 20
)

// FieldError says which field of a message was refused.
type FieldError struct {
	Field string
	Value string
}

// Error gives the field and its value.
func (e *FieldError) Error() string {
	return fmt.Sprintf("field %s has the unacceptable value %q", e.Field, e.Value)
}

// checker notes the first field that is out of bounds.
type checker struct {
	failed *FieldError
}

func (c *checker) refuse(field, value string) {
	if c.failed == nil {
		c.failed = &FieldError{Field: field, Value: value}
	}
}

func (c *checker) name(field, s string) string {
	if s == "" || len(s) > MaxName {
		c.refuse(field, s[:min(len(s), MaxName)])
	}
	return s
}

// bounded accepts a name that may be left out.
func (c *checker) bounded(field, s string) string {
	if s == "" {
		return s
	}
	return c.name(field, s)
}

func (c *checker) count(field string, n int64) int64 {
	if n < 0 || n > MaxCount {
		c.refuse(field, fmt.Sprint(n))
	}
	return n
}

func (c *checker) enum(field string, n, last int64) int64 {
	if n < 0 || n > last {
		c.refuse(field, fmt.Sprint(n))
		return 0
	}
	return n
}

func (c *checker) items(field string, n int) {
	if n > MaxItems {
		c.refuse(field, fmt.Sprint(n))
	}
}
