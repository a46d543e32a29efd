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
)

// Bounds of the platform's answers.
const (
	// MaxValue is the largest value of the configuration service in bytes.
	MaxValue = 1 << 20
	// MaxList is the largest list of VMs in bytes that is read.
	MaxList = 4 << 20
)

// versionHeader carries the version of the rule file.
const versionHeader = "Config-Version"

// StatusError is an answer of the platform other than the expected ones.
type StatusError struct {
	Path       string
	Status     int
	RetryAfter time.Duration // what the platform asked for; 0 if it did not say
}

// Error gives the path and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform: GET %s: status %d", e.Path, e.Status)
}

// TooLargeError is an answer above its bound.
type TooLargeError struct {
	Path  string
	Limit int // bytes
}

// Error gives the path and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("platform: GET %s: more than %d bytes", e.Path, e.Limit)
}

// ContentError is an answer that cannot be read.
type ContentError struct {
	Path string
	What string // what is wrong
}

// Error gives the path and what is wrong.
func (e *ContentError) Error() string { return fmt.Sprintf("platform: GET %s: %s", e.Path, e.What) }

// Client reads the platform; its zero value but for Base is ready to use.
type Client struct {
	Base string       // such as http://127.0.0.1:9500
	HTTP *http.Client // http.DefaultClient if nil; a Timeout must exceed the longest wait
}

// Rules reads the rule file if its version is above after, waiting for one up to wait; changed is false when the time is up.
func (c *Client) Rules(ctx context.Context, after uint64, wait time.Duration) (version uint64, text []byte, changed bool, err error) {
	const path = "/v1/config/rules"
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.FormatInt(wait.Milliseconds(), 10))
	answer, err := c.get(ctx, path, query)
	if err != nil {
		return 0, nil, false, err
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified {
		return 0, nil, false, nil
	}
	if answer.StatusCode != http.StatusOK {
		return 0, nil, false, statusError(path, answer)
	}
	version, err = strconv.ParseUint(answer.Header.Get(versionHeader), 10, 64)
	if err != nil || version == 0 {
		return 0, nil, false, &ContentError{Path: path, What: "no " + versionHeader + " above 0"}
	}
	text, err = readAll(path, answer.Body, MaxValue)
	if err != nil {
		return 0, nil, false, err
	}
	return version, text, true, nil
}

// vm is a VM as the platform writes it.
type vm struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Admin      string `json:"admin"`
	DataCentre string `json:"dataCentre"`
	Router     bool   `json:"router"`
	State      string `json:"state"`
}

// VMs reads the platform's list of VMs, which lags.
func (c *Client) VMs(ctx context.Context) ([]fleet.VM, error) {
	const path = "/v1/vms"
	answer, err := c.get(ctx, path, nil)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return nil, statusError(path, answer)
	}
	raw, err := readAll(path, answer.Body, MaxList)
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
	answer, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "platform")
	}
	return answer, nil
}

// statusError reads what an unexpected answer says of coming back.
func statusError(path string, answer *http.Response) error {
	seconds, _ := strconv.Atoi(answer.Header.Get("Retry-After"))
	return &StatusError{
		Path: path, Status: answer.StatusCode, RetryAfter: time.Duration(max(0, seconds)) * time.Second,
	}
}

// readAll reads a body of at most limit bytes.
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
