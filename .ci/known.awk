# Decides whether the failures of a test run are all known: awk -f known.awk KNOWN-RED.txt OUTPUT
#
# An entry of KNOWN-RED.txt names a spec by its full text: "TEXT" of internal/PACKAGE. The exit code is 0, and the specs are printed,
# if each package that failed has named all its failures, all of them have an entry, and nothing else went wrong in it.

function reset() { failed = 0; summary = 0; unknown = "" }

# A tail of the package's path, such as internal/demux, begins behind the path of the module.
function tail(path) { sub(/^[^\/]+\/[^\/]+\/[^\/]+\//, "", path); return path }

FNR == NR {
  if (match($0, /^".*" of [a-z]+(\/[a-z]+)* \| /)) {
    entry = substr($0, RSTART + 1, RLENGTH - 4)
    at = match(entry, /" of [a-z\/]+$/)
    known[substr(entry, at + 5), substr(entry, 1, at - 1)] = 1
  }
  next
}

FNR == 1 { reset() }
{ gsub(/\033\[[0-9;]*m/, "") }

/^ *Summarizing [0-9]+ Failures?:/ { summary += $2 }
/^ *\[FAIL\] / {
  sub(/^ *\[FAIL\] /, "")
  sub(/ \[It\] /, " ")
  specs[++failed] = $0
}
# Only the function that runs the specs of a package may fail.
/^ *--- FAIL: / && !/^--- FAIL: TestSuite / { unknown = $0 }
/WARNING: DATA RACE|^panic: |^fatal error: |test timed out|^ *\[(PANICKED|TIMEDOUT|INTERRUPTED|ABORTED)[^\]]*\]/ { unknown = $0 }
/^ok  \t/ { reset() }

/^FAIL\t/ {
  failures++
  path = tail($2)
  if (/\[(build|setup) failed\]/ || failed == 0 || failed != summary) unknown = $0
  for (i = 1; i <= failed; i++) {
    if ((path, specs[i]) in known) print "known: \"" specs[i] "\" of " path
    else unknown = specs[i]
  }
  if (unknown != "") { print "not known: " unknown " (" path ")"; bad = 1 }
  reset()
}

END { exit bad || failures == 0 }
