//go:build !linux

// Package sock asks the operating system for the state of connections, and ends reads that are pending on them.
package sock

import "net"

// PeerClosed returns false: the close is noticed by the next read or write.
func PeerClosed(net.Conn) bool { return false }

// Readable returns false: bytes that arrive as the connection is closed as idle are not read.
func Readable(net.Conn) bool { return false }
