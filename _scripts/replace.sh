# replace FILE OLD NEW replaces the first occurrence of the text OLD in FILE by NEW. It fails if there is none. Sourced by
# mutate.sh and ablate.sh.
replace() {
  OLD="$2" NEW="$3" perl -0pi -e 'BEGIN{$o=$ENV{OLD};$n=$ENV{NEW}} s/\Q$o\E/$n/ or $bad=1; END{exit 1 if $bad}' "$1"
}
