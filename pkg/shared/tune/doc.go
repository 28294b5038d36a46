// Package tune names the tunables that no record or setting holds.
package tune
