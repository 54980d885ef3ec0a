// Package proto holds the protobuf messages of the operators' settings, the archive of ended jobs, snapshots,
// permissions, reservations, priority classes, the TLS configuration and the audit log.
package proto

//go:generate protoc --go_out=.. --go_opt=module=dewlift --proto_path=.. proto/tuning.proto proto/history.proto proto/access.proto proto/secure.proto proto/audit.proto proto/booking.proto proto/lanes.proto
