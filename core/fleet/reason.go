package fleet

//go:generate stringer -type=Reason,Outcome,VMState -linecomment -output=enums_string.go

// Reason says why a request was granted, held, refused, retried or ended.
type Reason int

// Reasons; the text after each is its name in answers, counters and logs.
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
)

// Trouble says whether the reason is one of a refusal, retry or failure, and no part of a request's usual way.
func (r Reason) Trouble() bool { return r != ReasonNone && r != ReasonGranted && r != ReasonHeld }

// MarshalText gives the reason's name as used in answers and counters.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText reads a reason's name; an unknown name becomes ReasonNone.
func (r *Reason) UnmarshalText(text []byte) error {
	*r = ReasonNone
	for c := ReasonNone; c <= ReasonServersRest; c++ {
		if c.String() == string(text) {
			*r = c
		}
	}
	return nil
}

// Outcome says how an attempt at a backend server ended.
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
