package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/mangoweir/mangoweir/core"
	"github.com/mangoweir/mangoweir/internal/apicall"
)

// Options configure a Client; see apicall.Options for the defaults.
type Options = apicall.Options

// Client calls the object API.
type Client struct {
	calls *apicall.Client
}

// NewClient returns a client of the API at the base URL.
func NewClient(baseURL string, o Options) (*Client, error) {
	calls, err := apicall.New(baseURL, o)
	if err != nil {
		return nil, err
	}
	return &Client{calls: calls}, nil
}

// do sends a call.
func (c *Client) do(ctx context.Context, in call) (*response, error) {
	header := http.Header{}
	if in.ifMatch != "" {
		header.Set("If-Match", in.ifMatch)
	}
	in.Header, in.MaxBody, in.CheckResponse = header, MaxValueSize, in.checkResponse
	resp, err := c.calls.Do(ctx, in.Call)
	if err != nil {
		return nil, err
	}
	return &response{Response: resp, op: in.Op}, nil
}

// Get reads an object; one that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := checkKey(key); err != nil {
		return Object{}, err
	}
	resp, err := c.do(ctx, call{Call: apicall.Call{Op: "read " + key, Method: http.MethodGet, Path: ObjectsPath + key, Idempotent: true}})
	if err != nil {
		return Object{}, err
	}
	return resp.object(key)
}

// Put writes an object if its version is still expect, and returns the new version; expect 0 creates
// it. Put is not repeated once the platform may have seen it.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	return c.put(ctx, key, value, call{ifMatch: formatETag(expect), expect: expect})
}

// Replace writes an object whatever its version is, and returns the new version.
func (c *Client) Replace(ctx context.Context, key string, value []byte) (uint64, error) {
	return c.put(ctx, key, value, call{Call: apicall.Call{Idempotent: true}})
}

func (c *Client) put(ctx context.Context, key string, value []byte, in call) (uint64, error) {
	if err := checkKey(key); err != nil {
		return 0, err
	}
	if len(value) > MaxValueSize {
		return 0, &TooLargeError{Key: key, Size: len(value), Limit: MaxValueSize}
	}
	in.Op, in.Method, in.Path = "write "+key, http.MethodPut, ObjectsPath+key
	in.Key, in.Body, in.Write = key, value, true
	resp, err := c.do(ctx, in)
	if err != nil {
		return 0, err
	}
	var body versionBody
	if err := json.Unmarshal(resp.Body, &body); err != nil || body.Version == 0 {
		return 0, &UnknownOutcomeError{Op: in.Op, Err: in.MalformedResponse()}
	}
	return body.Version, nil
}

// Heads returns the versions of objects in the order of the keys.
func (c *Client) Heads(ctx context.Context, keys ...string) ([]Head, error) {
	if len(keys) > MaxHeads {
		return nil, &BadRequestError{Op: "read heads", Message: "too many keys"}
	}
	query := url.Values{"key": keys}
	in := call{Call: apicall.Call{Op: "read heads", Method: http.MethodGet, Path: HeadsPath, Query: query, Idempotent: true}}
	resp, err := c.do(ctx, in)
	if err != nil {
		return nil, err
	}
	var body headsBody
	if err := json.Unmarshal(resp.Body, &body); err != nil || len(body.Heads) != len(keys) {
		return nil, in.MalformedResponse()
	}
	return body.Heads, nil
}

// Watch waits until the version of an object is above after and returns it. It returns ok false
// when nothing changed within wait, at most MaxWatch. Watch is not repeated after a failure.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (o Object, ok bool, err error) {
	if err := checkKey(key); err != nil {
		return Object{}, false, err
	}
	wait = min(wait, MaxWatch)
	query := url.Values{
		"after":      {strconv.FormatUint(after, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	resp, err := c.do(ctx, call{Call: apicall.Call{
		Op: "watch " + key, Method: http.MethodGet, Path: WatchPath + key, Query: query, Wait: wait,
	}})
	if err != nil || resp.Status == http.StatusNoContent {
		return Object{}, false, err
	}
	o, err = resp.object(key)
	return o, err == nil && o.Version > after, err
}

// VMs returns the platform's list of VMs, which lags.
func (c *Client) VMs(ctx context.Context) ([]core.ListedVM, error) {
	var body vmsBody
	err := c.getJSON(ctx, "read VM list", VMsPath, &body)
	return body.VMs, err
}

// Status returns what an entry VM knows about the VMs of the deployment. The platform has no status.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var s Status
	err := c.getJSON(ctx, "read status", StatusPath, &s)
	return s, err
}

func (c *Client) getJSON(ctx context.Context, op, path string, to any) error {
	resp, err := c.do(ctx, call{Call: apicall.Call{Op: op, Method: http.MethodGet, Path: path, Idempotent: true}})
	if err != nil {
		return err
	}
	if resp.Status != http.StatusOK || json.Unmarshal(resp.Body, to) != nil {
		return malformedResponse(op)
	}
	return nil
}

func checkKey(key string) error {
	if !ValidKey(key) {
		return &BadRequestError{Op: "use key " + strconv.Quote(key), Message: "malformed key"}
	}
	return nil
}

func malformedResponse(op string) error { return &BadRequestError{Op: op, Message: "malformed answer"} }

// call is a call of this API.
type call struct {
	apicall.Call
	ifMatch string
	expect  uint64
}

// response is an answer without an error.
type response struct {
	*apicall.Response
	op string
}

// object returns the object that the answer carries.
func (r *response) object(key string) (Object, error) {
	if r.Status == http.StatusNotFound {
		return Object{Key: key}, nil
	}
	version, err := parseETag(r.Header.Get("ETag"))
	if err != nil || version == 0 {
		return Object{}, malformedResponse(r.op)
	}
	return Object{Key: key, Version: version, Value: r.Body}, nil
}

// checkResponse returns the error that an answer carries, or nil.
func (in call) checkResponse(resp *apicall.Response) error {
	if resp.Status < 300 {
		return nil
	}
	var body errorBody
	if json.Unmarshal(resp.Body, &body) != nil || body.Error.Kind == "" {
		return in.unexpectedResponse(resp.Status)
	}
	e := body.Error
	switch e.Kind {
	case kindNotFound:
		if in.Method == http.MethodGet {
			return nil
		}
	case kindConflict:
		return &ConflictError{Key: in.Key, Expected: in.expect, Version: e.Version}
	case kindTooLarge:
		return &TooLargeError{Key: in.Key, Size: len(in.Body), Limit: MaxValueSize}
	case kindRateLimited:
		return &RateLimitedError{Op: in.Op, RetryAfter: time.Duration(e.RetryAfterMillis) * time.Millisecond}
	case kindUnavailable:
		return &UnavailableError{Op: in.Op, Err: errors.New(e.Message)}
	case kindUnknown:
		return in.NoResponse(errors.New(e.Message))
	}
	return &BadRequestError{Op: in.Op, Message: e.Message}
}

// unexpectedResponse returns the error of an answer that is not in the API's shape, such as a gateway's.
func (in call) unexpectedResponse(status int) error {
	err := fmt.Errorf("status %d without an explanation", status)
	if status >= 500 {
		return in.NoResponse(err)
	}
	return &BadRequestError{Op: in.Op, Message: err.Error()}
}
