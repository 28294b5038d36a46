// Package rolrec defines the configuration record that operators write for a rollout.
package rolrec
