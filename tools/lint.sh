#!/usr/bin/env bash
# Checks formatting and runs the linter. Usage: tools/lint.sh BUILD_DIR [FILE...]
# Without files, it checks every source file of the work tree except generated code.
# Files without findings are recorded in $BRONZEROUTE_LINT_CACHE, keyed by the content of the file
# and its headers, and skipped the next time.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?build directory}
shift
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
fi
clang-format --dry-run --Werror "${files[@]}"

cache=${BRONZEROUTE_LINT_CACHE:-$HOME/.cache/bronzeroute-lint}
mkdir -p "$cache"
export cache build
lint_one() {
  local file=$1 key
  local headers
  headers=$(grep -oE '"[^"]+\.h"' "$file" | tr -d '"' || true)
  key=$({ cat .clang-tidy "$file"; clang++ -std=c++20 -fsyntax-only -I. -Iinclude -MM "$file" 2>/dev/null |
    tr ' \\' '\n\n' | grep -E '^(src|include|platform|standins|bench|tests|proto)/' | sort -u | xargs -r cat; echo "$headers"; } | sha256sum | cut -d' ' -f1)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy -p "$build" --quiet --extra-arg=-Wno-unknown-warning-option "$file" 2>"$cache/err.$$"; then
    touch "$cache/$key"
    rm -f "$cache/err.$$"
  else
    cat "$cache/err.$$" >&2
    rm -f "$cache/err.$$"
    return 1
  fi
}
export -f lint_one
printf '%s\n' "${files[@]}" | grep '\.cc$' | xargs -r -P "${BRONZEROUTE_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
