package shell

import (
	"fmt"

	"github.com/pkg/errors"
)

// ExitCode is the exit code of the program; each has one meaning in all commands.
type ExitCode int

// Exit codes.
const (
	ExitOK          ExitCode = 0 // done, nothing amiss
	ExitFailure     ExitCode = 1 // a fault that no other code names
	ExitUsage       ExitCode = 2 // the command line is wrong
	ExitRefused     ExitCode = 3 // the fleet would refuse the rule file
	ExitDifferent   ExitCode = 4 // the rule files differ, with --exit-code
	ExitUnreachable ExitCode = 5 // no router answered
	ExitPartial     ExitCode = 6 // some routers did not answer
	ExitNotFound    ExitCode = 7 // no router knows the request or team
)

// ExitError ends the program with a code; Message is empty when all was said already.
type ExitError struct {
	Code    ExitCode
	Message string
}

// Error gives the message.
func (e *ExitError) Error() string { return e.Message }

// Exitf makes an ExitError from a format.
func Exitf(code ExitCode, format string, args ...any) error {
	return &ExitError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// CodeOf gives the exit code for an error.
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
