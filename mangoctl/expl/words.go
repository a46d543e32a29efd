package expl

import "mangolug.org/core/fleet"

// descriptions maps each reason to a sentence for operators.
var descriptions = map[fleet.Reason]string{
	fleet.ReasonNone:               "no reason was recorded",
	fleet.ReasonGranted:            "the scheduler gave it a place at a backend server",
	fleet.ReasonHeld:               "it waits, because every backend server it may use is full or other teams are further behind their share",
	fleet.ReasonUnauthorized:       "its bearer key is missing or belongs to no team in the rule file",
	fleet.ReasonBadRequest:         "the router could not read it as a request",
	fleet.ReasonBodyTooLarge:       "its body is larger than the router's limit",
	fleet.ReasonUnknownProduct:     "the rule file names no such product",
	fleet.ReasonTooManyOpen:        "the router has as many open requests as its limit allows",
	fleet.ReasonQueueFull:          "as many requests of this team wait at this router as its limit allows",
	fleet.ReasonQueueBytes:         "the bytes of this team's waiting requests are at the router's limit",
	fleet.ReasonWouldMissDeadline:  "the wait ahead is longer than the time left before its deadline",
	fleet.ReasonDeadlinePassed:     "its deadline passed before its answer was whole",
	fleet.ReasonNoServer:           "no backend server of the product is in service",
	fleet.ReasonNotReady:           "the router has no configuration in force yet",
	fleet.ReasonDraining:           "the router is stopping and takes no new requests",
	fleet.ReasonStopped:            "the router's time for stopping ended first",
	fleet.ReasonCallerGone:         "its caller closed the connection",
	fleet.ReasonRetryBudget:        "a further attempt would exceed the fleet's retry budget",
	fleet.ReasonNoMajority:         "the key's home reaches no majority of the listed routers",
	fleet.ReasonKeyHomeUnreachable: "the router that records its idempotency key did not answer in time",
	fleet.ReasonKeyInvalid:         "its idempotency key is not a UUIDv7",
	fleet.ReasonKeyMismatch:        "its idempotency key was used before for another request",
	fleet.ReasonKeyInProgress:      "an earlier request with its idempotency key still runs",
	fleet.ReasonKeyTooOld:          "its idempotency key was made before the key's home began to record keys",
	fleet.ReasonOutcomeUnknown:     "it may have run: a byte left the router and no whole answer came back",
	fleet.ReasonPoisonedPrompt:     "servers ended one after the other when they began to answer prompts with a part of its prompt",
	fleet.ReasonPoisonedRequest:    "servers ended one after the other while they ran this very request",
	fleet.ReasonVersionGone:        "its stream began at a software version of the backend servers that none of them has any longer",
	fleet.ReasonStreamUnknown:      "no router knows at which software version of the backend servers its stream began",
	fleet.ReasonServersLimited:     "all backend servers limit the requests per second that they take, and none takes it in time",
	fleet.ReasonConnectFailed:      "the backend server could not be reached; no byte left",
	fleet.ReasonServerOverloaded:   "the backend server was overloaded and did not begin it",
	fleet.ReasonServerFailed:       "the backend server failed",
	fleet.ReasonStreamBroken:       "the backend server's answer broke off before its end",
	fleet.ReasonForeignAnswer:      "the answer that came back belongs to another attempt and was dropped",
	fleet.ReasonServerLeaving:      "the backend server is leaving and takes no new work",
	fleet.ReasonDataCentreOut:      "operators took the data centre out of service",
	fleet.ReasonGrantExpired:       "its place at a backend server lapsed before it was sent",
	fleet.ReasonStaleTerm:          "its place came from a scheduler that another has replaced",
	fleet.ReasonSlowCaller:         "its caller read the answer too slowly",
	fleet.ReasonUnknownRoute:       "the configuration in force has no route for its host and path",
	fleet.ReasonTeamShare:          "its team asks for more than its share while all backend servers are busy",
	fleet.ReasonServersRest:        "all backend servers said that they want nothing for now",
}

// Describe returns a sentence that explains a reason to operators, or the name of a reason that has none.
func Describe(r fleet.Reason) string {
	if text, ok := descriptions[r]; ok {
		return text
	}
	return r.String()
}
