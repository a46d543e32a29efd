package shell

import (
	"fmt"

	"github.com/pkg/errors"
)

// ExitCode is the exit code of the program. Each code has the same meaning in all commands.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0 // success
	ExitFailure     ExitCode = 1 // an error that no other code covers
	ExitUsage       ExitCode = 2 // invalid command line
	ExitRefused     ExitCode = 3 // the fleet would refuse the rule file
	ExitDifferent   ExitCode = 4 // the rule files differ (with --exit-code), or a replay differs from its trace
	ExitUnreachable ExitCode = 5 // no router answered
	ExitPartial     ExitCode = 6 // some routers did not answer
	ExitNotFound    ExitCode = 7 // no router or log knows the request or team, or the router keeps no trace
)

// ExitError is an error that sets the exit code. Message is empty if the command has already printed everything.
type ExitError struct {
	Code    ExitCode
	Message string
}

// Error returns the message.
func (e *ExitError) Error() string { return e.Message }

// Exitf returns an ExitError with a formatted message.
func Exitf(code ExitCode, format string, args ...any) error {
	return &ExitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf returns the exit code for an error: ExitOK for nil, and ExitFailure for an error that is no ExitError.
func CodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var exit *ExitError
	if errors.As(err, &exit) {
		return exit.Code
	}
	return ExitFailure
}
