package jobrecord

import (
	"dewlift/internal/compress"
	"dewlift/wire"
	"encoding/json"
	"fmt"

	protobuf "google.golang.org/protobuf/proto"
)

// compressedValue is a value that is compressed.
type compressedValue struct {
	Data []byte `json:"b"`
}

func packValue(raw []byte) (json.RawMessage, error) {
	data, err := compress.Deflate(raw)
	if err != nil {
		return nil, err
	}
	return json.Marshal(compressedValue{data})
}

// PackMessage renders a message as a value.
func PackMessage(m protobuf.Message) (json.RawMessage, error) {
	raw, err := protobuf.MarshalOptions{Deterministic: true}.Marshal(m)
	if err == nil {
		raw, err = packValue(raw)
	}
	if err != nil {
		return nil, fmt.Errorf("pack message: %w", err)
	}
	return raw, nil
}

// UnpackMessage is the reverse of PackMessage.
func UnpackMessage(raw json.RawMessage, m protobuf.Message) error {
	var v compressedValue
	err := json.Unmarshal(raw, &v)
	if err == nil {
		var plain []byte
		if plain, err = compress.Inflate(v.Data, maxUnpackedBytes); err == nil {
			err = protobuf.Unmarshal(plain, m)
		}
	}
	if err != nil {
		return fmt.Errorf("unpack message: %w", err)
	}
	return nil
}

// EncodeCatalog renders machine types so that they fit a value of at most so many bytes, if
// that can be.
func EncodeCatalog(k *wire.Catalog, most int, mayPack bool) (json.RawMessage, error) {
	raw, err := json.Marshal(k)
	if err != nil || len(raw) <= most || !mayPack {
		return raw, err
	}
	return packValue(raw)
}

// DecodeCatalog reads machine types, packed or not.
func DecodeCatalog(raw json.RawMessage) (wire.Catalog, error) {
	var v struct {
		compressedValue
		wire.Catalog
	}
	err := json.Unmarshal(raw, &v)
	if err == nil && v.Data != nil {
		var plain []byte
		if plain, err = compress.Inflate(v.Data, maxUnpackedBytes); err == nil {
			err = json.Unmarshal(plain, &v.Catalog)
		}
	}
	if err != nil {
		return wire.Catalog{}, fmt.Errorf("machine types: %w", err)
	}
	return v.Catalog, nil
}
