// Package duty carries out the duties of one entry: it reports the usage of client accounts while the entry holds that duty.
package duty
