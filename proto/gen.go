// Package proto holds the messages of the operators' own settings, of history, of snapshots, of
// access, of bookings, of lanes, of transport security and of the audit record.
package proto

//go:generate protoc --go_out=.. --go_opt=module=dewlift --proto_path=.. proto/tuning.proto proto/history.proto proto/access.proto proto/secure.proto proto/audit.proto proto/booking.proto proto/lanes.proto
