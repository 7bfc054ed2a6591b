// Package load generates load: its clients send reads, postings and uploads at given rates and keep live
// feeds open. It returns a summary of the results.
//
// A run owns its clients. Its duration and the numbers of clients and requests are bounded.
package load
