# Completion of lagoonvale for bash, written by make man.
_lagoonvale ()
{
  local words="rules status where settings submit explain report cancel --help --version"
  local last="${COMP_WORDS[COMP_CWORD]}"
  COMPREPLY=()
  if [ "$COMP_CWORD" -gt 1 ]; then
    words=""
    case "${COMP_WORDS[1]}" in
    rules) words="--help check diff explain publish show" ;;
    status) words="--entry --help --metrics" ;;
    where) words="--accelerators --estimate-ms --help --json --mcores --memory-mb --metrics --queue --tasks" ;;
    settings) words="--help --role" ;;
    submit) words="--entry --help --retries" ;;
    explain) words="--help" ;;
    report) words="--help" ;;
    cancel) words="--entry --help" ;;
    esac
    mapfile -t COMPREPLY < <(compgen -f -- "$last")
  fi
  mapfile -t -O "${#COMPREPLY[@]}" COMPREPLY < <(compgen -W "$words" -- "$last")
}
complete -o filenames -F _lagoonvale lagoonvale
