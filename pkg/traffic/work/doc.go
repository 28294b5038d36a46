// Package work learns how long the calls of each routing rule of a service run.
package work
