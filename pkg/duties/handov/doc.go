// Package handov defines the message with which an entry hands its usage counts over to the holder of the usage reports.
package handov
