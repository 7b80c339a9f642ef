// Package patch encodes a document as its difference from an earlier version, so
// that a change costs about as many bytes as changed, not as many as the document
// has.
package patch

import (
	"fmt"
	"math/bits"

	"github.com/briarrouter/briarrouter/unit"
	"github.com/klauspost/compress/zstd"
)

const (
	// dictionaryID identifies the base in a patch. It is not zero, since decoders
	// ignore a dictionary with that id.
	dictionaryID = 1
	// minWindow and maxWindow are the limits of the zstd format and of its encoder.
	minWindow = 1 << 10
	maxWindow = zstd.MaxWindowSize
)

// Encode returns the difference of a document from its base. The base may be empty;
// the patch then holds the whole document.
func Encode(base, document []byte) ([]byte, error) {
	// The window covers both, so that matches reach back to the start of the base.
	window := min(max(minWindow, 1<<bits.Len(uint(len(base)+len(document)))), maxWindow)
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("encode patch: %w", err)
	}
	defer encoder.Close()
	return encoder.EncodeAll(document, nil), nil
}

// Decode returns the document that a patch makes of its base. It returns an error if
// the document is larger than the limit, or if the patch belongs to another base.
func Decode(base, data []byte, limit unit.Bytes) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit))}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	defer decoder.Close()
	document, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decode patch: %w", err)
	}
	return document, nil
}
