package plat_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"goldcreststand.example/lib/plat"
	"goldcreststand.example/schema/wire"
)

// requireNoReply requires that the bytes are no reply of the platform: nothing is read, and the outcome of a write is unknown.
func requireNoReply(t *testing.T, text string) {
	c := newRawClient(t, text)
	_, _, err := c.ServerList(t.Context(), "inventory")
	require.True(t, plat.ErrUnavailable.Has(err), "%v", err)
	_, err = c.Put(t.Context(), plat.ObjectPath(plat.CollectionTables, "a"), "", &wire.Table{})
	require.True(t, plat.ErrUnknownOutcome.Has(err), "%v", err)
}

// Guards against a reply with a status below 100 that counts as a rejection: the write may have been executed.
func TestInvalidStatusIsNoReply(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "+20"} {
		t.Run(status, func(t *testing.T) {
			requireNoReply(t, "HTTP/1.1 "+status+" Trouble\r\nContent-Length: 2\r\n\r\n{}")
		})
	}
}

// Guards against a reply with a field whose name has a blank or a control byte, of which it is not certain where its body ends.
func TestInvalidFieldNameIsNoReply(t *testing.T) {
	const body = `{"service":"inventory","revision":7,"servers":[]}`
	for _, field := range []string{"X Y: z", "X : z", "X\tY: z", "X\x01: z", "Content-Length : 5", "Y: z\r\n Content-Length: 5"} {
		t.Run(field, func(t *testing.T) {
			requireNoReply(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n\r\n"+body)
		})
	}
}
