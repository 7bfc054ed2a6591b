package apicall

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"golang.org/x/time/rate"
)

// Defaults of Options.
const (
	DefaultTimeout  = 2 * time.Second
	DefaultRate     = 20.0
	DefaultBurst    = 20
	DefaultAttempts = 3
)

// Options configure a Client. Zero values mean the defaults.
type Options struct {
	// Timeout is the longest time until the response to an attempt of a call begins, and without a byte of it afterwards.
	// The Wait of a call is added to the first one.
	Timeout time.Duration
	// Rate is the maximum number of attempts per second, Burst the number that may be sent at once. Calls
	// beyond that wait.
	Rate  float64
	Burst int
	// Attempts is the maximum number of attempts of a call that can be retried safely.
	Attempts int
	// Transport sends the calls; default a transport with at most 8 connections per host.
	Transport http.RoundTripper
	// Observe is called after each attempt, if set.
	Observe func(op string, took time.Duration, err error)
}

// Client sends calls to an HTTP API. It is safe for concurrent use.
type Client struct {
	baseURL  string
	http     http.Client
	timeout  time.Duration
	attempts int
	limiter  *rate.Limiter
	// interval is the mean time between two calls at the maximum rate.
	interval time.Duration
	observe  func(string, time.Duration, error)
}

// New returns a Client for the API at a base URL. Errors: BadRequestError.
func New(baseURL string, options Options) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &BadRequestError{Op: "use " + baseURL, Message: "not an http or https URL"}
	}
	if options.Transport == nil {
		options.Transport = &http.Transport{MaxConnsPerHost: 8, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
	if options.Observe == nil {
		options.Observe = func(string, time.Duration, error) {}
	}
	perSecond := orDefault(options.Rate, DefaultRate)
	// Redirects are not followed: they could send a write to a server that the operator has not configured.
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		baseURL:  strings.TrimSuffix(baseURL, "/"),
		http:     http.Client{Transport: options.Transport, CheckRedirect: noRedirect},
		timeout:  orDefault(options.Timeout, DefaultTimeout),
		attempts: orDefault(options.Attempts, DefaultAttempts),
		limiter:  rate.NewLimiter(rate.Limit(perSecond), orDefault(options.Burst, DefaultBurst)),
		interval: time.Duration(float64(time.Second) / perSecond),
		observe:  options.Observe,
	}, nil
}

func orDefault[T int | float64 | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}

// Call is a call of an API.
type Call struct {
	// Op is the name of the call in errors, Key the name of its object.
	Op, Key      string
	Method, Path string
	Query        url.Values
	Header       http.Header
	Body         []byte
	// Wait is the time that the response may take in addition to the timeout. A call with a Wait is not
	// retried.
	Wait time.Duration
	// Attempts replaces Options.Attempts if it is not 0.
	Attempts int
	// Write is true when the call may have an effect, Idempotent when it may be repeated at any time.
	Write, Idempotent bool
	// MaxBody is the maximum size of the response's body in bytes.
	MaxBody int64
	// CheckResponse returns the error that a response reports, or nil.
	CheckResponse func(*Response) error
}

// Response is an HTTP response. Do returns one only if CheckResponse found no error in it.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// attempt sends a call once.
func (c *Client) attempt(ctx context.Context, call Call) (*Response, error) {
	start := time.Now()
	response, err := c.send(ctx, call)
	c.observe(call.Op, time.Since(start), err)
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		// Other idle connections to the server may have become silent, too. The next call opens a new one.
		c.http.CloseIdleConnections()
	}
	return response, err
}

func (c *Client) send(ctx context.Context, call Call) (*Response, error) {
	ctx, deadline := newProgressDeadline(ctx, c.timeout+call.Wait, c.timeout)
	defer deadline.stop()
	target := c.baseURL + call.Path
	if len(call.Query) > 0 {
		target += "?" + call.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &BadRequestError{Op: call.Op, Message: err.Error()}
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, call.NoResponse(deadline.cause(ctx, err))
	}
	defer res.Body.Close()
	deadline.extend()
	// One byte more than the maximum is read, so that a longer body is detected.
	body, err := io.ReadAll(&progressReader{io.LimitReader(res.Body, call.MaxBody+1), deadline})
	if err == nil && int64(len(body)) > call.MaxBody {
		err = errTooLarge
	}
	if err != nil {
		return nil, call.incompleteResponse(len(body), deadline.cause(ctx, err))
	}
	response := &Response{Status: res.StatusCode, Header: res.Header, Body: body}
	return response, call.CheckResponse(response)
}

// incompleteResponse returns the error for a response of which only some bytes arrived.
func (call Call) incompleteResponse(bytes int, err error) error {
	incomplete := &IncompleteResponseError{Op: call.Op, Bytes: bytes, Err: err}
	if call.Write {
		return &UnknownOutcomeError{Op: call.Op, Err: incomplete}
	}
	return incomplete
}

// MalformedResponse returns the error for a response that cannot be decoded.
func (call Call) MalformedResponse() error {
	return &BadRequestError{Op: call.Op, Message: "malformed response"}
}
