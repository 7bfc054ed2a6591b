// Package apicall sends calls to HTTP APIs of the platform. It limits their time and rate, retries them where
// that is safe, and distinguishes a lost response, after which a write may have taken effect, from a response
// that reports that nothing was written. The clients of the two object APIs share it.
//
// A Client's only state is its rate limiter and its connections.
package apicall
