package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/mangoweir/mangoweir/core"
)

// Defaults of Options.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultRate     = 20.0
	DefaultBurst    = 20
	DefaultAttempts = 3
)

// Options configure a Client. Zero values stand for the defaults.
type Options struct {
	// Timeout bounds each attempt of a call, in a watch in addition to its wait.
	Timeout time.Duration
	// Rate is the number of attempts a second, Burst how many may follow at once. Calls wait for
	// their turn.
	Rate  float64
	Burst int
	// Attempts bounds the attempts of a call that can be repeated safely.
	Attempts int
	// Transport carries the calls; default a transport with at most 8 connections.
	Transport http.RoundTripper
}

// Client calls the object API.
type Client struct {
	base     string
	http     http.Client
	timeout  time.Duration
	attempts int
	limiter  *rate.Limiter
	// interval is the time between two calls at the client's own rate.
	interval time.Duration
}

// NewClient returns a client of the API at the base URL.
func NewClient(baseURL string, o Options) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &BadRequestError{Op: "use " + baseURL, Message: "not an http or https URL"}
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxConnsPerHost: 8, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
	perSecond := orDefault(o.Rate, DefaultRate)
	// A redirect would send a write to a place that the operator has not named.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:     strings.TrimSuffix(baseURL, "/"),
		http:     http.Client{Transport: o.Transport, CheckRedirect: noRedirect},
		timeout:  orDefault(o.Timeout, DefaultTimeout),
		attempts: orDefault(o.Attempts, DefaultAttempts),
		limiter:  rate.NewLimiter(rate.Limit(perSecond), orDefault(o.Burst, DefaultBurst)),
		interval: time.Duration(float64(time.Second) / perSecond),
	}, nil
}

func orDefault[T int | float64 | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// Get reads an object; one that does not exist has version 0.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	if err := checkKey(key); err != nil {
		return Object{}, err
	}
	a, err := c.do(ctx, call{op: "read " + key, method: http.MethodGet, path: ObjectsPath + key, repeat: true})
	if err != nil {
		return Object{}, err
	}
	return a.object(key)
}

// Put writes an object if its version is still expect, and returns the new version; expect 0 creates
// it. Put is not repeated once the platform may have seen it.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	return c.put(ctx, key, value, call{ifMatch: formatETag(expect), expect: expect})
}

// Replace writes an object whatever its version is, and returns the new version.
func (c *Client) Replace(ctx context.Context, key string, value []byte) (uint64, error) {
	return c.put(ctx, key, value, call{repeat: true})
}

func (c *Client) put(ctx context.Context, key string, value []byte, in call) (uint64, error) {
	if err := checkKey(key); err != nil {
		return 0, err
	}
	if len(value) > MaxValue {
		return 0, &TooLargeError{Key: key, Size: len(value)}
	}
	in.op, in.method, in.path = "write "+key, http.MethodPut, ObjectsPath+key
	in.key, in.body, in.write = key, value, true
	a, err := c.do(ctx, in)
	if err != nil {
		return 0, err
	}
	var body versionBody
	if err := json.Unmarshal(a.body, &body); err != nil || body.Version == 0 {
		return 0, &UnknownOutcomeError{Op: in.op, Err: malformed(in.op)}
	}
	return body.Version, nil
}

// Heads returns the versions of objects in the order of the keys.
func (c *Client) Heads(ctx context.Context, keys ...string) ([]Head, error) {
	if len(keys) > MaxHeads {
		return nil, &BadRequestError{Op: "read heads", Message: "too many keys"}
	}
	query := url.Values{"key": keys}
	in := call{op: "read heads", method: http.MethodGet, path: HeadsPath, query: query, repeat: true}
	a, err := c.do(ctx, in)
	if err != nil {
		return nil, err
	}
	var body headsBody
	if err := json.Unmarshal(a.body, &body); err != nil || len(body.Heads) != len(keys) {
		return nil, malformed(in.op)
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
	a, err := c.do(ctx, call{op: "watch " + key, method: http.MethodGet, path: WatchPath + key, query: query, wait: wait})
	if err != nil || a.status == http.StatusNoContent {
		return Object{}, false, err
	}
	o, err = a.object(key)
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
	a, err := c.do(ctx, call{op: op, method: http.MethodGet, path: path, repeat: true})
	if err != nil {
		return err
	}
	if a.status != http.StatusOK || json.Unmarshal(a.body, to) != nil {
		return malformed(op)
	}
	return nil
}

func checkKey(key string) error {
	if !ValidKey(key) {
		return &BadRequestError{Op: "use key " + strconv.Quote(key), Message: "malformed key"}
	}
	return nil
}

func malformed(op string) error { return &BadRequestError{Op: op, Message: "malformed answer"} }

// call is a call of the API.
type call struct {
	op, method, path, key string
	query                 url.Values
	body                  []byte
	ifMatch               string
	expect                uint64
	// wait is the time that the answer may take in addition to the timeout.
	wait time.Duration
	// write is true when the call may have an effect, repeat when it may be repeated at any time.
	write, repeat bool
}

// answer is an answer without an error.
type answer struct {
	status int
	etag   string
	body   []byte
	op     string
}

// object returns the object that the answer carries.
func (a *answer) object(key string) (Object, error) {
	if a.status == http.StatusNotFound {
		return Object{Key: key}, nil
	}
	version, err := parseETag(a.etag)
	if err != nil || version == 0 {
		return Object{}, malformed(a.op)
	}
	return Object{Key: key, Version: version, Value: a.body}, nil
}

// attempt sends a call once.
func (c *Client) attempt(ctx context.Context, in call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+in.wait)
	defer cancel()
	target := c.base + in.path
	if len(in.query) > 0 {
		target += "?" + in.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, in.method, target, bytes.NewReader(in.body))
	if err != nil {
		return nil, &BadRequestError{Op: in.op, Message: err.Error()}
	}
	if in.ifMatch != "" {
		req.Header.Set("If-Match", in.ifMatch)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, in.lost(err)
	}
	defer res.Body.Close()
	// One byte more than allowed shows that the answer is too long.
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxValue+1))
	if err != nil {
		return nil, in.lost(err)
	}
	if len(body) > MaxValue {
		return nil, malformed(in.op)
	}
	a := &answer{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body, op: in.op}
	return a, in.verdict(a)
}
