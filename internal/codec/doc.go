// Package codec converts between the generated protobuf messages and the types that control and traffic use.
//
// It covers the operators' records, the values of the store, and the digests that entries exchange.
package codec
