// Package progrs describes how far a move has come.
package progrs
