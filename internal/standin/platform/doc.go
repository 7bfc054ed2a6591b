// Package platform is an in-memory stand-in for the platform's object API, for tests, trials and the
// demo. It implements the HTTP API of internal/platform. It can be set to respond late, to fail, to lose
// responses after a write took effect, to limit the rate and to publish the list of VMs with a delay.
//
// A Server keeps its objects in memory only. It is safe for concurrent use.
package platform
