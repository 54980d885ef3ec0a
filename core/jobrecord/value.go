package jobrecord

import (
	"encoding/json"
	"fmt"

	protobuf "google.golang.org/protobuf/proto"

	"dewlift/internal/compress"
	"dewlift/wire"
)

// compressedValue is the stored form of a compressed value.
type compressedValue struct {
	Data []byte `json:"b"`
}

// packValue compresses bytes into a stored value.
func packValue(raw []byte) (json.RawMessage, error) {
	data, err := compress.Deflate(raw)
	if err != nil {
		return nil, fmt.Errorf("compress value: %w", err)
	}
	return json.Marshal(compressedValue{data})
}

// PackMessage encodes a protocol buffer message deterministically as a compressed value.
func PackMessage(message protobuf.Message) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(message)
	if err == nil {
		raw, err = packValue(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	return raw, nil
}

// UnpackMessage is the reverse of PackMessage.
func UnpackMessage(raw json.RawMessage, message protobuf.Message) error {
	var value compressedValue
	err := json.Unmarshal(raw, &value)
	if err == nil {
		var plain []byte
		if plain, err = compress.Inflate(value.Data, maxDecompressedBytes); err == nil {
			err = protobuf.Unmarshal(plain, message)
		}
	}
	if err != nil {
		return fmt.Errorf("unpack message: %w", err)
	}
	return nil
}

// EncodeCatalog encodes the machine types as JSON, or compressed if the JSON exceeds maxBytes and mayPack is
// set. The result may still exceed maxBytes.
func EncodeCatalog(catalog *wire.Catalog, maxBytes int, mayPack bool) (json.RawMessage, error) {
	raw, err := json.Marshal(catalog)
	if err != nil || len(raw) <= maxBytes || !mayPack {
		return raw, err
	}
	return packValue(raw)
}

// DecodeCatalog decodes machine types, compressed or not.
func DecodeCatalog(raw json.RawMessage) (wire.Catalog, error) {
	var value struct {
		compressedValue
		wire.Catalog
	}
	err := json.Unmarshal(raw, &value)
	if err == nil && value.Data != nil {
		var plain []byte
		if plain, err = compress.Inflate(value.Data, maxDecompressedBytes); err == nil {
			err = json.Unmarshal(plain, &value.Catalog)
		}
	}
	if err != nil {
		return wire.Catalog{}, fmt.Errorf("decode machine types: %w", err)
	}
	return value.Catalog, nil
}
