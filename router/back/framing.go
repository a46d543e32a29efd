package back

import "net/http"

//go:generate stringer -type=Framing -linecomment -output=framing_string.go

// Framing is the way in which a response shows where its body ends.
type Framing int

// Framings of a response.
const (
	FramingNone       Framing = iota // none
	FramingChunked                   // chunked
	FramingLength                    // length
	FramingConnection                // connection
)

// FramingOf returns the framing of the response to a request with the given method; FramingNone means that it has no body.
func FramingOf(method string, response *http.Response) Framing {
	switch {
	case method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified:
		return FramingNone
	case len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked":
		return FramingChunked
	case response.ContentLength >= 0:
		return FramingLength
	}
	return FramingConnection
}
