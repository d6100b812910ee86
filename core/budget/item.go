package budget

import "goldcreststand.example/core/ident"

// Item is a kind of thing that a connection makes an instance hold.
type Item int

// Items.
const (
	// ItemHead are the bytes of a head, ItemField its header fields.
	ItemHead Item = iota
	ItemField
	// ItemBody are the bytes of a body.
	ItemBody
	// ItemAhead are the bytes of requests that were read before the earlier ones were answered.
	ItemAhead
	// ItemAnswer are the bytes of an answer that the other side has not taken.
	ItemAnswer
	// ItemMessage are the bytes of a message of another instance.
	ItemMessage
	// ItemRequest is a request of another instance that is being handled.
	ItemRequest
	// ItemCall is a call that is not answered, beside its head, its body and its answer.
	ItemCall
)

// itemCount is the number of items.
const itemCount = int(ItemCall) + 1

//go:generate ../../bin/enumer -type=Item -trimprefix=Item -transform=lower -output=item_enumer.go

const (
	// connCost is the memory of a connection: its goroutine, and the buffers for reading and writing.
	connCost ident.Bytes = 16 << 10
	// fieldCost is the memory of a header field beside its bytes: an entry of a map, a slice and strings. Requests of 2,200
	// fields in 15 KB took 240 KB each.
	fieldCost ident.Bytes = 200
	// messageCost is the memory for a byte of a message, whose buffer grows by doubling.
	messageCost ident.Bytes = 3
	// requestCost is the memory of a request of another instance: its goroutine, its parameters and its result.
	requestCost ident.Bytes = 8 << 10
	// callCost is the memory of a call: its goroutine, the parsed request, buffers and timers. 6,400 calls that wait for a
	// server took 11 KB each, one that waits at a server takes more.
	callCost ident.Bytes = 20 << 10
)

// Cost returns the memory that n units of the item take.
func (i Item) Cost(n int64) ident.Bytes {
	switch i {
	case ItemField:
		return ident.Bytes(n) * fieldCost
	case ItemMessage:
		return ident.Bytes(n) * messageCost
	case ItemRequest:
		return ident.Bytes(n) * requestCost
	case ItemCall:
		return ident.Bytes(n) * callCost
	default:
		return ident.Bytes(n)
	}
}
