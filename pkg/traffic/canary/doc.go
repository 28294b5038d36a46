// Package canary compares a new version with the old one, call by call.
package canary
