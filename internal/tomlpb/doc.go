// Package tomlpb reads TOML into generated messages and checks what it reads by the schema's limits.
package tomlpb
