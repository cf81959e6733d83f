package wire

import (
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"github.com/cranberrymill/cranberrymill/pkg/mill"
)

// PackBytes is the size from which encoded messages are compressed. Large setups and snapshots are above it: they would
// hold up other messages on a narrow link. A batch of 64 log entries usually is below it, since the leader's processor is
// scarce.
const PackBytes = 32 << 10

// packer compresses with little memory and time, since a core process has little of either.
var packer = sync.OnceValues(func() (*zstd.Encoder, error) {
	return zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(1<<20))
})

// unpacker decompresses no more than what a message may hold.
var unpacker = sync.OnceValues(func() (*zstd.Decoder, error) {
	return zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(MaxMessageSize))
})

// Pack compresses an encoded message.
func Pack(data []byte) ([]byte, error) {
	encoder, err := packer()
	if err != nil {
		return nil, err
	}

	return encoder.EncodeAll(data, nil), nil
}

// Unpack decodes a message that Pack has compressed, or returns ErrInvalid.
func Unpack(packed []byte, message any) error {
	decoder, err := unpacker()
	if err != nil {
		return err
	}

	data, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return merry.Prepend(mill.ErrInvalid, err.Error(), merry.NoCaptureStack())
	}

	return Decode(data, message)
}
