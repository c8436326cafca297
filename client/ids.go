package client

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"mustardmast/core/call"
	"mustardmast/core/fault"
	"mustardmast/io/header"
)

// IDsPath is the path that issues request ids.
const IDsPath = "/mustardmast/v1/request-ids"

// maxIDsAnswer bounds the answer to a request for ids.
const maxIDsAnswer = 1 << 20

// ownID returns an id for an idempotent request.
func ownID() string { return "own-" + rand.Text() }

// issued returns an id issued by the node at address, from the store or from a new batch. One batch is fetched at a
// time; others wait for it.
func (c *Client) issued(ctx context.Context, address string) (string, error) {
	for {
		id, wait := c.nodes.take(time.Now(), address)
		if id != "" {
			return id, nil
		}
		if wait == nil {
			asked := time.Now()
			ids, err := c.fetch(ctx, address)
			c.nodes.fetched(asked, address, ids)
			if err != nil {
				return "", err
			}
			continue
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return "", notSent(ctx, ctx.Err())
		}
	}
}

// fetch takes a batch of ids. Whatever goes wrong, the request that needs the id has not run.
func (c *Client) fetch(ctx context.Context, address string) ([]string, error) {
	target := address + IDsPath + "?count=" + strconv.Itoa(c.settings.IDBatchSize)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, notSent(ctx, err)
	}
	defer func() { _ = res.Body.Close() }() // all that counts was read
	if e := header.ReadError(res.Header); e != nil {
		return nil, fault.Wrap(refused{e}, e.Kind(), "request for ids").WithOutcome(fault.NotExecuted).WithRetryAfter(e.RetryAfter())
	}
	var answer struct {
		IDs []string `json:"request-ids"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxIDsAnswer)).Decode(&answer); err != nil {
		return nil, fault.Wrap(refused{err}, fault.NotReady, "answer to the request for ids cannot be read")
	}
	if res.StatusCode != http.StatusOK || len(answer.IDs) == 0 {
		return nil, fault.Wrap(refused{errors.Errorf("status %d", res.StatusCode)}, fault.NotReady, "no request ids")
	}
	for _, id := range answer.IDs {
		if id == "" || len(id) > call.MaxIDLength {
			err := errors.Errorf("%d characters; allowed: 1 to %d", len(id), call.MaxIDLength)
			return nil, fault.Wrap(refused{err}, fault.NotReady, "issued request id")
		}
	}
	return answer.IDs, nil
}

// notSent turns an error into one that is true before any byte of the request left.
func notSent(ctx context.Context, err error) *fault.Error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return fault.Wrap(err, fault.DeadlinePassed, "")
	case context.Canceled:
		return fault.Wrap(err, fault.Canceled, "").WithOutcome(fault.NotExecuted)
	default:
		return fault.Wrap(refused{err}, fault.PeerUnreachable, "")
	}
}
