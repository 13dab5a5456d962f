#!/usr/bin/env bash
# Runs clang-tidy on one source unless the same input was found clean before. The input is the
# preprocessed text with its comments and macros, the compile command, the configuration and the tool's
# version; paths are relative to the tree, so that clones share the records. A record that is absent or
# damaged means that the source is checked. Usage: tidy.sh BUILD-DIRECTORY SOURCE
set -euo pipefail
build=$1
source=$2
tree=$(pwd -P)
records=${PLANTAINSWITCH_LINT_RECORDS:-${XDG_CACHE_HOME:-$HOME/.cache}/plantainswitch-lint}

# CMake writes the directory, the command and the file of an entry on a line each.
command=$(grep -B 1 -F "\"file\": \"$tree/$source\"" "$build/compile_commands.json" |
    sed -n '1s/^ *"command": "\(.*\)",$/\1/p' | sed 's/\\\(.\)/\1/g')
# What stands before the compiler only caches its output.
arguments=$(sed 's/^.*[ \/]c++ //; s/ -o [^ ]* / /; s/ -c / /' <<<"$command")

describeInput()
{
    clang-tidy --version
    cat .clang-tidy
    echo "$arguments"
    (cd "$build" && eval "clang++ $arguments -E -C -dD -dI -w")
}

key=
if [ -n "$command" ] && input=$(describeInput 2>/dev/null | sed "s|$tree|.|g" | sha256sum); then
    key=${input%% *}
fi
if [ -n "$key" ] && [ "$(cat "$records/$key" 2>/dev/null)" = "clean $key" ]; then
    exit 0
fi
clang-tidy -p "$build" --quiet "$source" 2>/dev/null
if [ -n "$key" ]; then
    mkdir -p "$records"
    record=$(mktemp "$records/new.XXXXXX")
    echo "clean $key" >"$record"
    mv "$record" "$records/$key"
fi
