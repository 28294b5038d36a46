// Package header describes how calls and answers carry what decisions need in their headers.
package header
