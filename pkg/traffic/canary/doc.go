// Package canary compares the new version of a rollout with the old one, call by call, and tells when the new one is bad.
package canary
