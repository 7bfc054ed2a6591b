// Package configcheck checks an operators' configuration before it is sent, and compares it with the one in force. It does no I/O. Field
// names in its results are those of package platform.
package configcheck
