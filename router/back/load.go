package back

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"mangolug.org/core/fleet"
)

// maxLoadReportBytes is the maximum size of a load report.
const maxLoadReportBytes = 16 << 10

// loadReport is the JSON form of a server's load report.
type loadReport struct {
	Server    string `json:"server"`
	Epoch     uint64 `json:"epoch"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Limit     int    `json:"limit"`
	AgeMillis int64  `json:"ageMillis"`
}

// Load fetches the load report of a backend server. All errors are of type *ServerError.
func (c *Client) Load(ctx context.Context, server, address string) (fleet.Load, error) {
	c.once.Do(c.init)
	ctx, cancel := context.WithTimeout(ctx, c.Settings.LoadTimeout)
	defer cancel()
	fail := func(reason fleet.Reason, status int, err error) (fleet.Load, error) {
		return fleet.Load{}, &ServerError{Server: server, Reason: reason, Status: status, Err: err}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/load", nil)
	if err != nil {
		return fail(fleet.ReasonBadRequest, 0, err)
	}
	response, err := c.Do(request, server, false, nil)
	if err != nil {
		return fleet.Load{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fail(fleet.ReasonServerFailed, response.StatusCode, nil)
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxLoadReportBytes))
	if err != nil {
		return fail(fleet.ReasonServerFailed, response.StatusCode, err)
	}
	var l loadReport
	if err := json.Unmarshal(text, &l); err != nil {
		return fail(fleet.ReasonServerFailed, response.StatusCode, err)
	}
	if l.Server != server {
		return fail(fleet.ReasonForeignAnswer, response.StatusCode, fmt.Errorf("report of %q", l.Server))
	}
	if l.Running < 0 || l.Waiting < 0 || l.Limit < 0 || l.AgeMillis < 0 {
		return fail(fleet.ReasonServerFailed, response.StatusCode, fmt.Errorf("negative number"))
	}
	return fleet.Load{
		Server: l.Server, Epoch: l.Epoch, Running: l.Running,
		Waiting: l.Waiting, Limit: l.Limit, Age: l.AgeMillis,
	}, nil
}
