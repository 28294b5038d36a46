// Package tomlpb reads TOML files into generated protobuf messages and writes messages as TOML.
//
// Keys are the names of message fields. Values are checked against the limits that the schema sets on each field, and
// errors name the file, the line and the key.
package tomlpb
