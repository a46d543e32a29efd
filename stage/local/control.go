package local

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/bulletin/serve"
	"mangolug.org/core/report"
	"mangolug.org/desk/record"
	"mangolug.org/engine/batch"
)

const (
	callLimit = 5 * time.Second // of a call to a stand-in or an admin address
	pollTime  = 20 * time.Millisecond
)

var control = &http.Client{Timeout: callLimit}

// StatusError is an HTTP status other than 200 from a stand-in or an admin address.
type StatusError struct {
	URL    string
	Status int
	Body   string
}

// Error gives the call, its status and the answer's body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s: status %d: %s", e.URL, e.Status, e.Body)
}

func send(method, url string, body []byte) ([]byte, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	response, err := control.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &StatusError{URL: url, Status: response.StatusCode, Body: strings.TrimSpace(string(answer))}
	}
	return answer, nil
}

func writeJSON(path string, list serve.VMList) error {
	text, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, path)
	}
	return errors.Wrap(os.WriteFile(path, text, 0o600), path)
}

// Until polls a condition until it holds; at the limit it gives an error with the condition's last one.
func Until(limit time.Duration, holds func() error) error {
	ticker := time.NewTicker(pollTime)
	defer ticker.Stop()
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	for {
		err := holds()
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-deadline.C:
			return errors.Wrapf(err, "not within %v", limit)
		}
	}
}

// WaitReady waits until every running router is ready and regards all running ones as live.
func (f *Fleet) WaitReady(limit time.Duration) error {
	running := 0
	for _, r := range f.Routers {
		if r.Running() {
			running++
		}
	}
	return Until(limit, func() error {
		for _, r := range f.Routers {
			if !r.Running() {
				continue
			}
			if err := f.ready(r, running); err != nil {
				return errors.Wrap(err, r.Name)
			}
		}
		return nil
	})
}

func (f *Fleet) ready(r *Router, running int) error {
	if _, err := send(http.MethodGet, "http://"+r.Admin+"/readyz", nil); err != nil {
		return err
	}
	status, err := r.Status()
	if err != nil {
		return err
	}
	live := 1
	for _, p := range status.Peers {
		if p.Live && p.Name != r.Name {
			live++
		}
	}
	if live < running {
		return errors.Errorf("regards %d of %d routers as live", live, running)
	}
	return nil
}

// Status gives a router's account of itself.
func (r *Router) Status() (report.Status, error) {
	var status report.Status
	answer, err := send(http.MethodGet, "http://"+r.Admin+"/status", nil)
	if err != nil {
		return status, err
	}
	return status, errors.Wrap(json.Unmarshal(answer, &status), "status")
}

// Rules gives the fleet's rule file, with some data centres out of service.
func (f *Fleet) Rules(out ...string) string { return f.Site.Rules(f.Servers, out...) }

// VMs gives the fleet's list of VMs, with the named ones leaving.
func (f *Fleet) VMs(leaving ...string) serve.VMList {
	state := func(name string) string {
		for _, l := range leaving {
			if l == name {
				return "leaving"
			}
		}
		return "live"
	}
	var list serve.VMList
	for _, r := range f.Routers {
		list.VMs = append(list.VMs, serve.VM{Name: r.Name, Address: r.PeerAddress, Admin: r.Admin, DataCentre: r.DataCentre, Router: true, State: state(r.Name)})
	}
	for _, s := range f.Servers {
		list.VMs = append(list.VMs, serve.VM{Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, State: state(s.Name)})
	}
	return list
}

// Publish publishes a rule file as the next version, or as the version given in query, and gives the version.
func (f *Fleet) Publish(text, query string) (uint64, error) {
	answer, err := send(http.MethodPut, f.PlatURL+"/control/rules?"+query, []byte(text))
	if err != nil {
		return 0, err
	}
	var version uint64
	_, err = fmt.Sscan(string(answer), &version)
	return version, errors.Wrap(err, "version")
}

// PublishVMs replaces the platform's list of VMs.
func (f *Fleet) PublishVMs(list serve.VMList) error {
	text, err := json.Marshal(list)
	if err != nil {
		return errors.Wrap(err, "list of VMs")
	}
	_, err = send(http.MethodPut, f.PlatURL+"/control/vms", text)
	return err
}

// SteerPlatform makes one POST to the platform's control interface, such as "down?on=true".
func (f *Fleet) SteerPlatform(call string) error {
	_, err := send(http.MethodPost, f.PlatURL+"/control/"+call, nil)
	return err
}

// PlatformCounts gives the calls that the platform counted.
func (f *Fleet) PlatformCounts() (serve.Counts, error) {
	var counts serve.Counts
	answer, err := send(http.MethodGet, f.PlatURL+"/control/counts", nil)
	if err != nil {
		return counts, err
	}
	return counts, errors.Wrap(json.Unmarshal(answer, &counts), "counts")
}

// Steer makes one POST to a backend server's control interface, such as "stall?on=true".
func (s Server) Steer(call string) error {
	_, err := send(http.MethodPost, "http://"+s.Listen+"/control/"+call, nil)
	return err
}

// EngineRecord gives all that an engine did.
func (s Server) EngineRecord() (batch.Record, error) {
	var all batch.Record
	answer, err := send(http.MethodGet, "http://"+s.Listen+"/control/record", nil)
	if err != nil {
		return all, err
	}
	return all, errors.Wrap(json.Unmarshal(answer, &all), "record")
}

// DeskRecord gives all that a desk did.
func (s Server) DeskRecord() (record.Record, error) {
	var all record.Record
	answer, err := send(http.MethodGet, "http://"+s.Listen+"/control/record", nil)
	if err != nil {
		return all, err
	}
	return all, errors.Wrap(json.Unmarshal(answer, &all), "record")
}

// ServersOf gives a product's backend servers.
func (f *Fleet) ServersOf(product string) []Server {
	var list []Server
	for _, s := range f.Servers {
		if s.Product == product {
			list = append(list, s)
		}
	}
	return list
}

// KeepLogs copies the fleet's logs to a folder.
func (f *Fleet) KeepLogs(dir string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "logs")
	}
	for _, p := range f.processes() {
		text, err := os.ReadFile(p.Log)
		if err != nil {
			continue
		}
		if err := os.WriteFile(filepath.Join(dir, p.Name+".log"), text, 0o600); err != nil {
			return errors.Wrap(err, "logs")
		}
	}
	return nil
}
