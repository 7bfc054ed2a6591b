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

// Options configure a Caller. Zero values stand for the defaults.
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
	// Observe is called after each attempt, if set.
	Observe func(op string, took time.Duration, err error)
}

// Client sends calls to an HTTP API. It may be used by several goroutines.
type Client struct {
	base     string
	http     http.Client
	timeout  time.Duration
	attempts int
	limiter  *rate.Limiter
	// interval is the time between two calls at the caller's own rate.
	interval time.Duration
	observe  func(string, time.Duration, error)
}

// New returns a Caller of the API at the base URL.
func New(baseURL string, o Options) (*Client, error) {
	u, err := url.Parse(baseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, &BadRequestError{Op: "use " + baseURL, Message: "not an http or https URL"}
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{MaxConnsPerHost: 8, MaxIdleConnsPerHost: 8, IdleConnTimeout: time.Minute}
	}
	if o.Observe == nil {
		o.Observe = func(string, time.Duration, error) {}
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
		observe:  o.Observe,
	}, nil
}

func orDefault[T int | float64 | time.Duration](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}

// Call is a call of an API.
type Call struct {
	// Op names the call in errors, Key the object that it is about.
	Op, Key      string
	Method, Path string
	Query        url.Values
	Header       http.Header
	Body         []byte
	// Wait is the time that the answer may take in addition to the timeout. A call with a Wait is sent
	// once.
	Wait time.Duration
	// Write is true when the call may have an effect, Repeat when it may be repeated at any time.
	Write, Idempotent bool
	// MaxBody bounds the answer's body in bytes.
	MaxBody int64
	// CheckResponse returns the error that an answer carries, or nil.
	CheckResponse func(*Response) error
}

// Response is an answer without an error.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// attempt sends a call once.
func (c *Client) attempt(ctx context.Context, in Call) (*Response, error) {
	start := time.Now()
	a, err := c.send(ctx, in)
	c.observe(in.Op, time.Since(start), err)
	if ctx.Err() == nil && errors.Is(err, context.DeadlineExceeded) {
		// Connections to the same server may have gone silent together; the next call opens a new one.
		c.http.CloseIdleConnections()
	}
	return a, err
}

func (c *Client) send(ctx context.Context, in Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+in.Wait)
	defer cancel()
	target := c.base + in.Path
	if len(in.Query) > 0 {
		target += "?" + in.Query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, target, bytes.NewReader(in.Body))
	if err != nil {
		return nil, &BadRequestError{Op: in.Op, Message: err.Error()}
	}
	if in.Header != nil {
		req.Header = in.Header.Clone()
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, in.NoResponse(err)
	}
	defer res.Body.Close()
	// One byte more than allowed shows that the answer is too long.
	body, err := io.ReadAll(io.LimitReader(res.Body, in.MaxBody+1))
	if err != nil {
		return nil, in.NoResponse(err)
	}
	if int64(len(body)) > in.MaxBody {
		return nil, in.MalformedResponse()
	}
	a := &Response{Status: res.StatusCode, Header: res.Header, Body: body}
	return a, in.CheckResponse(a)
}

// MalformedResponse returns the error of an answer that cannot be understood.
func (in Call) MalformedResponse() error {
	return &BadRequestError{Op: in.Op, Message: "malformed answer"}
}
