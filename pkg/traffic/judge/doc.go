// Package judge compares a new version with the old one, call by call.
package judge
