// Package seams holds what an entry needs of the store and of the formats around it.
package seams
