// Package fate says what a caller can know of its call.
package fate
