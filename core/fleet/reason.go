package fleet

//go:generate stringer -type=Reason,Outcome,VMState -linecomment -output=enums_string.go

// Reason is the reason for which a request was granted, held, refused, retried or ended.
type Reason int

// Reasons; the line comments are the names in answers, counters and logs.
const (
	ReasonNone               Reason = iota // none
	ReasonGranted                          // granted
	ReasonHeld                             // held
	ReasonUnauthorized                     // unauthorized
	ReasonBadRequest                       // badRequest
	ReasonBodyTooLarge                     // bodyTooLarge
	ReasonUnknownProduct                   // unknownProduct
	ReasonTooManyOpen                      // tooManyOpen
	ReasonQueueFull                        // queueFull
	ReasonQueueBytes                       // queueBytes
	ReasonWouldMissDeadline                // wouldMissDeadline
	ReasonDeadlinePassed                   // deadlinePassed
	ReasonNoServer                         // noServer
	ReasonNotReady                         // notReady
	ReasonDraining                         // draining
	ReasonStopped                          // stopped
	ReasonCallerGone                       // callerGone
	ReasonRetryBudget                      // retryBudget
	ReasonNoMajority                       // noMajority
	ReasonKeyHomeUnreachable               // keyHomeUnreachable
	ReasonKeyInvalid                       // keyInvalid
	ReasonKeyMismatch                      // keyMismatch
	ReasonKeyInProgress                    // keyInProgress
	ReasonKeyTooOld                        // keyTooOld
	ReasonOutcomeUnknown                   // outcomeUnknown
	ReasonConnectFailed                    // connectFailed
	ReasonServerOverloaded                 // serverOverloaded
	ReasonServerFailed                     // serverFailed
	ReasonStreamBroken                     // streamBroken
	ReasonForeignAnswer                    // foreignAnswer
	ReasonServerLeaving                    // serverLeaving
	ReasonDataCentreOut                    // dataCentreOut
	ReasonGrantExpired                     // grantExpired
	ReasonStaleTerm                        // staleTerm
	ReasonSlowCaller                       // slowCaller
	ReasonUnknownRoute                     // unknownRoute
	ReasonTeamShare                        // teamShare
	ReasonServersRest                      // serversRest
	ReasonPoisonedPrompt                   // poisonedPrompt
	ReasonServersLimited                   // serversLimited
	ReasonPoisonedRequest                  // poisonedRequest
	ReasonVersionGone                      // versionGone
	ReasonStreamUnknown                    // streamUnknown
)

// Failed reports whether the reason is one of a refusal, retry or failure, and not part of a request's normal course.
func (r Reason) Failed() bool { return r != ReasonNone && r != ReasonGranted && r != ReasonHeld }

// MarshalText returns the name of the reason, as used in answers and counters.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a reason. An unknown name becomes ReasonNone.
func (r *Reason) UnmarshalText(text []byte) error {
	*r = ReasonNone
	for c := ReasonNone; c <= ReasonServersLimited; c++ {
		if c.String() == string(text) {
			*r = c
		}
	}
	return nil
}

// Outcome is the result of an attempt at a backend server.
type Outcome int

// Outcomes of an attempt.
const (
	OutcomeNone       Outcome = iota // none
	OutcomeCompleted                 // completed
	OutcomeReturned                  // returned
	OutcomeCancelled                 // cancelled
	OutcomeOverloaded                // overloaded
	OutcomeFailed                    // failed
	OutcomeUnreached                 // unreached
)

// VMState is the state of a VM on the platform's list.
type VMState int

// States of a VM on the platform's list.
const (
	VMLive    VMState = iota // live
	VMLeaving                // leaving
)
