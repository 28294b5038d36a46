// Package build describes the build of a program, the limits of its process and the settings that it runs with.
package build
