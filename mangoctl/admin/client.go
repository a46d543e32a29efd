package admin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"sort"
	"sync"

	"github.com/pkg/errors"

	"mangolug.org/core/report"
)

// maxResponseBytes limits the bytes read of one response.
const maxResponseBytes = 64 << 20

// StatusError is returned for a response with a status other than 200.
type StatusError struct {
	Router string
	Status int
}

// Error returns a message with the router and the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("router %s answered with status %d", e.Router, e.Status)
}

// IsNotFound reports whether err is a response with status 404: the router does not know the request or team.
func IsNotFound(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status == http.StatusNotFound
}

// Client queries routers over HTTP.
type Client struct {
	HTTP *http.Client
}

// Status is one router's response to a status query. Err is set if the query failed.
type Status struct {
	Address string        `json:"address"`
	Status  report.Status `json:"status"`
	Err     error         `json:"-"`
}

// Status queries one router for its status.
func (c *Client) Status(router string) Status {
	s := Status{Address: router}
	s.Err = c.get(router, "/status", &s.Status)
	return s
}

// Request queries one router for the explanation of a request.
func (c *Client) Request(router, id string) (report.Explanation, error) {
	var e report.Explanation
	err := c.get(router, "/explain/request/"+url.PathEscape(id), &e)
	return e, err
}

// Team queries one router for the explanation of a team.
func (c *Client) Team(router, name string) (report.TeamExplanation, error) {
	var e report.TeamExplanation
	err := c.get(router, "/explain/team/"+url.PathEscape(name), &e)
	return e, err
}

// Fleet queries the given routers and every peer that they list with an admin address, and returns the results ordered by router name.
func (c *Client) Fleet(routers []string) []Status {
	answers := c.queryAll(routers)
	queried := make(map[string]bool)
	for _, r := range routers {
		queried[r] = true
	}
	known := make(map[string]bool)
	for _, a := range answers {
		known[a.Status.Router] = true
	}
	var unqueried []string
	for _, a := range answers {
		for _, p := range a.Status.Peers {
			if p.Admin == "" || queried[p.Admin] || known[p.Name] {
				continue
			}
			queried[p.Admin] = true
			unqueried = append(unqueried, p.Admin)
		}
	}
	answers = append(answers, c.queryAll(unqueried)...)
	sort.SliceStable(answers, func(i, j int) bool {
		return answers[i].Status.Router < answers[j].Status.Router
	})
	return answers
}

// Addresses returns the admin addresses of all answers.
func Addresses(answers []Status) []string {
	list := make([]string, 0, len(answers))
	for _, a := range answers {
		list = append(list, a.Address)
	}
	return list
}

// Each calls query once for every address, with a bounded number of calls at a time, and returns when all have returned.
func Each(addresses []string, query func(i int, address string)) {
	const parallel = 16
	slots := make(chan struct{}, parallel)
	var wait sync.WaitGroup
	for i, a := range addresses {
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			query(i, a)
		})
	}
	wait.Wait()
}

func (c *Client) queryAll(routers []string) []Status {
	answers := make([]Status, len(routers))
	Each(routers, func(i int, router string) { answers[i] = c.Status(router) })
	return answers
}

func (c *Client) get(router, path string, into any) error {
	answer, err := c.HTTP.Get("http://" + router + path)
	if err != nil {
		return errors.Wrapf(err, "ask router %s", router)
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		return &StatusError{Router: router, Status: answer.StatusCode}
	}
	err = json.NewDecoder(io.LimitReader(answer.Body, maxResponseBytes)).Decode(into)
	return errors.Wrapf(err, "read answer of router %s", router)
}
