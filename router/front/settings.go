package front

import "time"

// Settings bounds what callers may use; a zero field takes its default.
type Settings struct {
	HeaderBytes   int           // of a request's header
	BodyBytes     int64         // of a request's body
	HeldBytes     int64         // of all bodies held at once
	Open          int           // requests open at once
	OpenPerTeam   int           // requests of one team open at once
	Timeout       time.Duration // of a request that names none
	TimeoutLimit  time.Duration // longest that a request may name
	ReadTimeout   time.Duration // for a caller to send its header, and again its body
	WriteTimeout  time.Duration // for a caller to take one part of its answer
	IdleTimeout   time.Duration // for a caller's connection between requests
	PlainBytes    int64         // of an answer that is checked to be whole before it is passed on
	RecordBytes   int           // of an answer that a key's home records
	Attempts      int           // tries of one request
	RetryFraction float64       // retries per first try
	RetryBurst    float64       // retries that may be saved up
	ProgressEvery time.Duration // time between two reports of a stream's cost so far
	StallTimeout  time.Duration // longest silence of a server within a stream
}

// Defaults of Settings.
const (
	DefaultHeaderBytes   = 32 << 10
	DefaultBodyBytes     = 4 << 20
	DefaultHeldBytes     = 128 << 20
	DefaultOpen          = 8192
	DefaultOpenPerTeam   = 2048
	DefaultTimeout       = 30 * time.Second
	DefaultTimeoutLimit  = 2 * time.Minute
	DefaultReadTimeout   = 10 * time.Second
	DefaultWriteTimeout  = 10 * time.Second
	DefaultIdleTimeout   = 60 * time.Second
	DefaultPlainBytes    = 1 << 20
	DefaultRecordBytes   = 32 << 10
	DefaultAttempts      = 3
	DefaultRetryFraction = 0.1
	DefaultRetryBurst    = 20
	DefaultProgressEvery = 250 * time.Millisecond
	DefaultStallTimeout  = 20 * time.Second
)

func (s *Settings) fill() {
	fillInt(&s.HeaderBytes, DefaultHeaderBytes)
	fillInt64(&s.BodyBytes, DefaultBodyBytes)
	fillInt64(&s.HeldBytes, DefaultHeldBytes)
	fillInt(&s.Open, DefaultOpen)
	fillInt(&s.OpenPerTeam, DefaultOpenPerTeam)
	fillTime(&s.Timeout, DefaultTimeout)
	fillTime(&s.TimeoutLimit, DefaultTimeoutLimit)
	fillTime(&s.ReadTimeout, DefaultReadTimeout)
	fillTime(&s.WriteTimeout, DefaultWriteTimeout)
	fillTime(&s.IdleTimeout, DefaultIdleTimeout)
	fillInt64(&s.PlainBytes, DefaultPlainBytes)
	fillInt(&s.RecordBytes, DefaultRecordBytes)
	fillInt(&s.Attempts, DefaultAttempts)
	fillFloat(&s.RetryFraction, DefaultRetryFraction)
	fillFloat(&s.RetryBurst, DefaultRetryBurst)
	fillTime(&s.ProgressEvery, DefaultProgressEvery)
	fillTime(&s.StallTimeout, DefaultStallTimeout)
}

func fillInt(value *int, other int) {
	if *value == 0 {
		*value = other
	}
}

func fillInt64(value *int64, other int64) {
	if *value == 0 {
		*value = other
	}
}

func fillTime(value *time.Duration, other time.Duration) {
	if *value == 0 {
		*value = other
	}
}

func fillFloat(value *float64, other float64) {
	if *value == 0 {
		*value = other
	}
}
