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

// Options configures a Client. The defaults are those of apicall.Options.
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

// do sends a call and returns its response, or the error that the response carries.
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

// Get reads an object. An object that does not exist has version 0.
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

// Put writes an object if its version is still expect, and returns the new version. An expect of 0 creates
// the object. Put is not sent again when the platform may have received it.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	return c.put(ctx, key, value, call{ifMatch: formatETag(expect), expect: expect})
}

// Replace writes an object unconditionally and returns the new version.
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

// Heads returns the versions of objects in the order of the keys, of which there are at most MaxHeads.
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

// Watch waits until the version of an object is above after and returns the object. It returns ok false
// when the object has not changed within wait, which is at most MaxWatch. Watch is not sent again after a
// failure.
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

// VMs returns the platform's list of VMs. The list may be out of date.
func (c *Client) VMs(ctx context.Context) ([]core.ListedVM, error) {
	var body vmsBody
	err := c.getJSON(ctx, "read VM list", VMsPath, &body)
	return body.VMs, err
}

// Status returns the status of the deployment from an entry VM. The platform itself does not offer it.
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
		return badResponse(op)
	}
	return nil
}

func checkKey(key string) error {
	if !ValidKey(key) {
		return &BadRequestError{Op: "use key " + strconv.Quote(key), Message: "malformed key"}
	}
	return nil
}

func badResponse(op string) error { return &BadRequestError{Op: op, Message: "malformed response"} }

// call is a call of the object API. ifMatch and expect are the condition of a conditional write.
type call struct {
	apicall.Call
	ifMatch string
	expect  uint64
}

// response is a response that carries no error, together with the name of its call.
type response struct {
	*apicall.Response
	op string
}

// object returns the object that the response carries.
func (r *response) object(key string) (Object, error) {
	if r.Status == http.StatusNotFound {
		return Object{Key: key}, nil
	}
	version, err := parseETag(r.Header.Get("ETag"))
	if err != nil || version == 0 {
		return Object{}, badResponse(r.op)
	}
	return Object{Key: key, Version: version, Value: r.Body}, nil
}

// checkResponse returns the error that a response carries, or nil.
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

// unexpectedResponse returns the error for a response without the API's error body, such as one of a
// gateway.
func (in call) unexpectedResponse(status int) error {
	err := fmt.Errorf("status %d without an error body", status)
	if status >= 500 {
		return in.NoResponse(err)
	}
	return &BadRequestError{Op: in.Op, Message: err.Error()}
}
