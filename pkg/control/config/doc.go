// Package config holds the decoded records, members and duties, and builds what traffic reads.
package config
