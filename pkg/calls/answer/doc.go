// Package answer holds an answer that can be given again.
package answer
