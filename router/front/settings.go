package front

import "time"

// Settings configures the limits for callers. A zero field takes its default.
type Settings struct {
	HeaderBytes         int           // maximum size of a request's header
	BodyBytes           int64         // maximum size of a request's body
	BufferedBodyBytes   int64         // maximum size of all bodies held at once
	MaxOpen             int           // maximum number of open requests
	MaxOpenPerTeam      int           // maximum number of open requests per team
	Timeout             time.Duration // timeout of a request that sets none
	TimeoutLimit        time.Duration // longest timeout that a request may set
	ReadTimeout         time.Duration // time for a caller to send its header, and again to send its body
	WriteTimeout        time.Duration // time for a caller to read one part of its answer
	IdleTimeout         time.Duration // time that a caller's connection may be idle between requests
	BufferedAnswerBytes int64         // maximum size of an answer that is buffered whole before it is relayed
	RecordedAnswerBytes int           // maximum size of an answer that a key's home records
	Attempts            int           // maximum number of attempts per request
	RetryFraction       float64       // retries earned per first attempt
	RetryBurst          float64       // maximum number of retries saved up
	ProgressInterval    time.Duration // interval between reports of a stream's cost so far
	StallTimeout        time.Duration // longest time without an event from the server within a stream
}

// Defaults of Settings.
const (
	DefaultHeaderBytes         = 32 << 10
	DefaultBodyBytes           = 4 << 20
	DefaultBufferedBodyBytes   = 128 << 20
	DefaultMaxOpen             = 8192
	DefaultMaxOpenPerTeam      = 2048
	DefaultTimeout             = 30 * time.Second
	DefaultTimeoutLimit        = 2 * time.Minute
	DefaultReadTimeout         = 10 * time.Second
	DefaultWriteTimeout        = 10 * time.Second
	DefaultIdleTimeout         = 60 * time.Second
	DefaultBufferedAnswerBytes = 1 << 20
	DefaultRecordedAnswerBytes = 32 << 10
	DefaultAttempts            = 3
	DefaultRetryFraction       = 0.1
	DefaultRetryBurst          = 20
	DefaultProgressInterval    = 250 * time.Millisecond
	DefaultStallTimeout        = 20 * time.Second
)

func (s *Settings) fill() {
	fillInt(&s.HeaderBytes, DefaultHeaderBytes)
	fillInt64(&s.BodyBytes, DefaultBodyBytes)
	fillInt64(&s.BufferedBodyBytes, DefaultBufferedBodyBytes)
	fillInt(&s.MaxOpen, DefaultMaxOpen)
	fillInt(&s.MaxOpenPerTeam, DefaultMaxOpenPerTeam)
	fillDuration(&s.Timeout, DefaultTimeout)
	fillDuration(&s.TimeoutLimit, DefaultTimeoutLimit)
	fillDuration(&s.ReadTimeout, DefaultReadTimeout)
	fillDuration(&s.WriteTimeout, DefaultWriteTimeout)
	fillDuration(&s.IdleTimeout, DefaultIdleTimeout)
	fillInt64(&s.BufferedAnswerBytes, DefaultBufferedAnswerBytes)
	fillInt(&s.RecordedAnswerBytes, DefaultRecordedAnswerBytes)
	fillInt(&s.Attempts, DefaultAttempts)
	fillFloat(&s.RetryFraction, DefaultRetryFraction)
	fillFloat(&s.RetryBurst, DefaultRetryBurst)
	fillDuration(&s.ProgressInterval, DefaultProgressInterval)
	fillDuration(&s.StallTimeout, DefaultStallTimeout)
}

func fillInt(value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
}

func fillInt64(value *int64, fallback int64) {
	if *value == 0 {
		*value = fallback
	}
}

func fillDuration(value *time.Duration, fallback time.Duration) {
	if *value == 0 {
		*value = fallback
	}
}

func fillFloat(value *float64, fallback float64) {
	if *value == 0 {
		*value = fallback
	}
}
