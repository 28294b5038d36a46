// Package tune holds the tuning constants that are not configurable by records or settings.
package tune
