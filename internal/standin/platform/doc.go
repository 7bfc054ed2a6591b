// Package platform is an in-memory stand-in for the platform's object API, for tests, trials and the
// demo. It speaks the wire shape of internal/platform and can be told to be slow, to fail, to lose
// answers after a write took effect, to limit the rate and to let the list of VMs lag.
//
// A Server owns all its objects; they are lost when it is dropped. All methods may be called by
// several goroutines at any time.
package platform
