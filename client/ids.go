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

// IDsPath is the path of the endpoint that issues request ids.
const IDsPath = "/mustardmast/v1/request-ids"

// maxIDsResponseBytes limits how much is read of the response to a request for ids.
const maxIDsResponseBytes = 1 << 20

// newRandomID returns a random id for an idempotent request.
func newRandomID() string { return "own-" + rand.Text() }

// issuedID returns an id issued by the node at address, from the pool or from a new batch. Only one batch is fetched at
// a time; concurrent callers wait for it.
func (c *Client) issuedID(ctx context.Context, address string) (string, error) {
	for {
		id, wait := c.nodes.takeID(time.Now(), address)
		if id != "" {
			return id, nil
		}
		if wait == nil {
			requestedAt := time.Now()
			ids, err := c.fetchIDs(ctx, address)
			c.nodes.storeIDs(requestedAt, address, ids)
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

// fetchIDs fetches a batch of ids. Every error states that the request that needs the id has not run.
func (c *Client) fetchIDs(ctx context.Context, address string) ([]string, error) {
	target := address + IDsPath + "?count=" + strconv.Itoa(c.settings.IDBatchSize)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, "")
	}
	res, err := c.httpClient.Do(req)
	if err != nil {
		return nil, notSent(ctx, err)
	}
	defer func() { _ = res.Body.Close() }() // everything needed was read
	if e := header.ReadError(res.Header); e != nil {
		return nil, fault.Wrap(notSentError{e}, e.Kind(), "request for ids").WithOutcome(fault.NotExecuted).WithRetryAfter(e.RetryAfter())
	}
	var response struct {
		IDs []string `json:"request-ids"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, maxIDsResponseBytes)).Decode(&response); err != nil {
		return nil, fault.Wrap(notSentError{err}, fault.NotReady, "decode the response to the request for ids")
	}
	if res.StatusCode != http.StatusOK || len(response.IDs) == 0 {
		return nil, fault.Wrap(notSentError{errors.Errorf("no request ids in the response, status %d", res.StatusCode)}, fault.NotReady, "request for ids")
	}
	for _, id := range response.IDs {
		if id == "" || len(id) > call.MaxIDLength {
			err := errors.Errorf("length is %d bytes; allowed: 1 to %d", len(id), call.MaxIDLength)
			return nil, fault.Wrap(notSentError{err}, fault.NotReady, "issued request id")
		}
	}
	return response.IDs, nil
}

// notSent returns the error of a request of which no byte was sent.
func notSent(ctx context.Context, err error) *fault.Error {
	switch ctx.Err() {
	case context.DeadlineExceeded:
		return fault.Wrap(err, fault.DeadlinePassed, "")
	case context.Canceled:
		return fault.Wrap(err, fault.Canceled, "").WithOutcome(fault.NotExecuted)
	default:
		return fault.Wrap(notSentError{err}, fault.PeerUnreachable, "")
	}
}
