package wire

import (
	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"storj.io/drpc"
)

// Limits on decoded messages, so that malformed input cannot exhaust memory.
const (
	maxCollectionSize = 1 << 20
	maxNestingDepth   = 16
)

var (
	encoder = newEncoder()
	decoder = newDecoder()
)

// Encode encodes a message as CBOR.
func Encode(message any) ([]byte, error) {
	data, err := encoder.Marshal(message)
	if err != nil {
		return nil, merry.Prependf(err, "encode %T", message)
	}

	return data, nil
}

// Decode decodes a message from CBOR.
func Decode(data []byte, message any) error {
	if err := decoder.Unmarshal(data, message); err != nil {
		return merry.Prependf(err, "decode %T", message)
	}

	return nil
}

// codec adapts CBOR to drpc.Encoding.
type codec struct{}

var _ drpc.Encoding = codec{}

// encoded is a message that Encode has already encoded.
type encoded []byte

// Marshal encodes a message.
func (codec) Marshal(message drpc.Message) ([]byte, error) {
	if data, ok := message.(encoded); ok {
		return data, nil
	}

	return Encode(message)
}

// Unmarshal decodes a message.
func (codec) Unmarshal(data []byte, message drpc.Message) error {
	return Decode(data, message)
}

func newEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}

func newDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: maxCollectionSize,
		MaxMapPairs:      maxCollectionSize,
		MaxNestedLevels:  maxNestingDepth,
	}.DecMode()
	if err != nil {
		panic(err)
	}

	return mode
}
