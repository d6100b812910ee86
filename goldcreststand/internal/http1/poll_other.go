//go:build !linux

package http1

import "net"

// peerClosed returns false: the close is noticed by the next read or write.
func peerClosed(net.Conn) bool { return false }

// readable returns false: bytes that arrive as the connection is closed as idle are not read.
func readable(net.Conn) bool { return false }
