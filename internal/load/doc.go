// Package load is the load tool: callers that send reads, postings and uploads at given rates and hold
// live feeds, and a summary of what came back.
//
// A run owns its callers. It is bounded in time, in callers and in requests.
package load
