package drive

import (
	"context"

	"github.com/cranberrymill/cranberrymill/internal/wire"
)

// Batch holds the messages that one process delivers to another in one stream message.
type Batch[M any] struct {
	Messages []M
	// Packed is a compressed batch that takes the place of Messages.
	Packed []byte `cbor:",omitempty"`
}

// Receipt acknowledges a Batch.
type Receipt struct {
	// Unpacks says that the sender of the receipt takes compressed batches, which the earlier build does not.
	Unpacks bool `cbor:",omitempty"`
}

// EncodeBatch encodes messages as an Outbox sends them to a peer: compressed if they are large and the peer takes that.
func EncodeBatch[M any](messages []M, unpacks bool) ([]byte, error) {
	data, err := wire.Encode(&Batch[M]{Messages: messages})
	if err != nil || !unpacks || len(data) < wire.PackBytes {
		return data, err
	}

	packed, err := wire.Pack(data)
	if err != nil {
		return nil, err
	}

	return wire.Encode(&Batch[M]{Packed: packed})
}

// unpack returns the messages of a batch.
func (b *Batch[M]) unpack() ([]M, error) {
	if len(b.Packed) == 0 {
		return b.Messages, nil
	}

	var unpacked Batch[M]
	if err := wire.Unpack(b.Packed, &unpacked); err != nil {
		return nil, err
	}

	return unpacked.Messages, nil
}

// HandleBatches registers the handler of the messages that an Outbox delivers by a method, compressed or not.
func HandleBatches[M any](server *wire.Server, method string, handle func(messages []M)) {
	wire.HandleStream(server, method, func(_ context.Context, batch *Batch[M]) (*Receipt, error) {
		messages, err := batch.unpack()
		if err != nil {
			return nil, err
		}

		handle(messages)

		return &Receipt{Unpacks: true}, nil
	})
}
