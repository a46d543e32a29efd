package plat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"mangolug.org/core/fleet"
	"mangolug.org/router/back"
)

// Limits on the size of the platform's responses.
const (
	// MaxValue is the largest value of the configuration service, in bytes.
	MaxValue = 1 << 20
	// MaxList is the largest list of VMs that is read, in bytes.
	MaxList = 4 << 20
)

// versionHeader is the response header with the version of the rule file.
const versionHeader = "Config-Version"

// StatusError is the error for a response of the platform with an unexpected status.
type StatusError struct {
	Path       string
	Status     int
	RetryAfter time.Duration // from the Retry-After header; 0 if there is none
}

// Error returns a message with the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: GET %s: status %d", e.Path, e.Status)
}

// TooLargeError is the error for a response body that exceeds its size limit.
type TooLargeError struct {
	Path  string
	Limit int // bytes
}

// Error returns a message with the path and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform: GET %s: more than %d bytes", e.Path, e.Limit)
}

// ContentError is the error for a response that cannot be parsed.
type ContentError struct {
	Path string
	What string // what is wrong
}

// Error returns a message with the path and what is wrong.
func (e *ContentError) Error() string { return fmt.Sprintf("platform: GET %s: %s", e.Path, e.What) }

// Client reads from the platform. Only Base must be set before use.
type Client struct {
	Base string       // base URL, such as http://127.0.0.1:9500
	HTTP *http.Client // http.DefaultClient if nil; a Timeout must exceed the longest wait
}

// Rules reads the rule file if its version is above after, and waits for such a version for at most wait. If there is
// none, changed is false.
func (c *Client) Rules(ctx context.Context, after uint64, wait time.Duration) (version uint64, text []byte, changed bool, err error) {
	const path = "/v1/config/rules"
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	response, err := c.get(ctx, path, query)
	if err != nil {
		return 0, nil, false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return 0, nil, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return 0, nil, false, statusError(path, response)
	}
	version, err = strconv.ParseUint(response.Header.Get(versionHeader), 10, 64)
	if err != nil || version == 0 {
		return 0, nil, false, &ContentError{Path: path, What: "no " + versionHeader + " above 0"}
	}
	if !response.Uncompressed && back.FramingOf(http.MethodGet, response) == back.FramingConnection { // gzip has a checksum at its end
		return 0, nil, false, &ContentError{Path: path, What: "neither Content-Length nor chunked encoding, one of which is needed to tell a truncated rule file from a whole one"}
	}
	text, err = readAll(path, response.Body, MaxValue)
	if err != nil {
		return 0, nil, false, err
	}
	return version, text, true, nil
}

// vm is a VM as encoded by the platform.
type vm struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Admin      string `json:"admin"`
	DataCentre string `json:"dataCentre"`
	Router     bool   `json:"router"`
	State      string `json:"state"`
}

// VMs reads the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]fleet.VM, error) {
	const path = "/v1/vms"
	response, err := c.get(ctx, path, nil)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, statusError(path, response)
	}
	raw, err := readAll(path, response.Body, MaxList)
	if err != nil {
		return nil, err
	}
	var list struct {
		VMs []vm `json:"vms"`
	}
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, &ContentError{Path: path, What: err.Error()}
	}
	vms := make([]fleet.VM, 0, len(list.VMs))
	for _, v := range list.VMs {
		state, err := parseState(v.State)
		if err != nil || v.Name == "" {
			return nil, &ContentError{Path: path, What: fmt.Sprintf("VM %q has state %q", v.Name, v.State)}
		}
		vms = append(vms, fleet.VM{
			Name: v.Name, Address: v.Address, Admin: v.Admin, DataCentre: v.DataCentre, Router: v.Router, State: state,
		})
	}
	return vms, nil
}

func parseState(text string) (fleet.VMState, error) {
	for _, s := range []fleet.VMState{fleet.VMLive, fleet.VMLeaving} {
		if s.String() == text {
			return s, nil
		}
	}
	return 0, errors.Errorf("unknown state %q", text)
}

func (c *Client) get(ctx context.Context, path string, query url.Values) (*http.Response, error) {
	target := strings.TrimSuffix(c.Base, "/") + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	client := c.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	return response, nil
}

// statusError returns a *StatusError for an unexpected response, with the delay of its Retry-After header.
func statusError(path string, response *http.Response) error {
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return &StatusError{
		Path: path, Status: response.StatusCode, RetryAfter: time.Duration(max(0, seconds)) * time.Second,
	}
}

// readAll reads a body of at most limit bytes, and returns a *TooLargeError if it is longer.
func readAll(path string, body io.Reader, limit int) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "platform: GET "+path)
	}
	if len(text) > limit {
		return nil, &TooLargeError{Path: path, Limit: limit}
	}
	return text, nil
}
